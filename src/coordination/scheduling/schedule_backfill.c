/*
 * Backfill: limits how long jobs lower in the order may use resources that the blocked top job
 * waits for. The window is that of "Scheduling Jobs on Parallel Systems Using a Relaxed Backfill
 * Strategy": omega (window_factor) times hpwait, the estimated time until the top job fits.
 */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

/* The estimated end of an attempt. */
struct attempt_end {
	double ends_in_s;
	int attempt_index;
};

static int compare_attempt_ends(const void *left_item, const void *right_item)
{
	const struct attempt_end *left = left_item, *right = right_item;

	if (left->ends_in_s != right->ends_in_s)
		return left->ends_in_s < right->ends_in_s ? -1 : 1;
	return left->attempt_index - right->attempt_index;
}

/* Appends the attempt's end, if it has one; returns the new count. */
static int add_attempt_end(const struct fl_sched_input *input, int attempt_index,
                           struct attempt_end *ends, int count)
{
	double remaining_s = input->attempts[attempt_index].estimated_remaining_s;

	if (remaining_s < INFINITY)
		ends[count++] = (struct attempt_end){remaining_s, attempt_index};
	return count;
}

/* Returns the estimated time until one task of the job fits on the machine. */
static double time_until_task_fits(const struct fl_sched_cycle *cycle,
                                   const struct fl_sched_job *job, int machine_index,
                                   struct attempt_end *ends)
{
	const struct fl_sched_input *input = cycle->input;
	struct fl_resources available = input->machines[machine_index].free;
	int end_count = 0;

	if (fl_resources_fit(job->need, available))
		return 0;
	for (int k = cycle->first_attempt[machine_index];
	     k < cycle->first_attempt[machine_index + 1]; k++)
		end_count = add_attempt_end(input, cycle->attempts_by_machine[k], ends, end_count);
	qsort(ends, (size_t)end_count, sizeof(*ends), compare_attempt_ends);
	for (int i = 0; i < end_count; i++) {
		fl_resources_add(&available, input->attempts[ends[i].attempt_index].used);
		if (fl_resources_fit(job->need, available))
			return ends[i].ends_in_s;
	}
	return INFINITY;
}

/*
 * Returns whether a task of the job fits on the machine when all attempts there that have an
 * estimated end have ended.
 */
static bool task_will_fit(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                          int machine_index)
{
	const struct fl_sched_input *input = cycle->input;
	struct fl_resources available = input->machines[machine_index].free;

	for (int k = cycle->first_attempt[machine_index];
	     k < cycle->first_attempt[machine_index + 1]; k++) {
		const struct fl_sched_attempt *attempt =
			&input->attempts[cycle->attempts_by_machine[k]];

		if (attempt->estimated_remaining_s < INFINITY)
			fl_resources_add(&available, attempt->used);
	}
	return fl_resources_fit(job->need, available);
}

/* Returns whether all startable tasks of a gang fit into these resources, given per machine. */
static bool gang_fits(const struct fl_sched_input *input, const struct fl_sched_job *job,
                      const struct fl_resources *available)
{
	uint32_t by_zone[FL_ZONES_MAX] = {0}, total = 0;

	for (int i = 0; i < input->machine_count; i++) {
		uint32_t count = 0;

		if (fl_sched_job_allows_machine(job, &input->machines[i]))
			count = fl_sched_placement_capacity(job, available[i]);
		by_zone[input->machines[i].zone] += count;
		total += count;
	}
	for (int z = 0; job->same_zone && z < FL_ZONES_MAX; z++)
		if (z == 0 || by_zone[z] > total)
			total = by_zone[z];
	return total >= job->startable_count;
}

/* Returns the estimated time until a whole gang fits, by the tasks that fit on each machine. */
static double time_until_gang_fits(const struct fl_sched_input *input,
                                   const struct fl_sched_job *job, struct attempt_end *ends)
{
	struct fl_resources *available =
		calloc((size_t)input->machine_count + 1, sizeof(*available));
	double wait_s = 0;
	int end_count = 0, ended_count = 0;

	if (!available)
		return INFINITY;
	for (int i = 0; i < input->machine_count; i++)
		available[i] = input->machines[i].free;
	for (int i = 0; i < input->attempt_count; i++)
		end_count = add_attempt_end(input, i, ends, end_count);
	qsort(ends, (size_t)end_count, sizeof(*ends), compare_attempt_ends);
	while (!gang_fits(input, job, available)) {
		const struct fl_sched_attempt *attempt;

		if (ended_count == end_count) {
			wait_s = INFINITY;
			break;
		}
		attempt = &input->attempts[ends[ended_count].attempt_index];
		wait_s = ends[ended_count++].ends_in_s;
		fl_resources_add(&available[attempt->machine], attempt->used);
	}
	free(available);
	return wait_s;
}

