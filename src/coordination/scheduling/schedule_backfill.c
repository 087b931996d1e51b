/*
 * Backfill: how long jobs lower in the order may use what the blocked top job waits for. The window
 * is that of "Scheduling Jobs on Parallel Systems Using a Relaxed Backfill Strategy": omega times
 * hpwait, the time until the top job fits by the estimates.
 */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

/* When an attempt ends by its estimate. */
struct attempt_end {
	double in_s;
	int attempt_index;
};

static int compare_ends(const void *left_item, const void *right_item)
{
	const struct attempt_end *left = left_item, *right = right_item;

	if (left->in_s != right->in_s)
		return left->in_s < right->in_s ? -1 : 1;
	return left->attempt_index - right->attempt_index;
}

/* Adds the attempt's end, if it has one; returns the new count. */
static int add_end(const struct fl_sched_input *input, int attempt_index, struct attempt_end *ends,
                   int count)
{
	double left_s = input->attempts[attempt_index].estimated_remaining_s;

	if (left_s < INFINITY)
		ends[count++] = (struct attempt_end){left_s, attempt_index};
	return count;
}

/* Time until one task of the job fits on this machine, by the estimated ends. */
static double time_until_fit(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                             int machine_index, struct attempt_end *ends)
{
	const struct fl_sched_input *input = cycle->input;
	struct fl_resources available = input->machines[machine_index].free;
	int end_count = 0;

	if (fl_resources_fit(job->need, available))
		return 0;
	for (int k = cycle->first_attempt[machine_index];
	     k < cycle->first_attempt[machine_index + 1]; k++)
		end_count = add_end(input, cycle->attempts_by_machine[k], ends, end_count);
	qsort(ends, (size_t)end_count, sizeof(*ends), compare_ends);
	for (int i = 0; i < end_count; i++) {
		fl_resources_add(&available, input->attempts[ends[i].attempt_index].used);
		if (fl_resources_fit(job->need, available))
			return ends[i].in_s;
	}
	return INFINITY;
}

/* Whether the startable tasks of a gang all fit into these resources, given per machine. */
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

/* Time until a whole gang fits, counted in tasks that each machine really has capacity for. */
static double time_until_gang_fits(const struct fl_sched_input *input,
                                   const struct fl_sched_job *job, struct attempt_end *ends)
{
	struct fl_resources *available =
		calloc((size_t)input->machine_count + 1, sizeof(*available));
	double wait_s = 0;
	int end_count = 0, ended = 0;

	if (!available)
		return INFINITY;
	for (int i = 0; i < input->machine_count; i++)
		available[i] = input->machines[i].free;
	for (int i = 0; i < input->attempt_count; i++)
		end_count = add_end(input, i, ends, end_count);
	qsort(ends, (size_t)end_count, sizeof(*ends), compare_ends);
	while (!gang_fits(input, job, available)) {
		const struct fl_sched_attempt *attempt;

		if (ended == end_count) {
			wait_s = INFINITY;
			break;
		}
		attempt = &input->attempts[ends[ended].attempt_index];
		wait_s = ends[ended++].in_s;
		fl_resources_add(&available[attempt->machine], attempt->used);
	}
	free(available);
	return wait_s;
}

/* The paper's hpwait: the time until the job, or one task of it, can start by the estimates. */
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
			wait_s = fmin(wait_s, time_until_fit(cycle, job, i, ends));
	return wait_s;
}

/*
 * The paper's hpwait is taken by machine rather than by cores in total: capacity that is freed in
 * scattered pieces is no capacity. The window only shrinks while the same job stays on top: set
 * anew in each cycle, it would never end.
 */
void fl_sched_set_backfill_window(struct fl_sched_cycle *cycle, int top)
{
	const struct fl_sched_job *job = &cycle->input->jobs[top];
	struct attempt_end *ends =
		malloc(((size_t)cycle->input->attempt_count + 1) * sizeof(*ends));
	double window_s;

	if (!ends) {
		cycle->out_of_memory = true;
		return;
	}
	window_s = cycle->input->params->window_factor * time_until_start(cycle, job, ends);
	free(ends);
	if (job->window_remaining_s >= 0 && job->window_remaining_s < window_s)
		window_s = job->window_remaining_s;
	cycle->output->top_job = top;
	cycle->output->window_s = window_s;
}

void fl_sched_compute_backfill_limits(const struct fl_sched_cycle *cycle, double *max_duration_s)
{
	const struct fl_sched_job *top = &cycle->input->jobs[cycle->output->top_job];

	for (int i = 0; i < cycle->input->machine_count; i++)
		max_duration_s[i] = fl_sched_job_allows_machine(top, &cycle->input->machines[i])
		                            ? cycle->output->window_s
		                            : INFINITY;
}

/*
 * The window keeps lower jobs from delaying the top one. A job of a higher priority than the top's
 * may preempt what the top runs: an array that has waited long must not delay it by being on top.
 */
bool fl_sched_is_bound_by_window(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job)
{
	return !fl_sched_is_urgent_service(job) &&
	       job->priority <= cycle->input->jobs[cycle->output->top_job].priority;
}
