/*
 * Live jobs. The cluster owns them; a pointer to one is valid until the job is dropped or
 * finalised, which may happen during any wait. Includes the headers of tasks and of finished jobs:
 * whoever handles a job handles its tasks, and has to consider that it may be over.
 */
#ifndef FL_STORAGE_JOBS_H
#define FL_STORAGE_JOBS_H

#include "storage/cluster.h"
#include "storage/finished_jobs.h"
#include "storage/tasks.h"

/* NULL: no such live job. */
struct fl_job *fl_job_find(const struct fl_cluster *cluster, const char *ref);
/*
 * Adds a live job from its description, or returns the one with this id that is there; NULL if its
 * team or zone is unknown, or without memory.
 */
struct fl_job *fl_job_add(struct fl_cluster *cluster, const struct fl_job_spec *spec,
                          double submitted_wall, uint64_t revision);
/* Replaces a live job, which is freed, by its final state; its tasks must hold no machine. */
void fl_job_finalise(struct fl_cluster *cluster, struct fl_job *job, enum fl_job_status status);
/* Frees a live job; its tasks must hold no machine. */
void fl_job_drop(struct fl_cluster *cluster, struct fl_job *job);
/*
 * NULL for a block of which no task was ever touched. A job that was cancelled before any of its
 * tasks was placed has no blocks at all and is still on the dirty list: never index job->blocks
 * directly.
 */
struct fl_task_block *fl_job_task_block(const struct fl_job *job, uint32_t block_index);
/* Frees all task blocks of the job. */
void fl_job_free_task_blocks(struct fl_job *job);
/* Something of the job is to be written: changes of a block or, when over, its final state. */
void fl_job_mark_dirty(struct fl_cluster *cluster, struct fl_job *job);
/* All its tasks are done; or it is cancelled, and none may be on a machine any more. */
bool fl_job_is_finished(const struct fl_job *job);
/* The status that its user sees. Never DONE, which a job is only once it is finalised. */
enum fl_job_status fl_job_current_status(const struct fl_job *job);
/* What one task of the job needs. */
static inline struct fl_resources fl_job_task_resources(const struct fl_job *job)
{
	return (struct fl_resources){job->cpus, job->gpus, job->ram_gb};
}

#endif
