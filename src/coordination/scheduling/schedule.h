/*
 * One scheduling cycle as a pure function from a snapshot to decisions. It reads no clock, makes no
 * calls and writes no log lines; equal snapshots give bit-identical decisions (unless a time budget
 * ends a cycle early). Jobs are ordered by the priority of "Scheduling Jobs on Parallel Systems
 * Using a Relaxed Backfill Strategy"; docs/design.md explains the additions to it.
 *
 * A cycle never starts more on a machine than fits into its free resources, never takes a team
 * beyond its maximum quota, and starts a gang as a whole or not at all.
 *
 * Machines, jobs, attempts and teams refer to each other by their index in the snapshot. Durations
 * are in seconds.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULE_H
#define FL_COORDINATION_SCHEDULING_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/users.h"
#include "storage/machines.h"
#include "storage/resources.h"
#include "storage/teams.h"

/* Parameters of the priority of a job. */
struct fl_sched_params {
	/* alpha, beta, gamma, r and omega of the paper, in this order */
	double wait_exponent, estimate_exponent, cpus_exponent, priority_base, window_factor;
	double default_estimate_s; /* of jobs without an estimate */
	double overdue_after_s;    /* wait after which a job is overdue: see aging_exponent */
	double aging_exponent;     /* exponent by which the weight of the wait grows from then on */
	double background_overdue_factor; /* factor on overdue_after_s for background jobs */
	double max_hold_s; /* time for which only the backfill window may keep a job waiting */
};

/* The parameters that controllers use; schedule_order.c gives the reasons. */
extern const struct fl_sched_params fl_sched_default_params;

/* A job with tasks to place. */
struct fl_sched_job {
	enum fl_priority priority;
	bool service;
	bool gang; /* all its startable tasks start in one cycle, or none */
	int team;
	double waited_s, estimate_s; /* time since submission; duration of one task, 0: unknown */
	struct fl_resources need;    /* resources of one task */
	double image_gb;
	uint32_t task_count, startable_count; /* startable: waiting tasks that may start now */
	uint32_t allowed_types;               /* machine types that the job may use, one bit each */
	int zone;                             /* the only allowed zone; -1: any */
	bool same_zone, spread_zones, spot_allowed;
	/* The job fits its team's guaranteed quota together with the team's earlier jobs. */
	bool within_guaranteed_quota;
	bool holds_guarantee; /* for preemption: see fl_job */
	/* An array below urgent priority, of a class without an SLO; other classes have one. */
	bool background;
	bool begun; /* some task of the job is placed or done */
	uint32_t placed_by_zone[FL_ZONES_MAX], placed_in_unknown_zone; /* placed tasks, by zone */
	int image;
	double window_remaining_s; /* rest of its backfill window; < 0: no window yet */
	double held_s;             /* for how long it has been held: see fl_sched_hold */
};

/*
 * Resources of a machine that are reserved for a waiting job, also while victims are being stopped
 * there: meanwhile only jobs of the same or a higher priority may use them. If they were requested
 * by guarantee, only urgent services and jobs that hold their team's guarantee may use them.
 */
struct fl_reservation {
	bool active, by_guarantee;
	enum fl_priority priority;
	struct fl_resources resources; /* all jobs may use the rest of the machine */
};

/* A machine on which tasks may start. */
struct fl_sched_machine {
	int type, zone;
	bool spot;
	bool runs_service; /* a service runs on it, so that it is not scaled in */
	struct fl_reservation reserved, requested; /* by earlier cycles; by this cycle */
	struct fl_resources free;
	double pull_gb_per_s;
	const int *cached_images; /* FL_IMAGE_CACHE_MAX images, borrowed; NULL: none */
};

/* An attempt that may be running on a machine. */
struct fl_sched_attempt {
	int machine, team;
	enum fl_priority priority;
	bool service, stopping;
	bool preemptible;     /* may be chosen as a victim */
	bool holds_guarantee; /* its job's: see fl_job */
	/*
	 * The only placed task of an array or gang that was submitted more than overdue_after_s
	 * ago: only urgent and critical jobs may preempt it.
	 */
	bool last_running_task;
	struct fl_resources used;
	double estimated_remaining_s; /* by its job's estimate; INFINITY for a service */
	double stop_loss_s;           /* work lost if the attempt is stopped */
};

/*
 * The snapshot, owned by the caller. The cycle updates jobs, machines, attempts and teams as it
 * decides.
 */
struct fl_sched_input {
	const struct fl_sched_params *params;
	struct fl_sched_job *jobs;
	int job_count;
	struct fl_sched_machine *machines;
	int machine_count;
	struct fl_sched_attempt *attempts;
	int attempt_count;
	struct fl_team *teams; /* a copy, in which the cycle updates the used amounts */
	double spot_loss_rate; /* probability per second that a spot machine is reclaimed */
	int resume_position;   /* position in the order where the last cycle ran out of time */
	bool (*out_of_time)(void *); /* whether the time budget is used up; NULL: no budget */
	void *context;               /* argument of out_of_time */
};

/* A decision to start one task of a job on a machine. */
struct fl_sched_start {
	int job, machine;
};

/*
 * Whether a job is held: it has nothing placed, or is a service, and a task could start now if the
 * backfill window of the top job did not limit it.
 */
enum fl_sched_hold {
	FL_SCHED_HOLD_UNKNOWN = 0, /* the cycle ran out of time before it considered the job */
	FL_SCHED_NOT_HELD,
	FL_SCHED_HELD
};

/* The decisions; the output owns the arrays. */
struct fl_sched_output {
	struct fl_sched_start *starts;
	int start_count, start_capacity;
	int *preemptions; /* indices of the attempts to be stopped */
	int preemption_count, preemption_capacity;
	uint32_t *unplaced_tasks;  /* per job: tasks with no capacity found or requested */
	enum fl_sched_hold *holds; /* per job */
	int top_job;               /* index of the blocked top job; -1: none */
	double top_wait_s;         /* estimated time until the top job can start; INFINITY: never */
	double window_s;           /* the top job's backfill window from now on; INFINITY: none */
	int resume_position;       /* where the cycle ran out of time; 0: the cycle is complete */
	long machines_examined;    /* measures the work of the cycle without a clock */
};

/* The result of a step of a cycle, and whether its output can be used. */
enum fl_schedule_result {
	FL_SCHEDULE_OK = 0,       /* the output is complete */
	FL_SCHEDULE_OUT_OF_MEMORY /* the output is incomplete: only free it */
};

/* Returns the priority of a job within its rank: the product of the paper, with additions. */
double fl_sched_effective_priority(const struct fl_sched_params *params,
                                   const struct fl_sched_job *job);
/* Runs a cycle. The caller frees the output, also after a failure. */
enum fl_schedule_result fl_schedule(struct fl_sched_input *input, struct fl_sched_output *output);
/* Frees the arrays of the output and resets it. */
void fl_sched_output_free(struct fl_sched_output *output);

#endif
