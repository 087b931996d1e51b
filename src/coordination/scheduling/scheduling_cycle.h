/*
 * Passes: a snapshot of the cluster state goes to the schedule, and its decisions are applied to
 * the cluster state.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULING_CYCLE_H
#define FL_COORDINATION_SCHEDULING_SCHEDULING_CYCLE_H

struct fl_node;

/* The routine of a leader, with its fl_node. */
void fl_scheduling_cycle_run(struct fl_node *node);
/* Seconds after which a pass stops, to be resumed by the next, with this share of a core. */
double fl_scheduling_cycle_budget_s(double core_share);
/*
 * Seconds between the begins of two passes, after one that took `took_s` by the clock and
 * `processor_s` of processor time, with this share of a core.
 */
double fl_scheduling_cycle_gap_s(double core_share, double took_s, double processor_s);

#endif
