/* Jobs that are over, as far as they are kept at hand; their records are kept for ever. */
#ifndef FL_STORAGE_FINISHED_JOBS_H
#define FL_STORAGE_FINISHED_JOBS_H

#include "storage/cluster.h"

/* NULL: not over, or not held here. */
struct fl_finished_job *fl_finished_job_find(const struct fl_cluster *cluster, const char *ref);
/* Adds one, unless it is held already; the oldest go when there are more than allowed. */
void fl_finished_job_add(struct fl_cluster *cluster, const char *ref, enum fl_job_status status,
                         uint32_t task_count, double cancelled_at);
/*
 * Every cancellation that this process has learned of since then, newest first: how many, or -E2BIG
 * if there are more than `most` or some are not held any more.
 */
int fl_finished_jobs_cancelled_since(const struct fl_cluster *cluster, double since,
                                     const struct fl_finished_job **out, int most);

#endif
