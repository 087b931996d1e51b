/* Live jobs. The headers of their tasks and of finished jobs come with this one. */
#ifndef FL_STORAGE_JOBS_H
#define FL_STORAGE_JOBS_H

#include "storage/cluster.h"
#include "storage/finished_jobs.h"
#include "storage/tasks.h"

/* NULL: no such live job. */
struct fl_job *fl_job_find(const struct fl_cluster *cluster, const char *ref);
/* Adds a live job from its description; NULL if it cannot be read here (unknown team). */
struct fl_job *fl_job_add(struct fl_cluster *cluster, const struct fl_job_spec *spec,
                          double submitted, uint64_t revision);
/* Turns a live job into its final state; its tasks must hold no machine. */
void fl_job_finalise(struct fl_cluster *cluster, struct fl_job *job, enum fl_job_status status);
/* Forgets a live job; its tasks must hold no machine. */
void fl_job_drop(struct fl_cluster *cluster, struct fl_job *job);
/*
 * NULL for a chunk that was never touched. A job that was cancelled before any of its tasks was
 * placed has no chunks at all and is still on the dirty list: never index job->chunks directly.
 */
struct fl_task_block *fl_job_task_block(const struct fl_job *job, uint32_t block_index);
/* Forgets all that is held of its tasks. */
void fl_job_free_task_blocks(struct fl_job *job);
/* Something of the job is to be written: a chunk's changes or, when it is over, its final state. */
void fl_job_mark_dirty(struct fl_cluster *cluster, struct fl_job *job);
/* All its tasks are done; or it is cancelled, and none may be on a machine any more. */
bool fl_job_is_over(const struct fl_job *job);
/* The status that its user is told. */
enum fl_job_status fl_job_current_status(const struct fl_job *job);
/* What one task of the job needs. */
static inline struct fl_resources fl_job_need(const struct fl_job *job)
{
	return (struct fl_resources){job->cpus, job->gpus, job->ram_gb};
}

#endif
