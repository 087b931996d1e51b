/* A scheduling cycle: its memory, the attempts by machine, and the jobs considered in order. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Groups the attempts by machine, so that no step scans all attempts for each of hundreds of
 * machines.
 */
static void index_attempts(struct fl_sched_cycle *cycle)
{
	const struct fl_sched_input *input = cycle->input;
	int *first_attempt = cycle->first_attempt;

	for (int i = 0; i < input->attempt_count; i++)
		first_attempt[input->attempts[i].machine + 1]++;
	for (int i = 0; i < input->machine_count; i++)
		first_attempt[i + 1] += first_attempt[i];
	/* Fills from the end: each machine's end index is decremented down to its start index. */
	for (int i = input->attempt_count - 1; i >= 0; i--)
		cycle->attempts_by_machine[--first_attempt[input->attempts[i].machine + 1]] = i;
	/* Entry i + 1 now holds the start index of machine i: shift the entries by one. */
	for (int i = 0; i < input->machine_count; i++)
		first_attempt[i] = first_attempt[i + 1];
	first_attempt[input->machine_count] = input->attempt_count;
}

/*
 * Finds the lowest priority on each machine: a preemption by priority need not examine machines
 * that run nothing of a lower priority.
 */
static void find_lowest_priorities(struct fl_sched_cycle *cycle)
{
	for (int i = 0; i < cycle->input->machine_count; i++)
		cycle->lowest_priority[i] = FL_CRITICAL;
	for (int i = 0; i < cycle->input->attempt_count; i++) {
		const struct fl_sched_attempt *attempt = &cycle->input->attempts[i];
		int *lowest = &cycle->lowest_priority[attempt->machine];

		if (!attempt->stopping && (int)attempt->priority < *lowest)
			*lowest = (int)attempt->priority;
	}
}

/* Adds the resources, by machine, that the attempts being stopped will free. */
static void add_releasing_resources(struct fl_sched_cycle *cycle)
{
	for (int i = 0; i < cycle->input->attempt_count; i++) {
		const struct fl_sched_attempt *attempt = &cycle->input->attempts[i];

		if (attempt->stopping)
			fl_resources_add(&cycle->releasing[attempt->machine], attempt->used);
	}
}

/*
 * Starts tasks of a job, and requests capacity for the rest. `max_duration_s` limits a backfilled
 * job; NULL: no limit.
 */
static void consider_job(struct fl_sched_cycle *cycle, int job_index, const double *max_duration_s)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	double estimate_s = job->estimate_s;

	/* A service never ends: backfilled, it starts only where the top job may not run. */
	if (max_duration_s && estimate_s <= 0)
		job->estimate_s =
			job->service ? INFINITY : cycle->input->params->default_estimate_s;
	if (fl_sched_start_fitting_tasks(cycle, job_index, max_duration_s)) {
		if (fl_sched_is_held(cycle, job_index))
			cycle->output->holds[job_index] = FL_SCHED_HELD;
		cycle->output->unplaced_tasks[job_index] =
			job->startable_count - cycle->tasks_awaiting_image -
			fl_sched_request_preemptions(cycle, job_index, max_duration_s);
	}
	job->estimate_s = estimate_s;
}

/* Considers one job. The first job that is left short of capacity becomes the top job. */
static void consider_next_job(struct fl_sched_cycle *cycle, int job_index,
                              double *backfill_limits_s)
{
	const struct fl_sched_job *job = &cycle->input->jobs[job_index];
	bool backfill = cycle->output->top_job >= 0;
	bool bound_by_window = backfill && fl_sched_is_bound_by_window(cycle, job);

	cycle->output->holds[job_index] = FL_SCHED_NOT_HELD;
	if (bound_by_window && fl_sched_hold_is_over(cycle->input->params, job))
		fl_sched_start_held_task(cycle, job_index);
	if (job->startable_count == 0)
		return;
	consider_job(cycle, job_index, bound_by_window ? backfill_limits_s : NULL);
	if (backfill || cycle->output->unplaced_tasks[job_index] == 0)
		return;
	fl_sched_set_backfill_window(cycle, job_index);
	if (!cycle->out_of_memory)
		fl_sched_compute_backfill_limits(cycle, backfill_limits_s);
}

