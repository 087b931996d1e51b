/*
 * The state of the cluster as one node knows it: live jobs and their tasks, finished jobs, teams
 * and machines. A follower holds the descriptions of jobs only; a leader also tasks and machines.
 * The counts of jobs, teams, machines and zones always agree with the phases of the tasks, so only
 * tasks.c and progress_records.c change phases. Times are steady, in seconds, unless their name
 * says _wall.
 */
#ifndef FL_STORAGE_CLUSTER_H
#define FL_STORAGE_CLUSTER_H

#include <uthash.h>

#include "protocol/users.h"
#include "storage/machines.h"
#include "storage/teams.h"

/* Tasks in one progress record, which so stays well within 4 KiB a value. */
enum { FL_TASK_BLOCK_SIZE = 64 };

/* The phase of a task. PLACED: an attempt may be on a machine. DONE is final. */
enum fl_task_phase { FL_TASK_WAITING, FL_TASK_PLACED, FL_TASK_DONE };
/* The state of a placed task in the newest heartbeat of its machine. NONE: not seen there yet. */
enum fl_observed_state {
	FL_OBSERVED_NONE,
	FL_OBSERVED_PULLING,
	FL_OBSERVED_RUNNING,
	FL_OBSERVED_CHECKPOINTING
};
/* Why a placed task is being stopped. */
enum fl_stop_reason { FL_STOP_NONE, FL_STOP_PREEMPT, FL_STOP_DRAIN };

/* One task of a job. */
struct fl_task {
	enum fl_task_phase phase : 8;
	enum fl_observed_state last_observed_state : 8;
	enum fl_stop_reason stop_reason : 8;
	uint8_t failure_count; /* error exits in a row */
	bool start_sent;      /* a reply had its start command, and no heartbeat has shown it yet */
	uint32_t attempt;     /* the last one used; 0: none yet */
	int32_t machine_id;   /* id, while PLACED */
	uint64_t incarnation; /* of the machine, at placement */
	uint64_t fencing_token; /* of this leader when it placed it; 0: read from a record */
	uint64_t generation;    /* of the block, when this task last changed */
	double running_since;   /* of its placement or, when running, of its start */
	double placed_wall;     /* of the placement, for the record */
	double not_before;      /* WAITING: backoff */
};

/* The tasks that share a progress record, FL_TASK_BLOCK_SIZE of them. */
struct fl_task_block {
	struct fl_task tasks[FL_TASK_BLOCK_SIZE];
	uint64_t generation;        /* counts changes; a task has that of its last one */
	uint64_t saved_generation;  /* changes up to it are in the progress record */
	uint64_t logged_generation; /* changes up to it are durable: in the log or the record */
	uint64_t mod_revision;      /* of the record; 0: there is none */
	bool revision_unknown;      /* a write had an unknown outcome: read before writing again */
};

/* How many of a job's tasks are in each phase; running ones count as placed, too. */
struct fl_job_counts {
	uint32_t waiting, placed, running, done;
};

/* How a job's placed tasks are spread, and what placing its next ones depends on. */
struct fl_job_placement {
	uint32_t by_zone[FL_ZONES_MAX];
	uint32_t in_unknown_zone;     /* on machines whose zone is not known yet */
	uint32_t waiting_scan_start;  /* no task below it is WAITING */
	double backfill_window_until; /* backfill window while this job is first in the queue; 0:
	                                 not set */
};

/* When a job that fails may try again. */
struct fl_job_retry {
	double not_before;             /* backoff of the whole job */
	uint32_t consecutive_failures; /* error exits in a row, on any machine */
};

/* The state of a job's records in the key-value store, and of writes still to be made. */
struct fl_job_record_state {
	uint64_t mod_revision;      /* of the job record */
	struct fl_job *next_dirty;  /* on the cluster's list of jobs with unsaved blocks */
	bool is_dirty;              /* it is on that list */
	bool seen_in_list;          /* it was in the list of job records being read */
	bool final_write_in_flight; /* its final record is being written */
	bool write_outcome_unknown; /* that had an unknown outcome: read before writing again */
};

/* A job that is not over yet. */
struct fl_job {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	int job_class, team, image, zone; /* indexes; zone FL_INDEX_NONE: any */
	enum fl_job_kind kind;
	enum fl_priority priority;
	uint32_t task_count;
	double cpus, gpus, ram_gb, image_gb; /* of one task */
	double expected_s, checkpoint_every_s, checkpoint_cost_s, due_s;
	uint32_t allowed_type_mask; /* bit per allowed machine type; UINT32_MAX: any */
	bool same_zone, spread_zones, spot_allowed;
	bool within_guaranteed_quota; /* fits its team's guaranteed quota, after its earlier jobs */
	bool cancelled;               /* its user has cancelled it; tasks may still have to stop */
	double cancelled_at;          /* not after its user got the answer; 0: not cancelled */
	double submitted_wall;
	struct fl_job_record_state record;
	struct fl_job_counts counts;
	struct fl_job_placement placement;
	struct fl_job_retry retry;
	uint32_t block_count;
	struct fl_task_block **blocks; /* NULL entry: all its tasks wait and never ran */
};

/* A job that is over, as held in memory; its final record is never deleted. */
struct fl_finished_job {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	enum fl_job_status status : 8;
	uint32_t task_count;
	double cancelled_at; /* if CANCELLED: the deadline for its tasks counts from here */
	double added_at;     /* when this process learned that it is over */
};

/* All that a node knows of jobs and machines. Zero-initialised is empty. */
struct fl_cluster {
	struct fl_symbol_table classes, images, zones;
	struct fl_teams teams;
	struct fl_machines machines;
	struct fl_job *jobs;              /* live, by ref */
	struct fl_finished_job *finished; /* by ref, oldest first */
	unsigned finished_max; /* the oldest beyond it are dropped from memory; 0: no limit */
	double finished_dropped_up_to; /* `added_at` of the newest one dropped; 0: none was */
	struct fl_job *dirty_jobs;     /* jobs with unsaved blocks */
	uint64_t job_list_revision;    /* of the list that the leadership began with */
	bool has_leader_state;         /* tasks and machines are held here, not only descriptions */
};

/*
 * Applies a cancellation that another controller reports before this node has read the record. A
 * leader keeps the job until its tasks are gone, any other node finalises it; idempotent.
 */
void fl_cluster_mark_cancelled(struct fl_cluster *cluster, const char *ref, double cancelled_at);
/*
 * As fl_machine_set_description, and counts the machine's attempts in its zone when that becomes
 * known. Ignored if the zone is beyond FL_ZONES_MAX.
 */
void fl_cluster_describe_machine(struct fl_machine *machine, int type, int zone, bool spot,
                                 const char *endpoint);
/*
 * Frees the tombstones of machines that were decommissioned before the steady time `before`, which
 * changes ids of others: only to be called where nobody holds a machine or an id across a wait.
 */
void fl_cluster_purge_tombstones(struct fl_cluster *cluster, double before);
/* Frees what only a leader knows (tasks, machines, usage); cancelled jobs are finalised. */
void fl_cluster_free_leader_state(struct fl_cluster *cluster);
/* Frees all that the cluster holds, but not the cluster itself. */
void fl_cluster_free(struct fl_cluster *cluster);

#endif
