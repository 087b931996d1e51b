/*
 * The state of the cluster in one node's memory: live jobs and their tasks, finished jobs, teams
 * and machines. A follower holds only the descriptions of jobs; a leader also holds their tasks and
 * the machines. The counters of jobs, teams, machines and zones must agree with the phases of the
 * tasks, so only tasks.c and progress_records.c change a phase. Points in time are on the monotonic
 * clock, in seconds, unless the name ends in _wall (wall clock).
 */
#ifndef FL_STORAGE_CLUSTER_H
#define FL_STORAGE_CLUSTER_H

#include <uthash.h>

#include "protocol/users.h"
#include "storage/machines.h"
#include "storage/teams.h"

/*
 * Number of tasks in a task block, and in the smallest part of a block with a progress record of
 * its own, which fits into a value of 1 KiB with any names of machines.
 */
enum {
	FL_TASK_BLOCK_SIZE = 64,
	FL_BLOCK_PART_MIN_TASKS = 8,
	FL_BLOCK_PARTS_MAX = FL_TASK_BLOCK_SIZE / FL_BLOCK_PART_MIN_TASKS
};

/* The phase of a task. PLACED: an attempt may exist on a machine. DONE is final. */
enum fl_task_phase { FL_TASK_WAITING, FL_TASK_PLACED, FL_TASK_DONE };
/* The state of a placed task in its machine's latest heartbeat. NONE: not reported yet. */
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
	uint8_t failure_count;  /* exits with an error seen by this leader, up to a maximum */
	bool start_sent;        /* start command sent in a reply, not yet reported by a heartbeat */
	uint32_t attempt;       /* number of the latest attempt; 0: none yet */
	int32_t machine_id;     /* valid while PLACED */
	uint64_t incarnation;   /* incarnation of the machine's worker at placement */
	uint64_t fencing_token; /* this leader's token at placement; 0: not placed by this leader */
	uint64_t generation;    /* the block's generation when this task last changed */
	double running_since;   /* time of the placement, or of the start if the task is running */
	double placed_wall;     /* wall-clock time of the placement, as stored in the record */
	double not_before;      /* WAITING: earliest time of the next start, after a backoff */
};

/* A part of a task block, whose tasks share a progress record: see block_parts.h. */
struct fl_block_part {
	uint64_t saved_generation; /* changes up to this one are in a progress record */
	uint64_t mod_revision;     /* revision of the part's record; 0: no record exists */
	bool is_split_off;         /* a part begins here; the first part of a block always does */
	/* The tasks in the part's record are not those of the part, since it has been split. */
	bool must_rewrite;
	bool revision_unknown; /* a write had an unknown outcome; read before writing again */
};

/* FL_TASK_BLOCK_SIZE tasks, stored in one progress record or, if it would be too large, several. */
struct fl_task_block {
	struct fl_task tasks[FL_TASK_BLOCK_SIZE];
	uint64_t generation;        /* number of changes; a task holds that of its latest change */
	uint64_t logged_generation; /* changes up to this one are durable: in the log or record */
	struct fl_block_part
		parts[FL_BLOCK_PARTS_MAX]; /* by first task / FL_BLOCK_PART_MIN_TASKS */
};

/* Number of a job's tasks in each phase; running tasks are also counted as placed. */
struct fl_job_counts {
	uint32_t waiting, placed, running, done;
};

/* Distribution of a job's placed tasks over zones, and state used to place the next ones. */
struct fl_job_placement {
	uint32_t by_zone[FL_ZONES_MAX]; /* placed tasks per zone */
	uint32_t in_unknown_zone;       /* placed on machines whose zone is not known yet */
	uint32_t waiting_scan_start;    /* no task with a lower index is WAITING */
	/* End of the backfill window of a job that is first in the queue; 0: not set. */
	double backfill_window_until;
	/* Since when only the window of another job keeps it waiting; 0: it does not. */
	double held_since;
};

/* When the tasks of a failing job may be started again. */
struct fl_job_retry {
	double not_before;             /* end of the backoff of the whole job */
	uint32_t consecutive_failures; /* consecutive exits with an error, on any machine */
};

