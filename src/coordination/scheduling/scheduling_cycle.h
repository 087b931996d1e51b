/*
 * Scheduling cycles of a leader: a snapshot of the cluster goes to the schedule, and its decisions
 * are applied to the cluster. A cycle runs when there is work, at intervals that leave the rest of
 * the controller its part of a small share of a core. All of it runs in one coroutine, and nothing
 * between the snapshot and the decisions waits, so that the cluster does not change meanwhile.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULING_CYCLE_H
#define FL_COORDINATION_SCHEDULING_SCHEDULING_CYCLE_H

struct fl_node;

/* The coroutine of a leader, with its fl_node; returns when it is cancelled. */
void fl_scheduling_cycle_run(struct fl_node *node);
/* Seconds after which a cycle stops, to be resumed by the next, with this share of a core. */
double fl_scheduling_cycle_budget_s(double core_share);
/*
 * Seconds from the begin of a cycle to that of the next, after a cycle of `took_s` by the steady
 * clock and `processor_s` of processor time, with this share of a core.
 */
double fl_scheduling_cycle_interval_s(double core_share, double took_s, double processor_s);

#endif
