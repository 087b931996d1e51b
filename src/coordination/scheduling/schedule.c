/* A pass: its memory, and the run over the jobs in their order. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Sorts the runs by machine: hundreds of machines must not each walk over all runs. */
static void index_attempts(struct fl_sched_cycle *cycle)
{
	const struct fl_sched_input *input = cycle->input;

	for (int i = 0; i < input->attempt_count; i++)
		cycle->first_attempt[input->attempts[i].machine + 1]++;
	for (int i = 0; i < input->machine_count; i++)
		cycle->first_attempt[i + 1] += cycle->first_attempt[i];
	/* From the end, so that each machine's begin is reached just as its runs are through. */
	for (int i = input->attempt_count - 1; i >= 0; i--)
		cycle->attempts_by_machine[--cycle->first_attempt[input->attempts[i].machine + 1]] =
			i;
	/* Each entry now stands one place too far, at its own begin. */
	for (int i = 0; i < input->machine_count; i++)
		cycle->first_attempt[i] = cycle->first_attempt[i + 1];
	cycle->first_attempt[input->machine_count] = input->attempt_count;
}

/* What a request by priority alone cannot stop need not be looked at run by run. */
static void find_lowest_priorities(struct fl_sched_cycle *cycle)
{
	for (int i = 0; i < cycle->input->machine_count; i++)
		cycle->lowest_priority[i] = FL_CRITICAL;
	for (int i = 0; i < cycle->input->attempt_count; i++) {
		const struct fl_sched_attempt *attempt = &cycle->input->attempts[i];

		if (!attempt->stopping &&
		    (int)attempt->priority < cycle->lowest_priority[attempt->machine])
			cycle->lowest_priority[attempt->machine] = (int)attempt->priority;
	}
}

/* Starts a job's tasks, and requests room for the rest; `must_end_by` bounds a backfilled job. */
static void consider_job(struct fl_sched_cycle *cycle, int job_index, const double *must_end_by)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	double estimate_s = job->estimate_s;

	/* A service never ends: it starts from the top, or where the top job cannot go. */
	if (must_end_by && estimate_s <= 0)
		job->estimate_s =
			job->service ? INFINITY : cycle->input->params->default_estimate_s;
	if (fl_sched_start_fitting(cycle, job_index, must_end_by))
		cycle->output->unplaced_tasks[job_index] =
			job->startable_count - cycle->tasks_awaiting_image -
			fl_sched_request_preemptions(cycle, job_index, must_end_by);
	job->estimate_s = estimate_s;
}

/* Considers the jobs in their order. The first that stays short of room becomes the top job. */
static void consider_jobs_in_order(struct fl_sched_cycle *cycle)
{
	struct fl_sched_input *input = cycle->input;
	double *must_end_by = malloc(((size_t)input->machine_count + 1) * sizeof(*must_end_by));
	int resume = input->resume_position < input->job_count ? input->resume_position : 0;

	if (!must_end_by) {
		cycle->failed = true;
		return;
	}
	for (int k = 0; k < input->job_count && !cycle->failed; k++) {
		int job_index = cycle->order[k];
		const struct fl_sched_job *job = &input->jobs[job_index];
		bool backfill = cycle->output->top_job >= 0;

		/*
		 * Found with passes too long for their budget: those that resumed in the middle of
		 * the order gave the room that stops had freed for its head to others, which the
		 * head preempted again, tens of thousands of times a day.
		 */
		cycle->resumed = resume > 0 && backfill;

		if (job->startable_count == 0)
			continue;
		/* The head of the order is always considered; the rest resumes where it stopped. */
		if (backfill && k < resume)
			continue;
		if (backfill && input->out_of_time && input->out_of_time(input->context)) {
			cycle->output->resume_position = k;
			break;
		}
		consider_job(cycle, job_index,
		             backfill && fl_sched_bound_by_top(cycle, job) ? must_end_by : NULL);
		if (cycle->output->unplaced_tasks[job_index] > 0 && !backfill) {
			fl_sched_set_window(cycle, job_index);
			if (!cycle->failed)
				fl_sched_window_by_machine(cycle, must_end_by);
		}
	}
	free(must_end_by);
}

/* Room that stops ordered by earlier passes will free. */
static void add_releasing_resources(struct fl_sched_cycle *cycle)
{
	for (int i = 0; i < cycle->input->attempt_count; i++) {
		const struct fl_sched_attempt *attempt = &cycle->input->attempts[i];

		if (!attempt->stopping)
			continue;
		cycle->releasing_cpus[attempt->machine] += attempt->used.cpus;
		cycle->releasing_gpus[attempt->machine] += attempt->used.gpus;
		cycle->releasing_ram_gb[attempt->machine] += attempt->used.ram_gb;
	}
}

/* Allocates what a pass works with and what it puts out; false without memory. */
static bool allocate(struct fl_sched_cycle *cycle)
{
	size_t n_machines = (size_t)cycle->input->machine_count + 1;
	size_t n_jobs = (size_t)cycle->input->job_count + 1,
	       n_runs = (size_t)cycle->input->attempt_count + 1;

	cycle->order = malloc(n_jobs * sizeof(*cycle->order));
	cycle->rank = malloc(n_jobs * sizeof(*cycle->rank));
	cycle->priority = malloc(n_jobs * sizeof(*cycle->priority));
	cycle->releasing_cpus = calloc(3 * n_machines, sizeof(*cycle->releasing_cpus));
	cycle->start_cost = malloc(2 * n_machines * sizeof(*cycle->start_cost));
	cycle->victims = malloc(n_runs * sizeof(*cycle->victims));
	cycle->first_attempt = calloc(n_machines, sizeof(*cycle->first_attempt));
	cycle->attempts_by_machine = malloc(n_runs * sizeof(*cycle->attempts_by_machine));
	cycle->lowest_priority = malloc(n_machines * sizeof(*cycle->lowest_priority));
	cycle->output->unplaced_tasks = calloc(n_jobs, sizeof(*cycle->output->unplaced_tasks));
	if (!cycle->order || !cycle->rank || !cycle->priority || !cycle->releasing_cpus ||
	    !cycle->start_cost || !cycle->victims || !cycle->first_attempt ||
	    !cycle->attempts_by_machine || !cycle->lowest_priority ||
	    !cycle->output->unplaced_tasks)
		return false;
	cycle->releasing_gpus = cycle->releasing_cpus + n_machines;
	cycle->releasing_ram_gb = cycle->releasing_gpus + n_machines;
	cycle->preemption_cost = cycle->start_cost + n_machines;
	return true;
}

static void release(struct fl_sched_cycle *cycle)
{
	free(cycle->order);
	free(cycle->rank);
	free(cycle->priority);
	free(cycle->releasing_cpus);
	free(cycle->start_cost);
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
	if (allocate(&cycle)) {
		index_attempts(&cycle);
		find_lowest_priorities(&cycle);
		add_releasing_resources(&cycle);
		fl_sched_sort_jobs(&cycle);
		consider_jobs_in_order(&cycle);
	} else {
		cycle.failed = true;
	}
	release(&cycle);
	return cycle.failed ? FL_SCHEDULE_OUT_OF_MEMORY : FL_SCHEDULE_OK;
}

void fl_sched_output_free(struct fl_sched_output *output)
{
	free(output->starts);
	free(output->preemptions);
	free(output->unplaced_tasks);
	memset(output, 0, sizeof(*output));
}