/* The state of a job's records in the key-value store, and of pending writes. */
struct fl_job_record_state {
	uint64_t mod_revision;      /* revision of the job record */
	struct fl_job *next_dirty;  /* next job on the cluster's list `dirty_jobs` */
	bool is_dirty;              /* the job is on that list */
	bool seen_in_list;          /* the list of job records being read contains the job */
	bool final_write_in_flight; /* a write of the final record is in flight */
	/*
	 * Number of this leader's writes of the job record that expect `mod_revision` and may still
	 * be executed: in flight, or without an answer. If > 0, only the record shows the state.
	 */
	uint32_t unresolved_writes;
	double last_write_sent_at; /* when the newest of them was sent; valid if there are any */
};

/* A live job: one that is not finished yet. */
struct fl_job {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	int job_class, team, image, zone; /* indexes; zone FL_INDEX_NONE: any zone */
	enum fl_job_kind kind;
	enum fl_priority priority;
	uint32_t task_count;
	double cpus, gpus, ram_gb, image_gb; /* per task */
	double expected_s, checkpoint_every_s, checkpoint_cost_s, due_s;
	uint32_t allowed_type_mask; /* one bit per allowed machine type; UINT32_MAX: any type */
	bool same_zone, spread_zones, spot_allowed;
	/* The team's guaranteed quota has room for this job and the team's earlier jobs. */
	bool within_guaranteed_quota;
	/*
	 * The same with the team's jobs of a higher priority in place of all earlier ones. For
	 * preemption, a team's guarantee belongs to its most important jobs, so that no job is
	 * protected by it from a more important one of the same team.
	 */
	bool holds_guarantee;
	bool cancelled;      /* cancelled by its user; tasks may still have to be stopped */
	double cancelled_at; /* not later than the reply to the cancellation; 0: not cancelled */
	double submitted_wall;
	struct fl_job_record_state record;
	struct fl_job_counts counts;
	struct fl_job_placement placement;
	struct fl_job_retry retry;
	uint32_t block_count;
	struct fl_task_block **blocks; /* NULL: all tasks of the block wait and have never run */
};

/* A finished job in memory; its final record in the key-value store is never deleted. */
struct fl_finished_job {
	UT_hash_handle hh;
	char ref[FL_REF_MAX];
	enum fl_job_status status : 8;
	uint32_t task_count;
	double cancelled_at; /* if CANCELLED: start of the time in which its tasks must stop */
	double added_at;     /* when this process added the job */
};

/* All jobs and machines known to a node; empty when zero-initialised. */
struct fl_cluster {
	struct fl_symbol_table classes, images, zones;
	struct fl_teams teams;
	struct fl_machines machines;
	struct fl_job *jobs;              /* live jobs by ref */
	struct fl_finished_job *finished; /* finished jobs by ref, in the order of addition */
	unsigned finished_max; /* limit of `finished`; the oldest are dropped; 0: no limit */
	/* `added_at` of the newest job dropped; 0 or FL_LONG_AGO: none. */
	double finished_dropped_up_to;
	struct fl_job *dirty_jobs;  /* jobs with unsaved blocks or a final record to write */
	uint64_t job_list_revision; /* revision of the job list that the failover read */
	bool has_leader_state;      /* holds tasks and machines, not only job descriptions */
};

/*
 * Marks a job as cancelled without applying its record, e.g. when another controller reports the
 * cancellation first. A leader keeps the job until its tasks have stopped; any other node finalises
 * it. Idempotent.
 */
void fl_cluster_mark_cancelled(struct fl_cluster *cluster, const char *ref, double cancelled_at);
/*
 * Like fl_machine_set_description, but also counts the machine's attempts in its zone once the zone
 * becomes known. Does nothing if the zone is FL_ZONES_MAX or greater.
 */
void fl_cluster_describe_machine(struct fl_machine *machine, int type, int zone, bool spot,
                                 const char *endpoint);
/*
 * Frees the tombstones of machines that were decommissioned before `before`. This changes the ids
 * of other machines, so it may only be called where no coroutine holds a machine or a machine id
 * across a wait.
 */
void fl_cluster_purge_tombstones(struct fl_cluster *cluster, double before);
/* Frees the state that only a leader holds (tasks, machines, usage); finalises cancelled jobs. */
void fl_cluster_free_leader_state(struct fl_cluster *cluster);
/* Frees the contents of the cluster, but not the cluster itself. */
void fl_cluster_free(struct fl_cluster *cluster);

#endif
