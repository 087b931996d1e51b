/* A pass: its memory, and the run over the jobs in their order. */
#include "coordination/schedule_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Sorts the runs by machine: hundreds of machines must not each walk over all runs. */
static void index_runs(struct fl_sched_pass *pass)
{
	const struct fl_sched_in *in = pass->in;

	for (int i = 0; i < in->n_runs; i++)
		pass->first_run[in->runs[i].machine + 1]++;
	for (int i = 0; i < in->n_machines; i++)
		pass->first_run[i + 1] += pass->first_run[i];
	/* From the end, so that each machine's begin is reached just as its runs are through. */
	for (int i = in->n_runs - 1; i >= 0; i--)
		pass->run_by_machine[--pass->first_run[in->runs[i].machine + 1]] = i;
	/* Each entry now stands one place too far, at its own begin. */
	for (int i = 0; i < in->n_machines; i++)
		pass->first_run[i] = pass->first_run[i + 1];
	pass->first_run[in->n_machines] = in->n_runs;
}

/* What a request by priority alone cannot stop need not be looked at run by run. */
static void find_lowest_priorities(struct fl_sched_pass *pass)
{
	for (int i = 0; i < pass->in->n_machines; i++)
		pass->lowest_priority[i] = FL_CRITICAL;
	for (int i = 0; i < pass->in->n_runs; i++) {
		const struct fl_sched_run *run = &pass->in->runs[i];

		if (!run->stopping && (int)run->priority < pass->lowest_priority[run->machine])
			pass->lowest_priority[run->machine] = (int)run->priority;
	}
}

/* Starts a job's tasks, and requests room for the rest; `must_end_by` bounds a backfilled job. */
static void consider_job(struct fl_sched_pass *pass, int job_index, const double *must_end_by)
{
	struct fl_sched_job *job = &pass->in->jobs[job_index];
	double estimate_s = job->estimate_s;

	/* A service never ends: it starts from the top, or where the top job cannot go. */
	if (must_end_by && estimate_s <= 0)
		job->estimate_s = job->service ? INFINITY : pass->in->params->default_estimate_s;
	if (fl_sched_start_fitting(pass, job_index, must_end_by))
		pass->out->short_of[job_index] =
			job->waiting - pass->awaiting_image -
			fl_sched_request_preemptions(pass, job_index, must_end_by);
	job->estimate_s = estimate_s;
}

/* Considers the jobs in their order. The first that stays short of room becomes the top job. */
static void run_order(struct fl_sched_pass *pass)
{
	struct fl_sched_in *in = pass->in;
	double *must_end_by = malloc(((size_t)in->n_machines + 1) * sizeof(*must_end_by));
	int resume = in->resume < in->n_jobs ? in->resume : 0;

	if (!must_end_by) {
		pass->failed = true;
		return;
	}
	for (int k = 0; k < in->n_jobs && !pass->failed; k++) {
		int job_index = pass->order[k];
		const struct fl_sched_job *job = &in->jobs[job_index];
		bool backfill = pass->out->top >= 0;

		/*
		 * Found with passes too long for their budget: those that resumed in the middle of
		 * the order gave the room that stops had freed for its head to others, which the
		 * head preempted again, tens of thousands of times a day.
		 */
		pass->resumed = resume > 0 && backfill;

		if (job->waiting == 0)
			continue;
		/* The head of the order is always considered; the rest resumes where it stopped. */
		if (backfill && k < resume)
			continue;
		if (backfill && in->out_of_time && in->out_of_time(in->ctx)) {
			pass->out->resume = k;
			break;
		}
		consider_job(pass, job_index,
		             backfill && fl_sched_bound_by_top(pass, job) ? must_end_by : NULL);
		if (pass->out->short_of[job_index] > 0 && !backfill) {
			fl_sched_set_window(pass, job_index);
			if (!pass->failed)
				fl_sched_window_by_machine(pass, must_end_by);
		}
	}
	free(must_end_by);
}

/* Room that stops ordered by earlier passes will free. */
static void add_releasing(struct fl_sched_pass *pass)
{
	for (int i = 0; i < pass->in->n_runs; i++) {
		const struct fl_sched_run *run = &pass->in->runs[i];

		if (!run->stopping)
			continue;
		pass->releasing_cpus[run->machine] += run->cpus;
		pass->releasing_gpus[run->machine] += run->gpus;
		pass->releasing_ram_gb[run->machine] += run->ram_gb;
	}
}

/* Allocates what a pass works with and what it puts out; false without memory. */
static bool allocate(struct fl_sched_pass *pass)
{
	size_t n_machines = (size_t)pass->in->n_machines + 1;
	size_t n_jobs = (size_t)pass->in->n_jobs + 1, n_runs = (size_t)pass->in->n_runs + 1;

	pass->order = malloc(n_jobs * sizeof(*pass->order));
	pass->rank = malloc(n_jobs * sizeof(*pass->rank));
	pass->priority = malloc(n_jobs * sizeof(*pass->priority));
	pass->releasing_cpus = calloc(3 * n_machines, sizeof(*pass->releasing_cpus));
	pass->start_cost = malloc(2 * n_machines * sizeof(*pass->start_cost));
	pass->victims = malloc(n_runs * sizeof(*pass->victims));
	pass->first_run = calloc(n_machines, sizeof(*pass->first_run));
	pass->run_by_machine = malloc(n_runs * sizeof(*pass->run_by_machine));
	pass->lowest_priority = malloc(n_machines * sizeof(*pass->lowest_priority));
	pass->out->short_of = calloc(n_jobs, sizeof(*pass->out->short_of));
	if (!pass->order || !pass->rank || !pass->priority || !pass->releasing_cpus ||
	    !pass->start_cost || !pass->victims || !pass->first_run || !pass->run_by_machine ||
	    !pass->lowest_priority || !pass->out->short_of)
		return false;
	pass->releasing_gpus = pass->releasing_cpus + n_machines;
	pass->releasing_ram_gb = pass->releasing_gpus + n_machines;
	pass->preemption_cost = pass->start_cost + n_machines;
	return true;
}

static void release(struct fl_sched_pass *pass)
{
	free(pass->order);
	free(pass->rank);
	free(pass->priority);
	free(pass->releasing_cpus);
	free(pass->start_cost);
	free(pass->victims);
	free(pass->first_run);
	free(pass->run_by_machine);
	free(pass->lowest_priority);
}

int fl_schedule(struct fl_sched_in *in, struct fl_sched_out *out)
{
	struct fl_sched_pass pass = {.in = in, .out = out};

	memset(out, 0, sizeof(*out));
	out->top = -1;
	if (allocate(&pass)) {
		index_runs(&pass);
		find_lowest_priorities(&pass);
		add_releasing(&pass);
		fl_sched_sort_jobs(&pass);
		run_order(&pass);
	} else {
		pass.failed = true;
	}
	release(&pass);
	return pass.failed ? -1 : 0;
}

void fl_sched_free(struct fl_sched_out *out)
{
	free(out->starts);
	free(out->stops);
	free(out->short_of);
	memset(out, 0, sizeof(*out));
}
