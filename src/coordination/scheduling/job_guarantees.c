#include "coordination/scheduling/job_guarantees.h"

#include <stdlib.h>
#include <string.h>

static int compare_submission_times(const void *left_item, const void *right_item)
{
	const struct fl_job *left = *(struct fl_job *const *)left_item;
	const struct fl_job *right = *(struct fl_job *const *)right_item;

	if (left->submitted_wall != right->submitted_wall)
		return left->submitted_wall < right->submitted_wall ? -1 : 1;
	return strcmp(left->ref, right->ref);
}

static int compare_priorities(const void *left_item, const void *right_item)
{
	const struct fl_job *left = *(struct fl_job *const *)left_item;
	const struct fl_job *right = *(struct fl_job *const *)right_item;

	if (left->priority != right->priority)
		return left->priority > right->priority ? -1 : 1;
	return compare_submission_times(left_item, right_item);
}

/* Which jobs fit their teams' guaranteed quotas, counted in the order of `jobs`. */
static void count_guarantees(const struct fl_cluster *cluster, struct fl_job **jobs, size_t count,
                             void (*mark)(struct fl_job *job, bool fits))
{
	double cpus[FL_TEAMS_MAX] = {0}, gpus[FL_TEAMS_MAX] = {0};

	for (size_t i = 0; i < count; i++) {
		struct fl_job *job = jobs[i];

		cpus[job->team] += job->cpus * job->task_count;
		gpus[job->team] += job->gpus * job->task_count;
		mark(job, fl_team_fits_guaranteed_quota(&cluster->teams.by_index[job->team],
		                                        cpus[job->team], gpus[job->team]));
	}
}

static void mark_within_guarantee(struct fl_job *job, bool fits)
{
	job->within_guaranteed_quota = fits;
}

static void mark_holding_guarantee(struct fl_job *job, bool fits) { job->holds_guarantee = fits; }

void fl_job_guarantees_mark(struct fl_cluster *cluster, struct fl_job **scratch)
{
	struct fl_job *job, *next;
	size_t count = 0;

	HASH_ITER (hh, cluster->jobs, job, next)
		if (!job->cancelled)
			scratch[count++] = job;
	qsort(scratch, count, sizeof(*scratch), compare_submission_times);
	count_guarantees(cluster, scratch, count, mark_within_guarantee);
	qsort(scratch, count, sizeof(*scratch), compare_priorities);
	count_guarantees(cluster, scratch, count, mark_holding_guarantee);
}
