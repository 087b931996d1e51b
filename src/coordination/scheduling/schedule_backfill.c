/* Backfill: how long jobs of lower rank may use what the blocked top job waits for. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

/* When a run ends by its estimate. */
struct attempt_end {
	double at_s;
	int attempt_index;
};

static int compare_ends(const void *pa, const void *pb)
{
	const struct attempt_end *left = pa, *right = pb;

	if (left->at_s != right->at_s)
		return left->at_s < right->at_s ? -1 : 1;
	return left->attempt_index - right->attempt_index;
}

/* Time until one task of the job fits on this machine, by the estimated ends. */
static double time_until_fit(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                             int machine_index, struct attempt_end *ends)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	double cpus = machine->free.cpus, gpus = machine->free.gpus, ram = machine->free.ram_gb;
	int n = 0;

	if (fl_sched_fits(job, cpus, gpus, ram))
		return 0;
	for (int k = cycle->first_attempt[machine_index];
	     k < cycle->first_attempt[machine_index + 1]; k++)
		if (cycle->input->attempts[cycle->attempts_by_machine[k]].left_s < INFINITY)
			ends[n++] = (struct attempt_end){
				cycle->input->attempts[cycle->attempts_by_machine[k]].left_s,
				cycle->attempts_by_machine[k]};
	qsort(ends, (size_t)n, sizeof(*ends), compare_ends);
	for (int i = 0; i < n; i++) {
		const struct fl_sched_attempt *attempt =
			&cycle->input->attempts[ends[i].attempt_index];

		cpus += attempt->used.cpus;
		gpus += attempt->used.gpus;
		ram += attempt->used.ram_gb;
		if (fl_sched_fits(job, cpus, gpus, ram))
			return ends[i].at_s;
	}
	return INFINITY;
}

/* Whether the waiting tasks of a gang all fit into this room, given per machine. */
static bool gang_fits(const struct fl_sched_input *input, const struct fl_sched_job *job,
                      const struct fl_resources *available)
{
	uint32_t by_zone[FL_ZONES_MAX] = {0}, total = 0;

	for (int i = 0; i < input->machine_count; i++) {
		uint32_t count = 0;

		if (fl_sched_allowed(job, &input->machines[i]))
			count = fl_sched_placement_capacity(job, available[i].cpus,
			                                    available[i].gpus, available[i].ram_gb);
		by_zone[input->machines[i].zone] += count;
		total += count;
	}
	for (int z = 0; job->same_zone && z < FL_ZONES_MAX; z++)
		if (z == 0 || by_zone[z] > total)
			total = by_zone[z];
	return total >= job->startable_count;
}

/* Time until a whole gang fits, counted in tasks that each machine really has room for. */
static double time_until_gang_fits(const struct fl_sched_cycle *cycle,
                                   const struct fl_sched_job *job, struct attempt_end *ends)
{
	const struct fl_sched_input *input = cycle->input;
	struct fl_resources *available =
		malloc(((size_t)input->machine_count + 1) * sizeof(*available));
	double found = INFINITY, at_s = 0;
	int n = 0;

	if (!available)
		return INFINITY;
	for (int i = 0; i < input->machine_count; i++)
		available[i] = (struct fl_resources){input->machines[i].free.cpus,
		                                     input->machines[i].free.gpus,
		                                     input->machines[i].free.ram_gb};
	for (int i = 0; i < input->attempt_count; i++)
		if (input->attempts[i].left_s < INFINITY)
			ends[n++] = (struct attempt_end){input->attempts[i].left_s, i};
	qsort(ends, (size_t)n, sizeof(*ends), compare_ends);
	for (int k = -1; k < n && found == INFINITY; k++) {
		if (k >= 0) {
			const struct fl_sched_attempt *attempt =
				&input->attempts[ends[k].attempt_index];

			at_s = ends[k].at_s;
			available[attempt->machine].cpus += attempt->used.cpus;
			available[attempt->machine].gpus += attempt->used.gpus;
			available[attempt->machine].ram_gb += attempt->used.ram_gb;
		}
		if (gang_fits(input, job, available))
			found = at_s;
	}
	free(available);
	return found;
}

/*
 * The paper's hpwait, by machine rather than by cores in total: room that is freed in scattered
 * pieces is no room. The window only shrinks while the same job stays on top: set anew in each
 * pass, it would never end.
 */
void fl_sched_set_window(struct fl_sched_cycle *cycle, int top)
{
	const struct fl_sched_job *job = &cycle->input->jobs[top];
	struct attempt_end *ends =
		malloc(((size_t)cycle->input->attempt_count + 1) * sizeof(*ends));
	double wait_s = INFINITY, window;

	if (!ends) {
		cycle->failed = true;
		return;
	}
	if (job->gang)
		wait_s = time_until_gang_fits(cycle, job, ends);
	for (int i = 0; i < cycle->input->machine_count && !job->gang; i++)
		if (fl_sched_allowed(job, &cycle->input->machines[i]) &&
		    fl_sched_zone_allows(job, cycle->input->machines[i].zone))
			wait_s = fmin(wait_s, time_until_fit(cycle, job, i, ends));
	free(ends);
	window = cycle->input->params->omega * wait_s;
	if (job->window_left_s >= 0 && job->window_left_s < window)
		window = job->window_left_s;
	cycle->output->top_job = top;
	cycle->output->window_s = window;
}

void fl_sched_window_by_machine(const struct fl_sched_cycle *cycle, double *must_end_by)
{
	const struct fl_sched_job *top = &cycle->input->jobs[cycle->output->top_job];

	for (int i = 0; i < cycle->input->machine_count; i++)
		must_end_by[i] = fl_sched_allowed(top, &cycle->input->machines[i])
		                         ? cycle->output->window_s
		                         : INFINITY;
}

/*
 * The window keeps lower jobs from delaying the top one. A job of a higher priority than the top's
 * may preempt what the top runs: an array that has waited long must not delay it by being on top.
 */
bool fl_sched_bound_by_top(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job)
{
	return !fl_sched_precedes_arrays(job) &&
	       job->priority <= cycle->input->jobs[cycle->output->top_job].priority;
}
