/*
 * Applies the decisions of a scheduling cycle to the cluster: tasks are placed, victims get a stop
 * command, and the backfill window and the reservations are kept for the next cycle. Nothing here
 * waits.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULING_DECISIONS_H
#define FL_COORDINATION_SCHEDULING_SCHEDULING_DECISIONS_H

#include "coordination/scheduling/schedule.h"
#include "coordination/scheduling/scheduling_snapshot.h"

struct fl_node;

/*
 * Applies the output of a cycle on this snapshot. `now`: steady, of the snapshot; the cluster must
 * not have changed since it was taken.
 */
void fl_scheduling_decisions_apply(struct fl_node *node, const struct fl_snapshot *snapshot,
                                   const struct fl_sched_output *output, double now);

#endif
