/*
 * A slow, plain model of the scheduling rules, with which the real scheduling cycle is compared.
 * The model examines every machine for every task and has none of the scheduler's indexes.
 */
#ifndef FL_TESTS_SCHEDULE_MODEL_H
#define FL_TESTS_SCHEDULE_MODEL_H

#include "schedule_fixture.h"

enum { STARTS_MAX = 1000 };

struct model {
	struct snapshot snapshot;
	/* Per machine, the resources that attempts being stopped will release. */
	struct fl_resources releasing_resources[MACHINES_MAX];
	struct fl_sched_start starts[STARTS_MAX];
	int preemptions[ATTEMPTS_MAX];
	int start_count, preemption_count, top_job;
	double window_s;
	uint32_t unplaced_tasks[JOBS_MAX];
	bool held[JOBS_MAX]; /* waits beside a free place that only the window keeps it from */
	/* Tasks of the job being considered that wait for a machine with their image. */
	uint32_t awaiting_image_count;
};

/* Runs one scheduling cycle on the snapshot in the model, and records its decisions there. */
void model_run_cycle(struct model *model);

/* ---- reservations ---- */

/* Limits on the machines where capacity for a task may be requested or a task may start. */
struct model_constraint {
	const double *max_task_duration_s; /* per machine; NULL: no limit */
	double estimate_s;                 /* estimated duration of the task */
	bool within_guarantee;             /* may preempt work beyond other teams' guarantees */
	/* Only machines with the image cached, where the preemptions cost at most 60 s. */
	bool image_cached_only;
};

/* Returns whether the estimated duration of the task is within the limit of the machine. */
bool model_duration_allowed(const struct model_constraint *constraint, int machine);

/*
 * Requests capacity for one more task, and preempts the attempts that occupy it. Returns whether a
 * machine was found.
 */
bool model_request_task_capacity(struct model *model, struct fl_sched_job *job,
                                 const struct model_constraint *constraint);

/*
 * Requests capacity for the tasks of a job that could not be started. Returns the number of tasks
 * for which capacity was found.
 */
uint32_t model_request_job_capacity(struct model *model, int job_index,
                                    struct model_constraint constraint);

/* ---- rules: these functions do not change the model ---- */

/* Returns whether the job's type, zone and spot constraints allow the machine. */
bool model_machine_allowed(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

/* Returns whether one task of the job fits into these resources. */
bool model_task_fits(const struct fl_sched_job *job, struct fl_resources available);

/* Returns whether one more task may run in this zone, given the zones of the job's other tasks. */
bool model_zone_allowed(const struct fl_sched_job *job, int zone);

/* Returns whether one more task of the job stays within the maximum quota of its team. */
bool model_within_team_maximum(const struct model *model, const struct fl_sched_job *job);

/* Returns whether this usage is within the guaranteed quota of the team. */
bool model_usage_within_guarantee(const struct fl_team *team, double cpus, double gpus);

/* Returns whether the job is an urgent service, which precedes all other jobs. */
bool model_is_urgent_service(const struct fl_sched_job *job);

/* Returns whether the machine has cached the image of the job. */
bool model_image_cached(const struct fl_sched_job *job, const struct fl_sched_machine *machine);

/* Returns the cost of a task of the job on the machine; the lowest is the best. */
double model_placement_cost(const struct model *model, const struct fl_sched_job *job,
                            const struct fl_sched_machine *machine);

/* Returns the zone for a job whose tasks must share a zone; -1: any. */
int model_zone_choice(const struct model *model, const struct fl_sched_job *job);

/* Returns whether this attempt may be preempted for the job. */
bool model_may_preempt(const struct model *model, const struct fl_sched_job *job,
                       const struct fl_sched_attempt *attempt, bool within_guarantee);

/*
 * Returns the resources that are or will be free on a machine, without those reserved for a job
 * that precedes `job`.
 */
struct fl_resources model_available_resources(const struct model *model,
                                              const struct fl_sched_job *job, int machine_index);

/* Returns whether a task of the job fits on a machine once all its attempts but services ended. */
bool model_task_will_fit(const struct model *model, const struct fl_sched_job *job,
                         int machine_index);

/* Returns the seconds until the next start of the job fits, by the estimates of the attempts. */
double model_time_to_fit_s(const struct model *model, const struct fl_sched_job *job);

#endif