/* Returns the paper's hpwait: the estimated time until the job, or one task of it, can start. */
static double time_until_start(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                               struct attempt_end *ends)
{
	const struct fl_sched_input *input = cycle->input;
	double wait_s = INFINITY;

	if (job->gang)
		return time_until_gang_fits(input, job, ends);
	for (int i = 0; i < input->machine_count; i++)
		if (fl_sched_job_allows_machine(job, &input->machines[i]) &&
		    fl_sched_job_allows_zone(job, input->machines[i].zone))
			wait_s = fmin(wait_s, time_until_task_fits(cycle, job, i, ends));
	return wait_s;
}

/*
 * The paper's hpwait is computed per machine rather than for the total number of cores, since
 * capacity that is fragmented over machines fits no task. The window only shrinks while the same
 * job stays on top: if each cycle computed it again, it would never end. It is unlimited while the
 * job fits nowhere, whatever ends: there is no start that other jobs could delay.
 */
void fl_sched_set_backfill_window(struct fl_sched_cycle *cycle, int top)
{
	const struct fl_sched_job *job = &cycle->input->jobs[top];
	struct attempt_end *ends =
		malloc(((size_t)cycle->input->attempt_count + 1) * sizeof(*ends));
	double wait_s, window_s;

	if (!ends) {
		cycle->out_of_memory = true;
		return;
	}
	wait_s = time_until_start(cycle, job, ends);
	free(ends);
	window_s = cycle->input->params->window_factor * wait_s;
	if (wait_s < INFINITY && job->window_remaining_s >= 0)
		window_s = fmin(window_s, job->window_remaining_s);
	cycle->output->top_job = top;
	cycle->output->top_wait_s = wait_s;
	cycle->output->window_s = window_s;
}

void fl_sched_compute_backfill_limits(const struct fl_sched_cycle *cycle, double *max_duration_s)
{
	const struct fl_sched_job *top = &cycle->input->jobs[cycle->output->top_job];

	for (int i = 0; i < cycle->input->machine_count; i++) {
		bool limited = fl_sched_job_allows_machine(top, &cycle->input->machines[i]) &&
		               task_will_fit(cycle, top, i);

		max_duration_s[i] = limited ? cycle->output->window_s : INFINITY;
	}
}

/*
 * The window keeps lower jobs from delaying the top job. A job of a higher priority may preempt
 * tasks of the top job anyway, so an array that reached the top by waiting must not delay such a
 * job.
 */
bool fl_sched_is_bound_by_window(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job)
{
	return !fl_sched_is_urgent_service(job) &&
	       job->priority <= cycle->input->jobs[cycle->output->top_job].priority;
}

/*
 * The window protects the top job, but a job that it keeps waiting beside a free place for long
 * must begin nevertheless: the estimates of what the top job waits for may be wrong, and new work
 * may take its place. Only one task begins at a time, so most of the capacity stays with the top
 * job.
 */
bool fl_sched_hold_is_over(const struct fl_sched_params *params, const struct fl_sched_job *job)
{
	return job->held_s >= params->max_hold_s;
}

/* Returns whether no task of the job may be on a machine. */
static bool has_nothing_placed(const struct fl_sched_job *job)
{
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (job->placed_by_zone[z] > 0)
			return false;
	return job->placed_in_unknown_zone == 0;
}

/* Returns whether this cycle, which considers each job once, has just started tasks of the job. */
static bool has_just_started(const struct fl_sched_output *output, int job_index)
{
	return output->start_count > 0 && output->starts[output->start_count - 1].job == job_index;
}

bool fl_sched_is_held(struct fl_sched_cycle *cycle, int job_index)
{
	const struct fl_sched_job *job = &cycle->input->jobs[job_index];

	if (has_just_started(cycle->output, job_index))
		return false;
	if (!cycle->window_kept_task || (!job->service && !has_nothing_placed(job)))
		return false;
	return !job->gang || fl_sched_gang_could_start(cycle, job_index);
}
