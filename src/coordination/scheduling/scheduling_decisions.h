/*
 * Applies the decisions of a scheduling cycle to the cluster: places tasks, sends stop commands for
 * the victims, and keeps the backfill window and the reservations for the next cycle. Nothing here
 * waits.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULING_DECISIONS_H
#define FL_COORDINATION_SCHEDULING_SCHEDULING_DECISIONS_H

#include "coordination/scheduling/schedule.h"
#include "coordination/scheduling/scheduling_snapshot.h"

struct fl_node;

/*
 * Applies the output of a cycle. `now`: time of the snapshot (monotonic clock, s). The cluster must
 * not have changed since the snapshot was taken.
 */
void fl_scheduling_decisions_apply(struct fl_node *node, const struct fl_snapshot *snapshot,
                                   const struct fl_sched_output *output, double now);

#endif
