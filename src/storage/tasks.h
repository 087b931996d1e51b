/*
 * Tasks and their phases. A task that is PLACED may be on its machine, and counts against team,
 * machine and zone until it is proven not to be. Indexes are those within the job and below its
 * task_count. `now` is steady, in seconds.
 */
#ifndef FL_STORAGE_TASKS_H
#define FL_STORAGE_TASKS_H

#include "storage/cluster.h"

/* The task, whose block is allocated if need be; NULL without memory. */
struct fl_task *fl_task_get_or_alloc(struct fl_job *job, uint32_t index);
/* The task if its block exists, else NULL (it waits and never ran). */
struct fl_task *fl_task_find(const struct fl_job *job, uint32_t index);
/* Does the record or the write-ahead log hold its last change? */
bool fl_task_change_is_durable(const struct fl_job *job, uint32_t index);
/* Does the record hold its last change? */
bool fl_task_change_is_saved(const struct fl_task_block *block, const struct fl_task *task);
/* Marks the task, its block and the job as changed; the block must exist. */
void fl_task_mark_changed(struct fl_cluster *cluster, struct fl_job *job, uint32_t index);
/* The next WAITING task at or after `from` that may start at `now`; task_count if there is none. */
uint32_t fl_task_next_waiting(struct fl_job *job, uint32_t from, double now);

/* The result of placing a task. */
enum fl_place_result {
	FL_PLACE_OK = 0,
	FL_PLACE_NOT_WAITING, /* it is placed or done already: nothing changed */
	FL_PLACE_NO_MEMORY    /* nothing changed */
};

/* An attempt that this leader decides on. */
struct fl_new_attempt {
	struct fl_machine *machine;
	uint64_t fencing_token; /* of this leader */
};

/* WAITING -> PLACED with a new attempt, bound to the machine's present incarnation. */
enum fl_place_result fl_task_place(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                   const struct fl_new_attempt *attempt, double now);

/* An attempt, as a record holds it. */
struct fl_recorded_attempt {
	uint32_t attempt;
	struct fl_machine *machine;
	uint64_t incarnation; /* of the machine, at placement */
	double placed_wall;   /* 0: not known */
};

/* WAITING -> PLACED with an attempt that an earlier leader placed. */
enum fl_place_result fl_task_restore(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                     const struct fl_recorded_attempt *recorded, double now);
/*
 * PLACED -> WAITING, not to start before the steady time `not_before`: the attempt is proven not to
 * be on its machine.
 */
void fl_task_release(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                     double not_before);
/* Any -> DONE. */
void fl_task_mark_done(struct fl_cluster *cluster, struct fl_job *job, uint32_t index);
/* Updates a placed task, and the job's count of running ones, from a heartbeat. */
void fl_task_set_observed_state(struct fl_job *job, struct fl_task *task,
                                enum fl_observed_state observed, double now);

#endif
