/*
 * Tasks and their phases. A task that is PLACED may be on its machine, and counts against team,
 * machine and zone until it is proven not to be.
 */
#ifndef FL_STORAGE_TASKS_H
#define FL_STORAGE_TASKS_H

#include "storage/cluster.h"

/* The task, whose chunk is made if need be; NULL without memory. */
struct fl_task *fl_task_get(struct fl_job *job, uint32_t index);
/* The task if its chunk exists, else NULL (it waits and never ran). */
struct fl_task *fl_task_peek(const struct fl_job *job, uint32_t index);
/* Does the record or the log hold its last change? */
bool fl_task_durable(const struct fl_job *job, uint32_t index);
/* Does the record hold its last change? */
bool fl_task_saved(const struct fl_task_block *block, const struct fl_task *task);
/* Marks the chunk as changed and the job as dirty. */
void fl_task_touch(struct fl_cluster *cluster, struct fl_job *job, uint32_t index);
/* Next WAITING task at or after `from` that may start at `now`; n_tasks if none. */
uint32_t fl_task_next_waiting(struct fl_job *job, uint32_t from, double now);

/* WAITING -> PLACED with a new attempt. */
int fl_task_place(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                  struct fl_machine *machine, uint64_t fencing_token, double now);
/* Puts an attempt read from a record on its machine. */
int fl_task_restore(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                    uint32_t attempt, struct fl_machine *machine, uint64_t incarnation,
                    double placed, double now);
/* PLACED -> WAITING: the attempt is proven not to be on its machine. */
void fl_task_release(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                     double not_before);
/* Any -> DONE. */
void fl_task_done(struct fl_cluster *cluster, struct fl_job *job, uint32_t index);
/* Takes in what its worker reports of a placed task. */
void fl_task_observe(struct fl_job *job, struct fl_task *task, enum fl_observed_state observed,
                     double now);

#endif
