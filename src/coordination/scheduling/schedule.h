/*
 * One scheduling pass, pure: a snapshot goes in, decisions come out. The order is the product of
 * the relaxed backfill paper; what is added around it is explained in docs/design.md.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULE_H
#define FL_COORDINATION_SCHEDULING_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/machines.h"
#include "storage/teams.h"
#include "protocol/users.h"

/* The weights of the order, and the patience beyond which an array must not wait. */
struct fl_sched_params {
	double alpha, beta, gamma, r, omega; /* the paper's */
	double default_estimate_s;           /* for jobs with no estimate */
	double patience_s;                   /* past it, waiting weighs more and more */
	double impatience;                   /* power of what it then weighs more */
	double background_patience;          /* times the patience that background work has */
};

/* What a controller uses; the reasons are in schedule_order.c. */
extern const struct fl_sched_params fl_sched_defaults;

/* A job with tasks to be placed. */
struct fl_sched_job {
	enum fl_priority priority;
	bool service;
	bool gang; /* all its waiting tasks start at once, or none */
	int team;
	double waited_s, estimate_s;
	double cpus, gpus, ram_gb, image_gb; /* of one task */
	uint32_t task_count, waiting;        /* waiting: may start now */
	uint32_t types;                      /* machine types it may use, one bit each */
	int zone;                            /* the only one; -1: any */
	bool same_zone, spread_zones, spot_allowed;
	bool within_guaranteed; /* fits its team's guarantee together with the team's earlier jobs
	                         */
	bool background; /* an array of a class for which no objective is set, though some are */
	bool begun;      /* some task of it runs, or is done */
	uint32_t placed_by_zone[FL_ZONES_MAX], placed_in_unknown_zone; /* tasks placed, by zone */
	int image;
	double window_left; /* what is left of its backfill window, s; < 0: none yet */
};

/*
 * Room on a machine for which a job waits, also while others are being stopped there: meanwhile
 * only such jobs as this one or better may start there.
 */
struct fl_reservation {
	bool made, within_guaranteed;
	enum fl_priority priority;
	double cpus, gpus, ram_gb; /* reserved; the rest of the machine is free to all */
};

/* A machine on which tasks may start. */
struct fl_sched_machine {
	int type, zone;
	bool spot;
	bool runs_service; /* a service runs here, so that the machine is kept in any case */
	struct fl_reservation reserved, requested; /* by earlier passes, and by this one */
	double cpus, gpus, ram_gb;                 /* free */
	double pull_gb_s;
	const int *cached_images; /* FL_IMAGE_CACHE_MAX images */
};

/* An attempt that may be on a machine. */
struct fl_sched_attempt {
	int machine, team;
	enum fl_priority priority;
	bool service, stopping, movable; /* movable: may be chosen as a victim at all */
	bool within_guaranteed;          /* of a job within its team's guarantee */
	bool last_running_task;          /* of a job past its patience: only urgent work stops it */
	double cpus, gpus, ram_gb;
	double left_s; /* by its estimate; INFINITY for a service */
	double lost_s; /* work that a stop would lose */
};

/* The snapshot. The pass changes jobs, machines, runs and teams as it decides. */
struct fl_sched_input {
	const struct fl_sched_params *params;
	struct fl_sched_job *jobs;
	int job_count;
	struct fl_sched_machine *machines;
	int machine_count;
	struct fl_sched_attempt *attempts;
	int attempt_count;
	struct fl_team *teams;       /* a copy: used amounts are updated by the pass */
	double spot_loss_rate;       /* chance a second that a spot machine is reclaimed */
	int resume_position;         /* place in the order where the last pass ran out of time */
	bool (*out_of_time)(void *); /* NULL: no budget */
	void *ctx;                   /* its argument */
};

/* A decision to start one task: an index of a job and one of a machine. */
struct fl_sched_start {
	int job, machine;
};

/* The decisions. */
struct fl_sched_output {
	struct fl_sched_start *starts;
	int start_count, start_capacity;
	int *preemptions; /* indices of runs to be stopped */
	int preemption_count, preemption_capacity;
	uint32_t *unplaced_tasks; /* per job: tasks left without room, team limits apart */
	int top_job;              /* the blocked top job; -1: none */
	double window_s;          /* its backfill window from now on */
	int resume_position;      /* 0: the pass came to its end */
	long machines_examined; /* machines examined: the work of the pass, independent of the clock
	                         */
};

/* The priority of a job within its rank: the product of the paper, with what is added to it. */
double fl_sched_priority(const struct fl_sched_params *params, const struct fl_sched_job *job);
/* Runs a pass; -1 without memory. Free the result in any case. */
int fl_schedule(struct fl_sched_input *input, struct fl_sched_output *output);
/* Frees what a pass has put out. */
void fl_sched_output_free(struct fl_sched_output *output);

#endif
