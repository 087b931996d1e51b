/*
 * What the files of the schedule share: the state of one cycle, and the steps that a cycle is made
 * of, by the file that owns each. Nothing outside schedule*.c includes this.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULE_INTERNAL_H
#define FL_COORDINATION_SCHEDULING_SCHEDULE_INTERNAL_H

#include "coordination/scheduling/schedule.h"
#include "storage/array.h"
#include "storage/placement_rules.h"

/* Items of the first allocation of a list in the output. */
enum { FL_SCHED_FIRST_CAPACITY = 32 };

/* The state of one cycle. */
struct fl_sched_cycle {
	struct fl_sched_input *input;
	struct fl_sched_output *output;
	int *order;                 /* indices of jobs, first to be considered first */
	int *rank;                  /* per job; a higher rank goes before any priority */
	double *effective_priority; /* per job */
	/*
	 * The attempts on machine i are attempts_by_machine[first_attempt[i]] up to
	 * [first_attempt[i + 1]].
	 */
	int *first_attempt, *attempts_by_machine;
	int *lowest_priority; /* per machine: of its attempts, those being stopped aside */
	/* Per machine: what stops under way will free, less what this cycle has requested of it. */
	struct fl_resources *releasing;
	/* Per machine, for the job being considered; INFINITY: not possible there. */
	double *start_cost, *preemption_cost;
	int *victims; /* scratch space for the attempts on any one machine */
	bool resumed; /* the cycle skipped a part of the order before the job being considered */
	/* Tasks of the job being considered with capacity requested where their image is cached. */
	uint32_t tasks_awaiting_image;
	bool out_of_memory; /* no memory */
};

/* ---- order: schedule_order.c ---- */

/* Seconds that a task is estimated to run, of a service too. */
double fl_sched_estimate_s(const struct fl_sched_params *params, const struct fl_sched_job *job);
/* Whether a job is a service that may preempt arrays, and is therefore placed before them. */
bool fl_sched_is_urgent_service(const struct fl_sched_job *job);
/* Whether a job has waited for longer than overdue_after_s and has not begun; never a service. */
bool fl_sched_is_overdue(const struct fl_sched_params *params, const struct fl_sched_job *job);
/* Fills in the order, the rank and the priority of the cycle. */
void fl_sched_sort_jobs(struct fl_sched_cycle *cycle);

/* ---- constraints and capacity: schedule_constraints.c ---- */

/* Whether the job's type, zone and price constraints admit the machine. */
static inline bool fl_sched_job_allows_machine(const struct fl_sched_job *job,
                                               const struct fl_sched_machine *machine)
{
	struct fl_kind_rule rule = {job->allowed_types, job->zone, job->spot_allowed};
	struct fl_machine_kind kind = {machine->type, machine->zone, machine->spot};

	return fl_kind_rule_admits(rule, kind);
}

/* Whether one more task may go to this zone, by where the job's other tasks are. */
bool fl_sched_job_allows_zone(const struct fl_sched_job *job, int zone);
/* Whether one more task stays within the maximum quota of the job's team. */
bool fl_sched_within_team_maximum(const struct fl_sched_input *input,
                                  const struct fl_sched_job *job);
/* Whether placing a task of the job changes the cost of other machines for its other tasks. */
bool fl_sched_cost_depends_on_zones(const struct fl_sched_job *job);
/* How many tasks of the job fit into these resources. */
uint32_t fl_sched_placement_capacity(const struct fl_sched_job *job, struct fl_resources available);
/* What is or will be free on a machine for this job, less what is reserved for others. */
struct fl_resources fl_sched_available_resources(const struct fl_sched_cycle *cycle,
                                                 const struct fl_sched_job *job, int machine_index);

/* ---- cost: schedule_cost.c ---- */

/* Seconds to fetch the job's image; 0 if the machine has it. */
double fl_sched_image_fetch_s(const struct fl_sched_job *job,
                              const struct fl_sched_machine *machine);
/* The cost of a task on a machine where it fits, in seconds; the lowest is the best. */
double fl_sched_placement_cost(const struct fl_sched_input *input, const struct fl_sched_job *job,
                               const struct fl_sched_machine *machine);
/* Index of the first of the lowest finite costs; -1: none is finite. */
int fl_sched_lowest_cost_index(const double *costs, int count);

/* ---- placement: schedule_placement.c ---- */

/*
 * Starts what fits now; true if tasks are left for lack of capacity, not for the team's quota. With
 * `max_duration_s` (per machine; NULL: no bound) only tasks start that are estimated to end within
 * it.
 */
bool fl_sched_start_fitting_tasks(struct fl_sched_cycle *cycle, int job_index,
                                  const double *max_duration_s);

/* ---- preemption: schedule_preemption.c ---- */

/*
 * Whether a task of an urgent service waits for a machine that has its image, rather than be
 * started on this one and wait for the fetch. If so, capacity for it is requested there.
 */
bool fl_sched_request_machine_with_image(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                                         int machine_index);
/*
 * Requests capacity for what still waits, by preemption, and returns for how many tasks it was
 * found. `max_duration_s` as for fl_sched_start_fitting_tasks.
 */
uint32_t fl_sched_request_preemptions(struct fl_sched_cycle *cycle, int job_index,
                                      const double *max_duration_s);

/* ---- backfill: schedule_backfill.c ---- */

/* Makes a job the blocked top job, and sets its backfill window. */
void fl_sched_set_backfill_window(struct fl_sched_cycle *cycle, int top);
/* Per machine, how long a backfilled task may run: any time where the top job may not run. */
void fl_sched_compute_backfill_limits(const struct fl_sched_cycle *cycle, double *max_duration_s);
/* Whether the top job's window bounds this job. */
bool fl_sched_is_bound_by_window(const struct fl_sched_cycle *cycle,
                                 const struct fl_sched_job *job);

#endif
