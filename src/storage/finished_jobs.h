/*
 * Jobs that are over, as far as memory holds them; their records are kept for ever. A job enters
 * once and its final state never changes.
 */
#ifndef FL_STORAGE_FINISHED_JOBS_H
#define FL_STORAGE_FINISHED_JOBS_H

#include "storage/cluster.h"

/* NULL: not over, or not held in memory. */
struct fl_finished_job *fl_finished_job_find(const struct fl_cluster *cluster, const char *ref);
/*
 * Adds one, unless it is held already; the oldest go when there are more than `finished_max`.
 * `cancelled_at` is steady; 0: not cancelled.
 */
void fl_finished_job_add(struct fl_cluster *cluster, const char *ref, enum fl_job_status status,
                         uint32_t task_count, double cancelled_at);
/*
 * Every cancellation that this process has learned of since the steady time `since`, newest first.
 * False, with nothing to rely on: there are more than `max`, or some are not held any more.
 */
bool fl_finished_jobs_cancelled_since(const struct fl_cluster *cluster, double since, int max,
                                      const struct fl_finished_job **out, int *count);

#endif
