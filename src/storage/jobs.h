/*
 * Jobs and their tasks. The one table that the rules rest on is here: a task that is PLACED may
 * be on its machine, and counts against team, machine and zone until it is proven not to be.
 */
#ifndef FL_STORAGE_JOBS_H
#define FL_STORAGE_JOBS_H

#include <uthash.h>

#include "storage/machines.h"
#include "storage/teams.h"
#include "protocol/users.h"

enum { FL_CHUNK = 64 }; /* tasks in one record: stays well within 4 KiB a value */

enum fl_phase { FL_TASK_WAITING, FL_TASK_PLACED, FL_TASK_DONE };
enum fl_observed_state {
	FL_OBSERVED_NONE,
	FL_OBSERVED_PULLING,
	FL_OBSERVED_RUNNING,
	FL_OBSERVED_FLUSHING
};
enum fl_stop { FL_STOP_NONE, FL_STOP_PREEMPT, FL_STOP_DRAIN };

struct fl_task {
	uint8_t phase, observed, stop, fails;
	bool launch_sent;  /* an answer ordered its launch, and no report has shown it yet */
	uint32_t attempt;  /* the last one used; 0: none yet */
	int32_t machine;   /* id, while PLACED */
	uint64_t session;  /* of the machine, at placement */
	uint64_t epoch;    /* in which this leader placed it; 0: read from a record */
	uint64_t gen;      /* of the chunk, when this task last changed */
	double since;      /* placed; or, when running, began to run */
	double placed;     /* wall time of the placement, for the record */
	double not_before; /* WAITING: backoff */
};

struct fl_chunk {
	struct fl_task task[FL_CHUNK];
	uint64_t gen;        /* counts changes; a task has that of its last one */
	uint64_t saved_gen;  /* up to which changes stand in the record */
	uint64_t logged_gen; /* and in the log or the record: those are durable */
	uint64_t rev;        /* KeyRev of the record; 0: none */
	bool rev_unknown;    /* a write went unanswered: read before writing again */
};

struct fl_job {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	int job_class, team, image, zone; /* zone -1: any */
	enum fl_job_kind kind;
	enum fl_priority priority;
	uint32_t n_tasks;
	double cpus, gpus, ram_gb, image_gb, expected_s, checkpoint_every_s, checkpoint_cost_s,
		due_s;
	uint32_t types; /* bit per allowed machine type */
	bool together, apart, reclaimable;
	bool within_guarantee; /* fits its team's guarantee, after the team's earlier jobs */
	double submitted;      /* wall time */
	uint64_t rev;          /* KeyRev of the job record */
	bool cancelled;        /* its final record says so; tasks may still have to go */
	double cancelled_at;   /* steady; when its user was told, or before */
	bool finishing;        /* its final record is being written */
	bool unsure;           /* a final write went unanswered: only the record knows */
	uint32_t n_waiting, n_placed, n_running, n_done;
	uint32_t zone_placed[FL_ZONES_MAX];
	uint32_t zone_unknown; /* placed on machines whose zone is not known yet */
	uint32_t scan_from;    /* no task below it is WAITING */
	uint32_t n_chunks;
	struct fl_chunk **chunks;      /* NULL entry: all its tasks wait and never ran */
	double not_before;             /* job-wide backoff after faults on several machines */
	uint32_t consecutive_failures; /* error exits in a row, on any machine */
	double window_until; /* steady; backfill window while this job is the top one; 0: not set */
	bool listed;         /* was in the list of job records being read */
	bool queued_dirty;
	struct fl_job *next_dirty;
};

/* What is kept at hand of a job that is over; its record is kept for ever. */
struct fl_finished_job {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	uint8_t status; /* fl_status */
	uint32_t n_tasks;
	double cancelled_at; /* steady, of one that is CANCELLED: its tasks must be gone in time */
	double learned_at;   /* steady; since when this process knows it */
};

struct fl_cluster {
	struct fl_names classes, images, zones;
	struct fl_teams teams;
	struct fl_machines machines;
	struct fl_job *jobs;              /* live, by ref */
	struct fl_finished_job *finished; /* by ref, oldest first */
	unsigned finished_max;   /* the oldest beyond it are left to the records; 0: no limit */
	double finished_lost_at; /* steady; the newest of what was learned and is not held any more
	                          */
	struct fl_job *dirty;    /* jobs with unsaved chunks */
	uint64_t list_rev;       /* of the list that the leadership began with */
	bool leading;            /* tasks and machines are held here, not only descriptions */
};

