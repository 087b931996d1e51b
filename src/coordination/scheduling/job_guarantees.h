/*
 * Which jobs fit their teams' guaranteed quotas, counted in two orders: that of submission, as
 * users count, for the order of the jobs; and that of priority, for preemption.
 */
#ifndef FL_COORDINATION_SCHEDULING_JOB_GUARANTEES_H
#define FL_COORDINATION_SCHEDULING_JOB_GUARANTEES_H

#include "storage/cluster.h"

/*
 * Sets `within_guaranteed_quota` and `holds_guarantee` of all jobs that are not cancelled.
 * `scratch` has room for all jobs.
 */
void fl_job_guarantees_mark(struct fl_cluster *cluster, struct fl_job **scratch);

#endif
