/*
 * The snapshot of the cluster that a scheduling cycle works on. The schedule's own entries are
 * copies; what their indices stand for points into the cluster, and is valid only until the cluster
 * changes.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULING_SNAPSHOT_H
#define FL_COORDINATION_SCHEDULING_SCHEDULING_SNAPSHOT_H

#include "coordination/scheduling/schedule.h"
#include "storage/jobs.h"
#include "storage/machines.h"

struct fl_node;

/* The input of the schedule, and what its indices stand for. */
struct fl_snapshot {
	struct fl_sched_input input;
	struct fl_job **jobs;
	struct fl_machine **machines;
	struct fl_assignment *attempts;
};

/*
 * Takes a snapshot; `now`: steady. Free it whatever the result. Also marks each job of the cluster
 * that is within its team's guaranteed quota.
 */
enum fl_schedule_result fl_snapshot_take(struct fl_node *node, struct fl_snapshot *snapshot,
                                         double now);
/* Frees the arrays of a snapshot, not what they point to. */
void fl_snapshot_free(struct fl_snapshot *snapshot);

#endif
