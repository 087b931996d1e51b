#include "coordination/api/cancellation_retry.h"

#include "coordination/api/cancellation.h"
#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double check_interval_s, retry_delay_s;
} tunables = {
	.check_interval_s = 0.5, /* between two checks for cancellations to repeat */
	.retry_delay_s = 1.5,    /* since the last write, whose answer may take 1 s */
};

/*
 * Returns whether the job has an unresolved write that nobody else will repeat. The record writer
 * repeats the final records of finished and cancelled jobs, so the write is a cancellation.
 */
static bool retry_is_due(const struct fl_job *job, double now)
{
	return job->record.unresolved_writes > 0 && !job->cancelled && !fl_job_is_finished(job) &&
	       now - job->record.last_write_sent_at >= tunables.retry_delay_s;
}

/* Returns a job whose cancellation is to be repeated now, or NULL. */
static const struct fl_job *find_due_job(const struct fl_node *node)
{
	const struct fl_job *job;
	double now = fl_now();

	for (job = node->cluster.jobs; job; job = job->hh.next)
		if (retry_is_due(job, now))
			return job;
	return NULL;
}

/* Repeats what is due, as far as the write budget allows and the store answers. */
static void repeat_due_cancellations(struct fl_node *node)
{
	const struct fl_job *job;

	while (fl_is_leader(node) && (job = find_due_job(node))) {
		if (fl_token_bucket_take(fl_record_write_budget(node), 1, fl_now()) > 0)
			return;
		fl_info("jobs", "cancellation repeated job=%s", job->ref);
		if (fl_cancellation_write(node, job) != FL_KV_OK)
			return;
	}
}

void fl_cancellation_retry_run(struct fl_node *node)
{
	while (fl_sleep(tunables.check_interval_s) == 0)
		repeat_due_cancellations(node);
}
