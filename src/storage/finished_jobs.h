/*
 * Jobs that are over, as far as they are held in memory; their records are never deleted. A job is
 * added once and its final state never changes. Pointers are valid until the next addition, which
 * may drop the oldest job.
 */
#ifndef FL_STORAGE_FINISHED_JOBS_H
#define FL_STORAGE_FINISHED_JOBS_H

#include "storage/cluster.h"

/* NULL: not over, or not held in memory. */
struct fl_finished_job *fl_finished_job_find(const struct fl_cluster *cluster, const char *ref);
/*
 * Adds one, unless it is held already, and drops the oldest if there are more than `finished_max`.
 * `cancelled_at` is steady; 0: not cancelled. Without memory the job counts as dropped at once.
 */
void fl_finished_job_add(struct fl_cluster *cluster, const char *ref, enum fl_job_status status,
                         uint32_t task_count, double cancelled_at);
/*
 * Collects the cancelled jobs that this process has learned of at or after the steady time `since`,
 * newest first, into the caller's array `out` of `max` pointers. False: the list is incomplete and
 * must not be used, as there are more than `max`, or some may have been dropped from memory.
 */
bool fl_finished_jobs_cancelled_since(const struct fl_cluster *cluster, double since, int max,
                                      const struct fl_finished_job **out, int *count);

#endif
