/*
 * What the files of the schedule share: the state of one pass, and the steps that a pass is made
 * of. Nothing else includes this.
 */
#ifndef FL_COORDINATION_SCHEDULING_SCHEDULE_INTERNAL_H
#define FL_COORDINATION_SCHEDULING_SCHEDULE_INTERNAL_H

#include "coordination/scheduling/schedule.h"

/* Slack in comparisons: amounts are sums of decimal fractions. In the unit of the amount. */
#define FL_SCHED_EPSILON 1e-6

/* The state of one pass. */
struct fl_sched_cycle {
	struct fl_sched_input *input;
	struct fl_sched_output *output;
	int *order;       /* indices of jobs, first to be considered first */
	int *rank;        /* per job; a higher rank goes before any priority */
	double *priority; /* per job */
	/* The runs of machine i are run_by_machine[first_run[i]] up to [first_run[i + 1]]. */
	int *first_attempt, *attempts_by_machine;
	int *lowest_priority; /* per machine: of its runs, those being stopped aside */
	/* Per machine: what stops under way will free and no request of this pass has taken. */
	double *releasing_cpus, *releasing_gpus, *releasing_ram_gb;
	/* Per machine, for the job being considered; INFINITY: not possible there. */
	double *start_cost, *preemption_cost;
	int *victims;                  /* scratch space for the runs of any one machine */
	bool resumed;                  /* the job being considered comes after a part left out */
	uint32_t tasks_awaiting_image; /* tasks of that job with room requested where their image
	                                  lies */
	bool failed;                   /* no memory */
};

/* ---- order (schedule_order.c) ---- */

/* Whether a job is a service that may preempt arrays, and is therefore placed before them. */
bool fl_sched_precedes_arrays(const struct fl_sched_job *job);
/* Whether an array has waited past its patience and has not begun. */
bool fl_sched_overdue(const struct fl_sched_params *params, const struct fl_sched_job *job);
/* Fills in order, rank and priority. */
void fl_sched_sort_jobs(struct fl_sched_cycle *cycle);

/* ---- constraints and free room (schedule_constraints.c) ---- */

/* Whether the job's type, zone and price constraints admit the machine. */
static inline bool fl_sched_allowed(const struct fl_sched_job *job,
                                    const struct fl_sched_machine *machine)
{
	return (job->allowed_types >> machine->type & 1) &&
	       (job->zone < 0 || job->zone == machine->zone) &&
	       (job->spot_allowed || !machine->spot);
}

/* Whether one task of the job fits into these amounts. */
static inline bool fl_sched_fits(const struct fl_sched_job *job, double cpus, double gpus,
                                 double ram_gb)
{
	return job->need.cpus <= cpus + FL_SCHED_EPSILON &&
	       job->need.gpus <= gpus + FL_SCHED_EPSILON &&
	       job->need.ram_gb <= ram_gb + FL_SCHED_EPSILON;
}

/* Whether one more task may go to this zone, by where the job's other tasks are. */
bool fl_sched_zone_allows(const struct fl_sched_job *job, int zone);
/* Whether one more task stays within the maximum of the job's team. */
bool fl_sched_team_allows(const struct fl_sched_input *input, const struct fl_sched_job *job);
/* Whether a task that is placed changes what other machines are worth to the rest of its job. */
bool fl_sched_depends_on_zones(const struct fl_sched_job *job);
/* How many tasks of the job fit into these amounts. */
uint32_t fl_sched_placement_capacity(const struct fl_sched_job *job, double cpus, double gpus,
                                     double ram_gb);
/* What is or will be free on a machine for this job, less what is reserved for others. */
struct fl_resources fl_sched_capacity_for(const struct fl_sched_cycle *cycle,
                                          const struct fl_sched_job *job, int machine_index);

/* ---- cost (schedule_cost.c) ---- */

/* Time to fetch the job's image; 0 if the machine has it. */
double fl_sched_image_fetch_s(const struct fl_sched_job *job,
                              const struct fl_sched_machine *machine);
/* The cost of a task on a machine where it fits, in seconds; the lowest is the best. */
double fl_sched_placement_cost(const struct fl_sched_input *input, const struct fl_sched_job *job,
                               const struct fl_sched_machine *machine);
/* Index of the first of the lowest finite costs; -1: none is finite. */
int fl_sched_lowest_cost(const double *costs, int count);
/* Grows an array to hold one more than `count` items; false without memory. */
bool fl_sched_grow(void **items, int count, int *capacity, size_t size);
/* ---- placement (schedule_placement.c) ---- */

/*
 * Starts what fits now; true if room was what ended it, not the team's limit. With `must_end_by`
 * (per machine; NULL: no bound) only tasks start that are estimated to end within it.
 */
bool fl_sched_start_fitting(struct fl_sched_cycle *cycle, int job_index, const double *must_end_by);

/* ---- preemption (schedule_preemption.c) ---- */

/*
 * Whether a task of an urgent service waits for a machine that has its image, rather than be
 * started on this one and wait for the fetch. If so, its room is requested.
 */
bool fl_sched_wait_for_cached_image(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                                    int machine_index);
/* Requests room for what still waits, by preemption; returns for how many tasks it was found. */
uint32_t fl_sched_request_preemptions(struct fl_sched_cycle *cycle, int job_index,
                                      const double *must_end_by);

/* ---- backfill (schedule_backfill.c) ---- */

/* Makes a job the blocked top job, and sets its backfill window. */
void fl_sched_set_window(struct fl_sched_cycle *cycle, int top);
/* Per machine, how long a backfilled task may run: any time where the top job cannot go. */
void fl_sched_window_by_machine(const struct fl_sched_cycle *cycle, double *must_end_by);
/* Whether the top job's window bounds this job. */
bool fl_sched_bound_by_top(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job);

#endif
