/*
 * Live jobs. The cluster owns them; a pointer to a job is valid until the job is dropped or
 * finalised, which may happen during any wait. Includes the headers of tasks and of finished jobs,
 * because code that handles a job also handles its tasks and must expect that the job has finished.
 */
#ifndef FL_STORAGE_JOBS_H
#define FL_STORAGE_JOBS_H

#include "storage/cluster.h"
#include "storage/finished_jobs.h"
#include "storage/tasks.h"

/* Returns the live job with this id, or NULL if there is none. */
struct fl_job *fl_job_find(const struct fl_cluster *cluster, const char *ref);
/*
 * Adds a live job from its description, or returns the existing job with this id. Returns NULL if
 * its team or zone is unknown, or if out of memory.
 */
struct fl_job *fl_job_add(struct fl_cluster *cluster, const struct fl_job_spec *spec,
                          double submitted_wall, uint64_t revision);
/* Replaces a live job with its final state and frees it; none of its tasks may be on a machine. */
void fl_job_finalise(struct fl_cluster *cluster, struct fl_job *job, enum fl_job_status status);
/* Frees a live job; none of its tasks may be on a machine. */
void fl_job_drop(struct fl_cluster *cluster, struct fl_job *job);
/*
 * Returns the task block, or NULL if no task of the block has ever changed. A job that was
 * cancelled before any of its tasks was placed has no blocks at all but is on the dirty list, so
 * job->blocks must not be indexed directly.
 */
struct fl_task_block *fl_job_task_block(const struct fl_job *job, uint32_t block_index);
/* Frees all task blocks of the job. */
void fl_job_free_task_blocks(struct fl_job *job);
/* Adds the job to the dirty list, because of unsaved changes or a final record to be written. */
void fl_job_mark_dirty(struct fl_cluster *cluster, struct fl_job *job);
/* Returns whether all tasks are done or, for a cancelled job, none may be on a machine any more. */
bool fl_job_is_finished(const struct fl_job *job);
/* Returns the status shown to the user; never DONE, which a job becomes when it is finalised. */
enum fl_job_status fl_job_current_status(const struct fl_job *job);
/* Returns the resources that one task of the job requests. */
static inline struct fl_resources fl_job_task_resources(const struct fl_job *job)
{
	return (struct fl_resources){job->cpus, job->gpus, job->ram_gb};
}

#endif
