/*
 * A slow, plain model of the scheduling rules, against which the real scheduling cycle is compared:
 * it looks at every machine for every task and has none of the real one's indexes.
 */
#ifndef FL_TESTS_SCHEDULE_MODEL_H
#define FL_TESTS_SCHEDULE_MODEL_H

#include "schedule_fixture.h"

enum { STARTS_MAX = 1000 };

struct model {
	struct snapshot snapshot;
	struct fl_resources
		releasing_resources[MACHINES_MAX]; /* by attempts that are being stopped */
	struct fl_sched_start starts[STARTS_MAX];
	int preemptions[ATTEMPTS_MAX];
	int start_count, preemption_count, top_job;
	double window_s;
	uint32_t unplaced_tasks[JOBS_MAX];
	/* Of the current job: tasks that wait for a machine with their image. */
	uint32_t awaiting_image_count;
};

/* Plays one scheduling cycle on the snapshot in the model, and notes what it decides. */
void model_run_cycle(struct model *model);

/* ---- reservations ---- */

/* What bounds where a reservation or a start of one task may be. */
struct model_constraint {
	const double *max_task_duration_s; /* of each machine, in s from now; NULL: none */
	double estimate_s;                 /* of the task */
	bool within_guarantee;             /* victims may be those that are beyond theirs */
	bool image_cached_only;            /* where the image is cached, at 60 s of loss at most */
};

bool model_duration_allowed(const struct model_constraint *constraint, int machine);

/* Reserves the resources of one more task, and preempts what is in its way; whether it could. */
bool model_request_task_capacity(struct model *model, struct fl_sched_job *job,
                                 const struct model_constraint *constraint);

/* Reserves for what could not be started of a job; the number of tasks. */
uint32_t model_request_job_capacity(struct model *model, int job_index,
                                    struct model_constraint constraint);

/* ---- the rules, which change nothing ---- */

/* May a task of the job run there at all, by type, zone and spot? */
bool model_machine_allowed(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

/* Does one task of the job fit into this? */
bool model_task_fits(const struct fl_sched_job *job, struct fl_resources available);

/* May one more task of the job be in this zone, by those it already has? */
bool model_zone_allowed(const struct fl_sched_job *job, int zone);

/* Is one more task of the job within the limits of its team? */
bool model_within_team_maximum(const struct model *model, const struct fl_sched_job *job);

/* Is this use within the guarantee of the team? */
bool model_usage_within_guarantee(const struct fl_team *team, double cpus, double gpus);

/* Is it a service that goes before all other jobs? */
bool model_is_urgent_service(const struct fl_sched_job *job);

/* Is the image of the job in the cache of the machine? */
bool model_image_cached(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

/* Of a placement; the lowest is the best. */
double model_placement_cost(const struct model *model, const struct fl_sched_job *job,
                            const struct fl_sched_machine *machine);

/* The zone of a job whose tasks must be together; -1: any. */
int model_zone_choice(const struct model *model, const struct fl_sched_job *job);

/* May this attempt be preempted for the job? */
bool model_may_preempt(const struct model *model, const struct fl_sched_job *job,
                       const struct fl_sched_attempt *attempt, bool within_guarantee);

/* Free or about to become free on a machine, less what is reserved to one before `job`. */
struct fl_resources model_available_resources(const struct model *model,
                                              const struct fl_sched_job *job, int machine_index);

/* Seconds until the next start of the job fits, by the estimates of the attempts. */
double model_time_to_fit_s(const struct model *model, const struct fl_sched_job *job);

#endif
