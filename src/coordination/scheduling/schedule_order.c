/*
 * The order in which a cycle considers the jobs: by rank, then by the priority of "Scheduling Jobs
 * on Parallel Systems Using a Relaxed Backfill Strategy" with a growing weight of the wait.
 */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

const struct fl_sched_params fl_sched_default_params = {
	.wait_exponent = 1,      /* power; a job rises as it waits */
	.estimate_exponent = -1, /* power; short ones first */
	.cpus_exponent = -0.5,   /* power; narrow ones first: users count jobs, not tasks */
	.priority_base = 10,     /* one priority is worth ten times the wait */
	.window_factor = 4,      /* times; the finite value that did best in the paper's tables */
	.default_estimate_s = 3600, /* s; for a job with neither an estimate nor a history */
	.overdue_after_s = 120, /* s; half of what users grant the largest job before it begins */
	.aging_exponent = 4, /* power; at twice overdue_after_s it outweighs all but the priority */
	.background_overdue_factor = 3, /* times; nobody says when it should be done */
};

static const struct {
	double min_wait_s;
} tunables = {
	.min_wait_s = 0.1, /* s; so that jobs just submitted are ordered by the other factors */
};

/* The units of the factors of the priority: an hour, and the processors of a wide job. */
#define REFERENCE_S 3600
#define REFERENCE_CPUS 32

/* Jobs of a higher rank are considered before all of a lower one. */
enum rank { RANK_OTHER, RANK_WITHIN_GUARANTEE, RANK_OVERDUE, RANK_URGENT_SERVICE };

double fl_sched_estimate_s(const struct fl_sched_params *params, const struct fl_sched_job *job)
{
	return job->estimate_s > 0 ? job->estimate_s : params->default_estimate_s;
}

double fl_sched_effective_priority(const struct fl_sched_params *params,
                                   const struct fl_sched_job *job)
{
	double wait_s = job->waited_s > tunables.min_wait_s ? job->waited_s : tunables.min_wait_s;
	double estimate_s = fl_sched_estimate_s(params, job);
	double cpus = job->need.cpus * job->task_count;
	double overdue_after_s =
		params->overdue_after_s * (job->background ? params->background_overdue_factor : 1);

	if (cpus <= 0)
		cpus = 1;
	/*
	 * By the product alone a wide, long job starves behind a stream of small ones: it needs as
	 * many times their wait as it is wider and longer. The weight of the wait therefore grows.
	 *
	 * Background work is one priority lower. Found on a day with six idle-time arrays of 161
	 * tasks of 300 s: after two minutes they went before arrays of their own priority that are
	 * to be done within 150 s, and occupied all machines of the site for five minutes.
	 */
	return pow(wait_s / REFERENCE_S, params->wait_exponent) *
	       (1 + pow(wait_s / overdue_after_s, params->aging_exponent)) *
	       pow(estimate_s / REFERENCE_S, params->estimate_exponent) *
	       pow(cpus / REFERENCE_CPUS, params->cpus_exponent) *
	       pow(params->priority_base, (int)job->priority - 1 - job->background);
}

/* Placing such a service first saves the preemption. */
bool fl_sched_is_urgent_service(const struct fl_sched_job *job)
{
	return job->service && job->priority >= FL_URGENT;
}

/*
 * No array starves, whatever is submitted after it: one that is overdue goes before other arrays,
 * for one task. That costs little capacity, so it is possible under any overload; how fast the rest
 * follows is left to the order.
 */
bool fl_sched_is_overdue(const struct fl_sched_params *params, const struct fl_sched_job *job)
{
	return !job->service && !job->begun && job->waited_s > params->overdue_after_s;
}

/*
 * What may preempt others goes before those it may preempt. Else the capacity that a
 * preemption has freed is taken by the next in the order, and the preemptions go on without end.
 */
static enum rank rank_of(const struct fl_sched_params *params, const struct fl_sched_job *job)
{
	if (fl_sched_is_urgent_service(job))
		return RANK_URGENT_SERVICE;
	if (fl_sched_is_overdue(params, job))
		return RANK_OVERDUE;
	return job->within_guaranteed ? RANK_WITHIN_GUARANTEE : RANK_OTHER;
}

static int compare_jobs(const void *left_item, const void *right_item, void *context)
{
	const struct fl_sched_cycle *cycle = context;
	int left = *(const int *)left_item, right = *(const int *)right_item;

	if (cycle->rank[left] != cycle->rank[right])
		return cycle->rank[right] - cycle->rank[left];
	if (cycle->effective_priority[left] != cycle->effective_priority[right])
		return cycle->effective_priority[left] > cycle->effective_priority[right] ? -1 : 1;
	return left < right ? -1 : left > right;
}

void fl_sched_sort_jobs(struct fl_sched_cycle *cycle)
{
	const struct fl_sched_input *input = cycle->input;

	for (int i = 0; i < input->job_count; i++) {
		cycle->order[i] = i;
		cycle->rank[i] = (int)rank_of(input->params, &input->jobs[i]);
		cycle->effective_priority[i] =
			fl_sched_effective_priority(input->params, &input->jobs[i]);
	}
	qsort_r(cycle->order, (size_t)input->job_count, sizeof(*cycle->order), compare_jobs, cycle);
}
