/*
 * One scheduling cycle, as a pure function: a snapshot goes in, decisions come out. It reads no
 * clock, makes no call and writes no log; equal snapshots give equal decisions, bit for bit (unless
 * a budget ends a cycle early). Jobs are ordered by the priority of "Scheduling Jobs on Parallel
 * Systems Using a Relaxed Backfill Strategy"; what is added to it is explained in docs/design.md.
 *
 * A cycle never starts more on a machine than is free there, never takes a team beyond its maximum
 * quota, and starts a gang as a whole or not at all.
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
	double wait_exponent, estimate_exponent, cpus_exponent, priority_base,
		window_factor;     /* the paper's */
	double default_estimate_s; /* for jobs with no estimate */
	double overdue_after_s;    /* wait after which a job is overdue: see aging_power */
	double aging_exponent;     /* power by which the weight of the wait grows from then on */
	double background_overdue_factor; /* times that wait for background work */
};

/* The parameters that a controller uses; the reasons are in schedule_order.c. */
extern const struct fl_sched_params fl_sched_default_params;

/* A job with tasks to be placed. */
struct fl_sched_job {
	enum fl_priority priority;
	bool service;
	bool gang; /* all its waiting tasks start at once, or none */
	int team;
	double waited_s, estimate_s; /* estimate_s: of one task; 0: none */
	struct fl_resources need;    /* of one task */
	double image_gb;
	uint32_t task_count, startable_count; /* startable: waiting tasks that may start now */
	uint32_t allowed_types;               /* machine types it may use, one bit each */
	int zone;                             /* the only one; -1: any */
	bool same_zone, spread_zones, spot_allowed;
	/* Fits its team's guaranteed quota together with the team's earlier jobs. */
	bool within_guaranteed;
	bool background; /* an array of a class for which no SLO is set, though some are */
	bool begun;      /* some task of it runs, or is done */
	uint32_t placed_by_zone[FL_ZONES_MAX], placed_in_unknown_zone; /* tasks placed, by zone */
	int image;
	double window_remaining_s; /* what is left of its backfill window; < 0: none yet */
};

/*
 * Resources of a machine for which a job waits, also while victims are being stopped there:
 * meanwhile only jobs of the same or a higher priority may start there.
 */
struct fl_reservation {
	bool active, within_guaranteed;
	enum fl_priority priority;
	struct fl_resources resources; /* reserved; the rest of the machine is free to all */
};

/* A machine on which tasks may start. */
struct fl_sched_machine {
	int type, zone;
	bool spot;
	bool runs_service; /* a service runs here, so that the machine is kept in any case */
	struct fl_reservation reserved, requested; /* by earlier cycles, and by this one */
	struct fl_resources free;
	double pull_gb_s;
	const int *cached_images; /* FL_IMAGE_CACHE_MAX images, borrowed; NULL: none */
};

/* An attempt that may be on a machine. */
struct fl_sched_attempt {
	int machine, team;
	enum fl_priority priority;
	bool service, stopping;
	bool preemptible;       /* may be chosen as a victim at all */
	bool within_guaranteed; /* of a job within its team's guaranteed quota */
	bool last_running_task; /* of an overdue job: only urgent work preempts it */
	struct fl_resources used;
	double estimated_remaining_s; /* by its estimate; INFINITY for a service */
	double stop_loss_s;           /* work that a stop would lose */
};

/*
 * The snapshot, owned by the caller. The cycle changes jobs, machines, attempts and teams as it
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
	struct fl_team *teams;       /* a copy: used amounts are updated by the cycle */
	double spot_loss_rate;       /* chance a second that a spot machine is reclaimed */
	int resume_position;         /* place in the order where the last cycle ran out of time */
	bool (*out_of_time)(void *); /* NULL: no budget */
	void *context;               /* its argument */
};

/* A decision to start one task of a job on a machine. */
struct fl_sched_start {
	int job, machine;
};

/* The decisions, owned by the output. */
struct fl_sched_output {
	struct fl_sched_start *starts;
	int start_count, start_capacity;
	int *preemptions; /* the attempts to be stopped */
	int preemption_count, preemption_capacity;
	uint32_t *unplaced_tasks; /* per job: tasks left without a machine, team limits apart */
	int top_job;              /* the blocked top job; -1: none */
	double window_s;          /* its backfill window from now on */
	int resume_position;      /* 0: the cycle came to its end */
	long machines_examined;   /* the work of the cycle, independent of the clock */
};

/* How a step of a cycle ended, and what the caller must do with what it put out. */
enum fl_schedule_result {
	FL_SCHEDULE_OK = 0,       /* use it */
	FL_SCHEDULE_OUT_OF_MEMORY /* only free it: it is incomplete */
};

/* The priority of a job within its rank: the product of the paper, with what is added to it. */
double fl_sched_effective_priority(const struct fl_sched_params *params,
                                   const struct fl_sched_job *job);
/* Runs a cycle. Free the output whatever the result. */
enum fl_schedule_result fl_schedule(struct fl_sched_input *input, struct fl_sched_output *output);
/* Frees the arrays of the output, and clears it. */
void fl_sched_output_free(struct fl_sched_output *output);

#endif
