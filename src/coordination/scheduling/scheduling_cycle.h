/*
 * Scheduling cycles of a leader: a cycle takes a snapshot of the cluster, computes decisions from
 * it and applies them to the cluster. A cycle runs when there is work, and otherwise about once a
 * second; the intervals leave processor time for the rest of the controller even if the process has
 * only a small share of a core. All cycles run in one coroutine, and no cycle waits between the
 * snapshot and the decisions, so that the cluster does not change in between.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULING_CYCLE_H
#define FL_COORDINATION_SCHEDULING_SCHEDULING_CYCLE_H

struct fl_node;

/* Runs scheduling cycles in a coroutine of the leader; returns when the coroutine is cancelled. */
void fl_scheduling_cycle_run(struct fl_node *node);
/*
 * Returns the time budget of a cycle, in seconds, for a process with this share of a core. A cycle
 * that exceeds it stops, and the next one resumes it.
 */
double fl_scheduling_cycle_budget_s(double core_share);
/*
 * Returns the minimum time, in seconds, from the start of a cycle to the start of the next, for a
 * process with this share of a core, after a cycle that took `duration_s` on the monotonic clock
 * and `cpu_s` of processor time.
 */
double fl_scheduling_cycle_interval_s(double core_share, double duration_s, double cpu_s);

#endif
