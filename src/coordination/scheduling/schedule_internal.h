/*
 * Shared by the schedule*.c files only: the state of one cycle, and the steps of a cycle, grouped
 * by the file that implements them.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULE_INTERNAL_H
#define FL_COORDINATION_SCHEDULING_SCHEDULE_INTERNAL_H

#include "coordination/scheduling/schedule.h"
#include "storage/array.h"
#include "storage/placement_rules.h"

/* Initial capacity of the arrays in the output. */
enum { FL_SCHED_FIRST_CAPACITY = 32 };

/* The state of one cycle. */
struct fl_sched_cycle {
	struct fl_sched_input *input;
	struct fl_sched_output *output;
	int *order;                 /* indices of jobs, in the order in which they are considered */
	int *rank;                  /* per job; compared before the effective priority */
	double *effective_priority; /* per job */
	/*
	 * The attempts on machine i are attempts_by_machine[first_attempt[i]] up to, but not
	 * including, attempts_by_machine[first_attempt[i + 1]].
	 */
	int *first_attempt, *attempts_by_machine;
	int *lowest_priority; /* per machine: of its attempts that are not being stopped */
	/*
	 * Per machine: resources that the attempts being stopped will free. Requests of this cycle
	 * are subtracted from the free resources of the machine.
	 */
	struct fl_resources *releasing;
	/* Per machine, for the job being considered; INFINITY: not possible on that machine. */
	double *start_cost, *preemption_cost;
	int *victims; /* scratch space for the attempts on one machine */
	bool resumed; /* the cycle may have skipped jobs that precede the job being considered */
	/*
	 * Number of tasks of the job being considered that wait for requested capacity on machines
	 * that have their image cached.
	 */
	uint32_t tasks_awaiting_image;
	/* Only the backfill window kept a task of the job being considered from some machine. */
	bool window_kept_task;
	bool out_of_memory; /* an allocation failed: the output is incomplete */
};

/* ---- order: schedule_order.c ---- */

/* Returns the estimated duration of a task, also of a service. */
double fl_sched_estimate_s(const struct fl_sched_params *params, const struct fl_sched_job *job);
/* Returns whether a job is an urgent or critical service, which is placed before arrays. */
bool fl_sched_is_urgent_service(const struct fl_sched_job *job);
/* Returns whether a job has waited over overdue_after_s without beginning; never a service. */
bool fl_sched_is_overdue(const struct fl_sched_params *params, const struct fl_sched_job *job);
/* Computes the order, the ranks and the effective priorities of the cycle. */
void fl_sched_sort_jobs(struct fl_sched_cycle *cycle);

/* ---- constraints and capacity: schedule_constraints.c ---- */

/* Returns whether the job's type, zone and spot constraints admit the machine. */
static inline bool fl_sched_job_allows_machine(const struct fl_sched_job *job,
                                               const struct fl_sched_machine *machine)
{
	struct fl_kind_rule rule = {job->allowed_types, job->zone, job->spot_allowed};
	struct fl_machine_kind kind = {machine->type, machine->zone, machine->spot};

	return fl_kind_rule_admits(rule, kind);
}

/* Returns whether one more task may run in this zone, given the zones of the job's other tasks. */
bool fl_sched_job_allows_zone(const struct fl_sched_job *job, int zone);
/* Returns whether one more task stays within the maximum quota of the job's team. */
bool fl_sched_within_team_maximum(const struct fl_sched_input *input,
                                  const struct fl_sched_job *job);
/* Returns whether placing a task changes the costs of other machines for the job's other tasks. */
bool fl_sched_cost_depends_on_zones(const struct fl_sched_job *job);
/* Returns how many tasks of the job fit into these resources. */
uint32_t fl_sched_placement_capacity(const struct fl_sched_job *job, struct fl_resources available);
/* Returns what is or will be free on a machine for this job, without reservations for others. */
struct fl_resources fl_sched_available_resources(const struct fl_sched_cycle *cycle,
                                                 const struct fl_sched_job *job, int machine_index);

/* ---- cost: schedule_cost.c ---- */

/* Returns the seconds to fetch the job's image; 0 if the machine has cached it. */
double fl_sched_image_fetch_s(const struct fl_sched_job *job,
                              const struct fl_sched_machine *machine);
/* Returns the cost, in seconds, of a task on a machine where it fits; the lowest is the best. */
double fl_sched_placement_cost(const struct fl_sched_input *input, const struct fl_sched_job *job,
                               const struct fl_sched_machine *machine);
/* Returns the index of the first of the lowest finite costs; -1: none is finite. */
int fl_sched_lowest_cost_index(const double *costs, int count);

/* ---- placement: schedule_placement.c ---- */

/*
 * Starts the tasks that fit now; returns whether tasks are left for lack of capacity rather than
 * because of the team's quota. With `max_duration_s` (per machine; NULL: no limit), only tasks
 * start whose estimated duration is within the limit.
 */
bool fl_sched_start_fitting_tasks(struct fl_sched_cycle *cycle, int job_index,
                                  const double *max_duration_s);
/*
 * Starts one task of a job, or all tasks of a gang, if there is a free place, regardless of the
 * backfill window.
 */
void fl_sched_start_held_task(struct fl_sched_cycle *cycle, int job_index);
/* Returns whether a whole gang could start now, regardless of the backfill window. */
bool fl_sched_gang_could_start(struct fl_sched_cycle *cycle, int job_index);

/* ---- preemption: schedule_preemption.c ---- */

/*
 * Requests capacity for a task of an urgent service on a machine that has its image cached, if the
 * fetch on this machine would take long. Returns whether the task waits for that capacity rather
 * than starting on this machine.
 */
bool fl_sched_request_machine_with_image(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                                         int machine_index);
/*
 * Requests capacity by preemption for the tasks that could not start; returns for how many tasks it
 * was found. `max_duration_s`: as for fl_sched_start_fitting_tasks.
 */
uint32_t fl_sched_request_preemptions(struct fl_sched_cycle *cycle, int job_index,
                                      const double *max_duration_s);

/* ---- backfill: schedule_backfill.c ---- */

/* Makes a job the blocked top job, and sets its backfill window. */
void fl_sched_set_backfill_window(struct fl_sched_cycle *cycle, int top);
/*
 * Computes how long backfilled tasks may run, per machine; INFINITY on machines that the top job
 * may not use, or where it will not fit.
 */
void fl_sched_compute_backfill_limits(const struct fl_sched_cycle *cycle, double *max_duration_s);
/* Returns whether the top job's backfill window limits this job. */
bool fl_sched_is_bound_by_window(const struct fl_sched_cycle *cycle,
                                 const struct fl_sched_job *job);
/* Returns whether the window has held the job for so long that one of its tasks may start. */
bool fl_sched_hold_is_over(const struct fl_sched_params *params, const struct fl_sched_job *job);
/*
 * Returns whether the window holds the job that has just been considered within it, and that was
 * short of capacity.
 */
bool fl_sched_is_held(struct fl_sched_cycle *cycle, int job_index);

#endif