static void consider_jobs_in_order(struct fl_sched_cycle *cycle)
{
	struct fl_sched_input *input = cycle->input;
	double *backfill_limits_s =
		malloc(((size_t)input->machine_count + 1) * sizeof(*backfill_limits_s));
	int resume = input->resume_position < input->job_count ? input->resume_position : 0;

	if (!backfill_limits_s) {
		cycle->out_of_memory = true;
		return;
	}
	for (int position = 0; position < input->job_count && !cycle->out_of_memory; position++) {
		int job_index = cycle->order[position];
		bool backfill = cycle->output->top_job >= 0;

		/*
		 * After a resumption, jobs behind the head of the order must not use reserved
		 * resources, except for urgent services. When cycles exceeded their budget, the
		 * resumed ones gave the resources that preemptions had freed for the head of the
		 * order to other jobs, which the head preempted again, tens of thousands of times
		 * a day.
		 */
		cycle->resumed = resume > 0 && backfill;

		if (input->jobs[job_index].startable_count == 0)
			continue;
		/*
		 * The head of the order is always considered; then the cycle resumes where the last
		 * one stopped.
		 */
		if (backfill && position < resume)
			continue;
		if (backfill && input->out_of_time && input->out_of_time(input->context)) {
			cycle->output->resume_position = position;
			break;
		}
		consider_next_job(cycle, job_index, backfill_limits_s);
	}
	free(backfill_limits_s);
}

/* Allocates the arrays of a cycle and of its output; returns false if out of memory. */
static bool allocate_cycle(struct fl_sched_cycle *cycle)
{
	size_t machine_count = (size_t)cycle->input->machine_count + 1;
	size_t job_count = (size_t)cycle->input->job_count + 1;
	size_t attempt_count = (size_t)cycle->input->attempt_count + 1;

	cycle->order = malloc(job_count * sizeof(*cycle->order));
	cycle->rank = malloc(job_count * sizeof(*cycle->rank));
	cycle->effective_priority = malloc(job_count * sizeof(*cycle->effective_priority));
	cycle->releasing = calloc(machine_count, sizeof(*cycle->releasing));
	cycle->start_cost = malloc(machine_count * sizeof(*cycle->start_cost));
	cycle->preemption_cost = malloc(machine_count * sizeof(*cycle->preemption_cost));
	cycle->victims = malloc(attempt_count * sizeof(*cycle->victims));
	cycle->first_attempt = calloc(machine_count, sizeof(*cycle->first_attempt));
	cycle->attempts_by_machine = malloc(attempt_count * sizeof(*cycle->attempts_by_machine));
	cycle->lowest_priority = malloc(machine_count * sizeof(*cycle->lowest_priority));
	cycle->output->unplaced_tasks = calloc(job_count, sizeof(*cycle->output->unplaced_tasks));
	cycle->output->holds = calloc(job_count, sizeof(*cycle->output->holds));
	return cycle->order && cycle->rank && cycle->effective_priority && cycle->releasing &&
	       cycle->start_cost && cycle->preemption_cost && cycle->victims &&
	       cycle->first_attempt && cycle->attempts_by_machine && cycle->lowest_priority &&
	       cycle->output->unplaced_tasks && cycle->output->holds;
}

static void free_cycle(struct fl_sched_cycle *cycle)
{
	free(cycle->order);
	free(cycle->rank);
	free(cycle->effective_priority);
	free(cycle->releasing);
	free(cycle->start_cost);
	free(cycle->preemption_cost);
	free(cycle->victims);
	free(cycle->first_attempt);
	free(cycle->attempts_by_machine);
	free(cycle->lowest_priority);
}

enum fl_schedule_result fl_schedule(struct fl_sched_input *input, struct fl_sched_output *output)
{
	struct fl_sched_cycle cycle = {.input = input, .output = output};

	memset(output, 0, sizeof(*output));
	output->top_job = -1;
	if (allocate_cycle(&cycle)) {
		index_attempts(&cycle);
		find_lowest_priorities(&cycle);
		add_releasing_resources(&cycle);
		fl_sched_sort_jobs(&cycle);
		consider_jobs_in_order(&cycle);
	} else {
		cycle.out_of_memory = true;
	}
	free_cycle(&cycle);
	return cycle.out_of_memory ? FL_SCHEDULE_OUT_OF_MEMORY : FL_SCHEDULE_OK;
}

void fl_sched_output_free(struct fl_sched_output *output)
{
	free(output->starts);
	free(output->preemptions);
	free(output->unplaced_tasks);
	free(output->holds);
	memset(output, 0, sizeof(*output));
}