struct fl_job *fl_job_find(const struct fl_cluster *b, const char *ref);
struct fl_finished_job *fl_finished_find(const struct fl_cluster *b, const char *ref);
/* Adds a live job from its description; NULL if it cannot be read here (unknown team). */
struct fl_job *fl_job_add(struct fl_cluster *b, const struct fl_job_spec *spec, double submitted,
                          uint64_t rev);
/* Turns a live job into its final state; its tasks must hold no machine. */
void fl_job_finalise(struct fl_cluster *b, struct fl_job *job, enum fl_status status);
/* Forgets a live job; its tasks must hold no machine. */
void fl_job_drop(struct fl_cluster *b, struct fl_job *job);
void fl_finished_add(struct fl_cluster *b, const char *ref, enum fl_status status, uint32_t n_tasks,
                     double cancelled_at);
/*
 * Every cancellation that this process has learned of since then, newest first: how many, or -E2BIG
 * if there are more than `most` or some are not held any more.
 */
int fl_finished_cancelled_since(const struct fl_cluster *b, double since,
                                const struct fl_finished_job **out, int most);
/* Another controller says that this job is cancelled; what the record says comes later. */
void fl_cluster_learn_cancelled(struct fl_cluster *b, const char *ref, double cancelled_at);

/*
 * NULL for a chunk that was never touched. A job that was cancelled before any of its tasks was
 * placed has no chunks at all and is still on the dirty list: never index job->chunks directly.
 */
struct fl_chunk *fl_job_chunk(const struct fl_job *job, uint32_t chunk);
struct fl_task *fl_task_get(struct fl_job *job, uint32_t index);
/* The task if its chunk exists, else NULL (it waits and never ran). */
struct fl_task *fl_task_peek(const struct fl_job *job, uint32_t index);
bool fl_task_durable(const struct fl_job *job, uint32_t index);
/* Does the record hold its last change? */
bool fl_task_saved(const struct fl_chunk *c, const struct fl_task *t);
/* Something of the job is to be written: a chunk's changes or, when it is over, its final state. */
void fl_job_mark_dirty(struct fl_cluster *b, struct fl_job *job);
/* All its tasks are done; or it is cancelled, and none may be on a machine any more. */
bool fl_job_is_over(const struct fl_job *job);
/* Marks the chunk as changed and the job as dirty. */
void fl_task_touch(struct fl_cluster *b, struct fl_job *job, uint32_t index);
/* Next WAITING task at or after `from` that may start at `now`; n_tasks if none. */
uint32_t fl_task_next_waiting(struct fl_job *job, uint32_t from, double now);

/* WAITING -> PLACED with a new attempt. */
int fl_task_place(struct fl_cluster *b, struct fl_job *job, uint32_t index, struct fl_machine *m,
                  uint64_t epoch, double now);
/* Puts an attempt read from a record on its machine. */
int fl_task_restore(struct fl_cluster *b, struct fl_job *job, uint32_t index, uint32_t attempt,
                    struct fl_machine *m, uint64_t session, double placed, double now);
/* PLACED -> WAITING: the attempt is proven not to be on its machine. */
void fl_task_release(struct fl_cluster *b, struct fl_job *job, uint32_t index, double not_before);
/* Any -> DONE. */
void fl_task_done(struct fl_cluster *b, struct fl_job *job, uint32_t index);
void fl_task_observe(struct fl_job *job, struct fl_task *t, enum fl_observed_state observed,
                     double now);

/* A machine's place becomes known: its attempts now count in their zone. */
void fl_cluster_describe(struct fl_cluster *b, struct fl_machine *m, int type, int zone, bool spot,
                         const char *endpoint);
/* Drops tombstones older than `before`. Only where no machine or id is held across a wait. */
void fl_cluster_purge(struct fl_cluster *b, double before);
enum fl_status fl_job_status(const struct fl_job *job);
/* Everything that only a leader knows goes: tasks, machines, usage. */
void fl_cluster_forget_tasks(struct fl_cluster *b);
void fl_cluster_free(struct fl_cluster *b);

#endif
