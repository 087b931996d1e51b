/*
 * Tasks and their phases. A PLACED task may be on its machine, and counts against its team, machine
 * and zone until it is proven not to be there. Indexes are those of tasks within the job, below its
 * task_count. `now` and `not_before` are on the monotonic clock, s.
 */
#ifndef FL_STORAGE_TASKS_H
#define FL_STORAGE_TASKS_H

#include "storage/cluster.h"

/* Returns the task; allocates its block if necessary. NULL if out of memory. */
struct fl_task *fl_task_get_or_alloc(struct fl_job *job, uint32_t index);
/* Returns the task, or NULL if its block does not exist: the task is WAITING and has never run. */
struct fl_task *fl_task_find(const struct fl_job *job, uint32_t index);
/* Returns whether the progress record or the write-ahead log holds the task's last change. */
bool fl_task_change_is_durable(const struct fl_job *job, uint32_t index);
/* Returns whether the progress record holds the task's last change. */
bool fl_task_change_is_saved(const struct fl_task_block *block, const struct fl_task *task);
/* Marks the task, its block and the job as changed; the block must exist. */
void fl_task_mark_changed(struct fl_cluster *cluster, struct fl_job *job, uint32_t index);
/* Returns the first WAITING task at or after `from` that may start at `now`, or task_count. */
uint32_t fl_task_next_waiting(struct fl_job *job, uint32_t from, double now);

/* The result of placing a task. */
enum fl_place_result {
	FL_PLACE_OK = 0,
	FL_PLACE_NOT_WAITING, /* the task is placed or done already; nothing changed */
	FL_PLACE_NO_MEMORY    /* the task is unchanged */
};

/* A placement decision of this leader. */
struct fl_new_attempt {
	struct fl_machine *machine;
	uint64_t fencing_token; /* fencing token of this leader */
};

/* Moves a task from WAITING to PLACED: a new attempt on the machine's current incarnation. */
enum fl_place_result fl_task_place(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                   const struct fl_new_attempt *attempt, double now);

/* An attempt that was read from a record. */
struct fl_recorded_attempt {
	uint32_t attempt;
	struct fl_machine *machine;
	uint64_t incarnation; /* incarnation of the machine's worker at placement */
	double placed_wall;   /* 0: not known */
};

/* Moves a task from WAITING to PLACED with an attempt that an earlier leader placed. */
enum fl_place_result fl_task_restore(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                     const struct fl_recorded_attempt *recorded, double now);
/*
 * Moves a task from PLACED to WAITING, not to be started before `not_before`. The attempt must be
 * proven not to be on its machine.
 */
void fl_task_release(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                     double not_before);
/* Moves a task from any phase to DONE. */
void fl_task_mark_done(struct fl_cluster *cluster, struct fl_job *job, uint32_t index);
/* Sets a placed task's state from a heartbeat, and updates the job's number of running tasks. */
void fl_task_set_observed_state(struct fl_job *job, struct fl_task *task,
                                enum fl_observed_state observed, double now);

#endif
