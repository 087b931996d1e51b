/* Backfill: how long jobs of lower rank may use what the blocked top job waits for. */
#include "coordination/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

/* When a run ends by its estimate. */
struct run_end {
	double at_s;
	int run_index;
};

static int compare_ends(const void *pa, const void *pb)
{
	const struct run_end *a = pa, *b = pb;

	if (a->at_s != b->at_s)
		return a->at_s < b->at_s ? -1 : 1;
	return a->run_index - b->run_index;
}

/* Time until one task of the job fits on this machine, by the estimated ends. */
static double time_until_fit(const struct fl_sched_pass *pass, const struct fl_sched_job *job,
                             int machine_index, struct run_end *ends)
{
	const struct fl_sched_machine *machine = &pass->in->machines[machine_index];
	double cpus = machine->cpus, gpus = machine->gpus, ram = machine->ram_gb;
	int n = 0;

	if (fl_sched_fits(job, cpus, gpus, ram))
		return 0;
	for (int k = pass->first_run[machine_index]; k < pass->first_run[machine_index + 1]; k++)
		if (pass->in->runs[pass->run_by_machine[k]].left_s < INFINITY)
			ends[n++] = (struct run_end){pass->in->runs[pass->run_by_machine[k]].left_s,
			                             pass->run_by_machine[k]};
	qsort(ends, (size_t)n, sizeof(*ends), compare_ends);
	for (int i = 0; i < n; i++) {
		const struct fl_sched_run *run = &pass->in->runs[ends[i].run_index];

		cpus += run->cpus;
		gpus += run->gpus;
		ram += run->ram_gb;
		if (fl_sched_fits(job, cpus, gpus, ram))
			return ends[i].at_s;
	}
	return INFINITY;
}

/* Whether the waiting tasks of a gang all fit into this room, given per machine. */
static bool gang_fits(const struct fl_sched_in *in, const struct fl_sched_job *job,
                      const struct fl_resources *room)
{
	uint32_t by_zone[FL_ZONES_MAX] = {0}, total = 0;

	for (int i = 0; i < in->n_machines; i++) {
		uint32_t count = 0;

		if (fl_sched_allowed(job, &in->machines[i]))
			count = fl_sched_tasks_in(job, room[i].cpus, room[i].gpus, room[i].ram_gb);
		by_zone[in->machines[i].zone] += count;
		total += count;
	}
	for (int z = 0; job->same_zone && z < FL_ZONES_MAX; z++)
		if (z == 0 || by_zone[z] > total)
			total = by_zone[z];
	return total >= job->waiting;
}

/* Time until a whole gang fits, counted in tasks that each machine really has room for. */
static double time_until_gang_fits(const struct fl_sched_pass *pass, const struct fl_sched_job *job,
                                   struct run_end *ends)
{
	const struct fl_sched_in *in = pass->in;
	struct fl_resources *room = malloc(((size_t)in->n_machines + 1) * sizeof(*room));
	double found = INFINITY, at_s = 0;
	int n = 0;

	if (!room)
		return INFINITY;
	for (int i = 0; i < in->n_machines; i++)
		room[i] = (struct fl_resources){in->machines[i].cpus, in->machines[i].gpus,
		                                in->machines[i].ram_gb};
	for (int i = 0; i < in->n_runs; i++)
		if (in->runs[i].left_s < INFINITY)
			ends[n++] = (struct run_end){in->runs[i].left_s, i};
	qsort(ends, (size_t)n, sizeof(*ends), compare_ends);
	for (int k = -1; k < n && found == INFINITY; k++) {
		if (k >= 0) {
			const struct fl_sched_run *run = &in->runs[ends[k].run_index];

			at_s = ends[k].at_s;
			room[run->machine].cpus += run->cpus;
			room[run->machine].gpus += run->gpus;
			room[run->machine].ram_gb += run->ram_gb;
		}
		if (gang_fits(in, job, room))
			found = at_s;
	}
	free(room);
	return found;
}

/*
 * The paper's hpwait, by machine rather than by cores in total: room that is freed in scattered
 * pieces is no room. The window only shrinks while the same job stays on top: set anew in each
 * pass, it would never end.
 */
void fl_sched_set_window(struct fl_sched_pass *pass, int top)
{
	const struct fl_sched_job *job = &pass->in->jobs[top];
	struct run_end *ends = malloc(((size_t)pass->in->n_runs + 1) * sizeof(*ends));
	double wait_s = INFINITY, window;

	if (!ends) {
		pass->failed = true;
		return;
	}
	if (job->gang)
		wait_s = time_until_gang_fits(pass, job, ends);
	for (int i = 0; i < pass->in->n_machines && !job->gang; i++)
		if (fl_sched_allowed(job, &pass->in->machines[i]) &&
		    fl_sched_zone_allows(job, pass->in->machines[i].zone))
			wait_s = fmin(wait_s, time_until_fit(pass, job, i, ends));
	free(ends);
	window = pass->in->params->omega * wait_s;
	if (job->window_left >= 0 && job->window_left < window)
		window = job->window_left;
	pass->out->top = top;
	pass->out->window_s = window;
}

void fl_sched_window_by_machine(const struct fl_sched_pass *pass, double *must_end_by)
{
	const struct fl_sched_job *top = &pass->in->jobs[pass->out->top];

	for (int i = 0; i < pass->in->n_machines; i++)
		must_end_by[i] = fl_sched_allowed(top, &pass->in->machines[i]) ? pass->out->window_s
		                                                               : INFINITY;
}

/*
 * The window keeps lower jobs from delaying the top one. A job of a higher priority than the top's
 * may preempt what the top runs: an array that has waited long must not delay it by being on top.
 */
bool fl_sched_bound_by_top(const struct fl_sched_pass *pass, const struct fl_sched_job *job)
{
	return !fl_sched_precedes_arrays(job) &&
	       job->priority <= pass->in->jobs[pass->out->top].priority;
}
