/*
 * The order in which a cycle considers the jobs: by rank, then by the priority of "Scheduling Jobs
 * on Parallel Systems Using a Relaxed Backfill Strategy", in which the weight of the wait also
 * grows.
 */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

const struct fl_sched_params fl_sched_default_params = {
	.wait_exponent = 1,      /* a job rises as it waits */
	.estimate_exponent = -1, /* short jobs first */
	.cpus_exponent = -0.5,   /* narrow jobs first: users count jobs, not tasks */
	.priority_base = 10,     /* one priority level is worth ten times the wait */
	.window_factor = 4,      /* the finite value with the best results in the paper's tables */
	.default_estimate_s = 3600, /* for a job with neither an estimate nor a history */
	.overdue_after_s = 120,     /* half of the wait that users accept for the largest job */
	.aging_exponent = 4, /* at twice overdue_after_s, the wait outweighs all but the priority */
	.background_overdue_factor = 3, /* background jobs have no deadline */
	.max_hold_s = 60, /* no job may wait for 90 s beside a free place, image fetch included */
};

static const struct {
	double min_wait_s;
} tunables = {
	.min_wait_s = 0.1, /* so that jobs just submitted are ordered by the other factors */
};

/* The units of the factors of the priority: an hour, and the CPUs of a wide job. */
#define REFERENCE_DURATION_S 3600
#define REFERENCE_CPUS 32

/* Jobs of a higher rank are considered before all jobs of a lower rank. */
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
	 * By the paper's product alone, a wide and long job starves behind a stream of small jobs:
	 * it must wait as many times longer than they do as it is wider and longer. The weight of
	 * the wait therefore grows.
	 *
	 * Background jobs count as one priority lower. Otherwise six idle-time arrays of 161 tasks
	 * of 300 s went, after two minutes, before arrays of the same priority that were due within
	 * 150 s, and occupied all machines of the site for five minutes.
	 */
	return pow(wait_s / REFERENCE_DURATION_S, params->wait_exponent) *
	       (1 + pow(wait_s / overdue_after_s, params->aging_exponent)) *
	       pow(estimate_s / REFERENCE_DURATION_S, params->estimate_exponent) *
	       pow(cpus / REFERENCE_CPUS, params->cpus_exponent) *
	       pow(params->priority_base, (int)job->priority - 1 - job->background);
}

/* Placing an urgent service first avoids a preemption. */
bool fl_sched_is_urgent_service(const struct fl_sched_job *job)
{
	return job->service && job->priority >= FL_URGENT;
}

/*
 * No array starves, regardless of later submissions: one task of an overdue array goes before other
 * arrays. One task takes little capacity, so this is possible under any overload; the order decides
 * how fast the other tasks follow.
 */
bool fl_sched_is_overdue(const struct fl_sched_params *params, const struct fl_sched_job *job)
{
	return !job->service && !job->begun && job->waited_s > params->overdue_after_s;
}

/*
 * A job that may preempt others goes before them. Otherwise the next job in the order takes the
 * resources that a preemption has freed, and the preemptions repeat without end.
 */
static enum rank job_rank(const struct fl_sched_params *params, const struct fl_sched_job *job)
{
	if (fl_sched_is_urgent_service(job))
		return RANK_URGENT_SERVICE;
	if (fl_sched_is_overdue(params, job))
		return RANK_OVERDUE;
	return job->within_guaranteed_quota || job->holds_guarantee ? RANK_WITHIN_GUARANTEE
	                                                            : RANK_OTHER;
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
		cycle->rank[i] = (int)job_rank(input->params, &input->jobs[i]);
		cycle->effective_priority[i] =
			fl_sched_effective_priority(input->params, &input->jobs[i]);
	}
	qsort_r(cycle->order, (size_t)input->job_count, sizeof(*cycle->order), compare_jobs, cycle);
}
