#include "coordination/persistence/record_writer.h"

#include <errno.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/persistence/final_record_writer.h"
#include "coordination/persistence/pending_deletions.h"
#include "coordination/persistence/progress_writer.h"
#include "coordination/persistence/record_txn.h"
#include "coordination/workers/command.h"
#include "storage/block_parts.h"
#include "storage/token_bucket.h"
#include "transport/clock.h"

static const struct {
	double retry_s, idle_interval_s;
} tunables = {
	.retry_s = 0.2,         /* delay after a failed write */
	.idle_interval_s = 0.5, /* maximum wait for a signal before the writer checks again */
};

void fl_record_writer_reset(struct fl_record_writer *writer)
{
	fl_pending_deletions_free(&writer->pending_deletions);
	memset(writer, 0, sizeof(*writer));
}

/* Returns whether a block of the job has changes that its progress records lack. */
static bool has_unsaved_block(const struct fl_job *job)
{
	for (uint32_t i = 0; i < job->block_count; i++) {
		const struct fl_task_block *block = fl_job_task_block(job, i);

		if (block && fl_block_is_unsaved(block))
			return true;
	}
	return false;
}

/* Removes jobs with nothing left to write from the dirty list. */
static void remove_saved_jobs(struct fl_cluster *cluster)
{
	struct fl_job **link = &cluster->dirty_jobs;

	while (*link) {
		struct fl_job *job = *link;

		if (has_unsaved_block(job) || fl_job_is_finished(job)) {
			link = &job->record.next_dirty;
		} else {
			*link = job->record.next_dirty;
			job->record.is_dirty = false;
		}
	}
}

/* Writes the placements that start commands wait for, one final record and some other changes. */
static enum fl_kv_result write_pending_records(struct fl_node *node)
{
	enum fl_kv_result final_result, result = fl_progress_write_urgent(node);

	if (result != FL_KV_OK)
		return result;
	fl_command_send_pending(node);
	final_result = fl_final_record_write_one(node);
	if (!fl_is_leader(node))
		return FL_KV_UNAVAILABLE;
	result = fl_progress_write_within_budget(node);
	if (result != FL_KV_OK)
		return result;
	remove_saved_jobs(&node->cluster);
	return final_result;
}

/*
 * Waits until the write budget allows a write or, since urgent changes may occur meanwhile, until
 * one is signalled. Returns false if the coroutine is cancelled.
 */
static bool await_budget_or_urgent_change(struct fl_node *node)
{
	struct fl_record_writer *writer = &node->record_writer;
	struct fl_token_bucket *budget = fl_record_write_budget(node);
	double available = fl_token_bucket_available(budget, fl_now());

	if (!node->cluster.dirty_jobs || available >= 1)
		return true;
	return fl_condition_wait(&writer->writes_pending, (1 - available) / budget->rate) !=
	       -ECANCELED;
}

void fl_record_writer_run(struct fl_node *node)
{
	bool running = true;

	while (running && !fl_coroutine_cancelled()) {
		if (fl_is_leader(node) && node->cluster.dirty_jobs) {
			running = write_pending_records(node) == FL_KV_OK
			                  ? await_budget_or_urgent_change(node)
			                  : fl_sleep(tunables.retry_s) == 0;
			continue;
		}
		if (fl_is_leader(node) && node->record_writer.pending_deletions)
			fl_pending_deletions_write(node);
		running = fl_condition_wait(&node->record_writer.writes_pending,
		                            tunables.idle_interval_s) != -ECANCELED;
	}
}
