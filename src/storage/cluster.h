/*
 * The state of the cluster as one node knows it: live jobs and their tasks, finished jobs, teams
 * and machines.
 */
#ifndef FL_STORAGE_CLUSTER_H
#define FL_STORAGE_CLUSTER_H

#include <uthash.h>

#include "storage/machines.h"
#include "storage/teams.h"
#include "protocol/users.h"

enum { FL_CHUNK = 64 }; /* tasks in one record: stays well within 4 KiB a value */

/* Where a task stands. */
enum fl_phase { FL_TASK_WAITING, FL_TASK_PLACED, FL_TASK_DONE };
/* What its worker last reported of a placed task. */
enum fl_observed_state {
	FL_OBSERVED_NONE,
	FL_OBSERVED_PULLING,
	FL_OBSERVED_RUNNING,
	FL_OBSERVED_CHECKPOINTING
};
/* Why a placed task is being stopped. */
enum fl_stop { FL_STOP_NONE, FL_STOP_PREEMPT, FL_STOP_DRAIN };

/* One task of a job. */
struct fl_task {
	uint8_t phase, observed, stop_reason, failure_count;
	bool start_sent;        /* an answer ordered its launch, and no report has shown it yet */
	uint32_t attempt;       /* the last one used; 0: none yet */
	int32_t machine;        /* id, while PLACED */
	uint64_t incarnation;   /* of the machine, at placement */
	uint64_t fencing_token; /* in which this leader placed it; 0: read from a record */
	uint64_t gen;           /* of the chunk, when this task last changed */
	double since;           /* placed; or, when running, began to run */
	double placed;          /* wall time of the placement, for the record */
	double not_before;      /* WAITING: backoff */
};

/* The tasks that share a progress record, FL_CHUNK of them. */
struct fl_chunk {
	struct fl_task task[FL_CHUNK];
	uint64_t gen;        /* counts changes; a task has that of its last one */
	uint64_t saved_gen;  /* up to which changes stand in the record */
	uint64_t logged_gen; /* and in the log or the record: those are durable */
	uint64_t rev;        /* KeyRev of the record; 0: none */
	bool rev_unknown;    /* a write went unanswered: read before writing again */
};

/* A job that is not over yet. */
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

/* All that a node knows of jobs and machines. */
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

/* Another controller says that this job is cancelled; what the record says comes later. */
void fl_cluster_learn_cancelled(struct fl_cluster *b, const char *ref, double cancelled_at);
/* A machine's place becomes known: its attempts now count in their zone. */
void fl_cluster_describe(struct fl_cluster *b, struct fl_machine *m, int type, int zone, bool spot,
                         const char *endpoint);
/* Drops tombstones older than `before`. Only where no machine or id is held across a wait. */
void fl_cluster_purge(struct fl_cluster *b, double before);
/* Everything that only a leader knows goes: tasks, machines, usage. */
void fl_cluster_forget_tasks(struct fl_cluster *b);
/* Frees all that the cluster holds, but not the cluster itself. */
void fl_cluster_free(struct fl_cluster *b);

#endif
