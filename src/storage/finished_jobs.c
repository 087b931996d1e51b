#include "storage/finished_jobs.h"

#include <stdlib.h>

#include "transport/clock.h"
#include "transport/text.h"

struct fl_finished_job *fl_finished_job_find(const struct fl_cluster *cluster, const char *ref)
{
	struct fl_finished_job *finished;

	HASH_FIND_STR(cluster->finished, ref, finished);
	return finished;
}

static void drop_oldest(struct fl_cluster *cluster)
{
	struct fl_finished_job *oldest = cluster->finished;

	HASH_DEL(cluster->finished, oldest);
	cluster->finished_dropped_up_to = oldest->added_at;
	free(oldest);
}

void fl_finished_job_add(struct fl_cluster *cluster, const char *ref, enum fl_job_status status,
                         uint32_t task_count, double cancelled_at)
{
	struct fl_finished_job *finished = fl_finished_job_find(cluster, ref);

	if (finished)
		return; /* a final state never changes */
	finished = calloc(1, sizeof(*finished));
	if (!finished) {
		/* Lists of cancellations since an earlier time are incomplete without it. */
		cluster->finished_dropped_up_to = fl_now();
		return;
	}
	fl_copy_string(finished->ref, sizeof(finished->ref), ref);
	finished->status = status;
	finished->task_count = task_count;
	finished->cancelled_at = cancelled_at;
	finished->added_at = fl_now();
	HASH_ADD_STR(cluster->finished, ref, finished);
	if (cluster->finished_max > 0 && HASH_COUNT(cluster->finished) > cluster->finished_max)
		drop_oldest(cluster);
}

/* The one learned last; NULL: there is none. */
static const struct fl_finished_job *newest_of(const struct fl_cluster *cluster)
{
	if (!cluster->finished)
		return NULL;
	return ELMT_FROM_HH(cluster->finished->hh.tbl, cluster->finished->hh.tbl->tail);
}

bool fl_finished_jobs_cancelled_since(const struct fl_cluster *cluster, double since, int max,
                                      const struct fl_finished_job **out, int *count)
{
	const struct fl_finished_job *finished = newest_of(cluster);

	*count = 0;
	if (cluster->finished_dropped_up_to > since)
		return false;
	for (; finished && finished->added_at >= since; finished = finished->hh.prev) {
		if (finished->status != FL_CANCELLED)
			continue;
		if (*count == max)
			return false;
		out[(*count)++] = finished;
	}
	return true;
}
