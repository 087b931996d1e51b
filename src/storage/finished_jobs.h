/*
 * Finished jobs held in memory; their records are never deleted. A job is added once, and its final
 * state never changes. Pointers are valid until the next addition, which may drop the oldest job.
 */
#ifndef FL_STORAGE_FINISHED_JOBS_H
#define FL_STORAGE_FINISHED_JOBS_H

#include "storage/cluster.h"

/* Returns the finished job, or NULL if the job is not finished or not held in memory. */
struct fl_finished_job *fl_finished_job_find(const struct fl_cluster *cluster, const char *ref);
/*
 * Adds a finished job unless it is already held, and drops the oldest one if there are more than
 * `finished_max`. `cancelled_at` is on the monotonic clock, s; 0: not cancelled. If out of memory,
 * the job counts as dropped.
 */
void fl_finished_job_add(struct fl_cluster *cluster, const char *ref, enum fl_job_status status,
                         uint32_t task_count, double cancelled_at);
/*
 * Collects the cancelled jobs that were added at or after `since` (monotonic clock, s), newest
 * first, into the caller's array `out` of `max` pointers. Returns false if the list is incomplete
 * and must not be used: there are more than `max` such jobs, or some may have been dropped from
 * memory.
 */
bool fl_finished_jobs_cancelled_since(const struct fl_cluster *cluster, double since, int max,
                                      const struct fl_finished_job **out, int *count);

#endif
