/*
 * The snapshot of the cluster for a scheduling cycle. The entries of the input are copies; the
 * objects that their indices refer to belong to the cluster, and are valid only until the cluster
 * changes.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULING_SNAPSHOT_H
#define FL_COORDINATION_SCHEDULING_SCHEDULING_SNAPSHOT_H

#include "coordination/scheduling/schedule.h"
#include "storage/jobs.h"
#include "storage/machines.h"

struct fl_node;

/* The input of a cycle, and the objects of the cluster that its indices refer to. */
struct fl_snapshot {
	struct fl_sched_input input;
	struct fl_job **jobs;
	struct fl_machine **machines;
	struct fl_assignment *attempts;
};

/*
 * Takes a snapshot at `now` (monotonic clock, s). The caller frees it, also after a failure. Also
 * marks each job of the cluster that is within its team's guaranteed quota.
 */
enum fl_schedule_result fl_snapshot_take(struct fl_node *node, struct fl_snapshot *snapshot,
                                         double now);
/* Frees the arrays of a snapshot, not the objects that they point to. */
void fl_snapshot_free(struct fl_snapshot *snapshot);

#endif
