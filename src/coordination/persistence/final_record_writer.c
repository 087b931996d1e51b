#include "coordination/persistence/final_record_writer.h"

#include "coordination/node.h"
#include "coordination/persistence/job_record_refresh.h"
#include "coordination/persistence/job_record_txn.h"
#include "coordination/persistence/pending_deletions.h"
#include "coordination/persistence/record_txn.h"
#include "storage/block_parts.h"
#include "storage/job_records.h"
#include "storage/keys.h"
#include "transport/log.h"

/* A position in a job's progress records, which are visited block by block. */
struct record_position {
	uint32_t block_index;
	int part_index;
};

/* Returns the key of the next stored progress record, and moves behind it; false: no more. */
static bool next_stored_record(const struct fl_job *job, struct record_position *position,
                               char key[FL_KEY_MAX])
{
	for (; position->block_index < job->block_count; position->block_index++) {
		const struct fl_task_block *block = fl_job_task_block(job, position->block_index);

		while (block && position->part_index < FL_BLOCK_PARTS_MAX) {
			int part_index = position->part_index++;

			if (!fl_block_part_is_stored(&block->parts[part_index]))
				continue;
			fl_key_progress(key, job->ref, position->block_index, part_index);
			return true;
		}
		position->part_index = 0;
	}
	return false;
}

/*
 * Builds the transaction that replaces a job's record by its final one and deletes its progress
 * records. Returns the position of the first one whose deletion did not fit.
 */
static struct record_position build_final_txn(const struct fl_node *node, const struct fl_job *job,
                                              enum fl_job_status status,
                                              struct fl_job_record_txn *record_txn)
{
	int operations_max = fl_record_txn_operations_max(node);
	struct fl_kv_txn *txn = &record_txn->txn;
	struct record_position position = {0};
	char key[FL_KEY_MAX];

	fl_job_record_txn_begin(node, job, record_txn);
	fl_key_job(key, job->ref);
	fl_kv_txn_delete(txn, key);
	fl_key_finished(key, job->ref);
	fl_kv_txn_put(txn, key, fl_job_record_encode_final(status, job->task_count), 0);
	while (txn->size.operation_count < operations_max &&
	       next_stored_record(job, &position, key))
		fl_kv_txn_delete(txn, key);
	return position;
}

/* Queues the job's progress records from this position on for later deletion. */
static void defer_deletions(struct fl_node *node, const struct fl_job *job,
                            struct record_position position)
{
	char key[FL_KEY_MAX];

	while (next_stored_record(job, &position, key))
		fl_pending_deletions_add(&node->record_writer.pending_deletions, key);
}

static void finish_job(struct fl_node *node, struct fl_job *job, enum fl_job_status status)
{
	fl_info("jobs", "job finished job=%s status=%s", job->ref, fl_job_status_name(status));
	fl_job_finalise(&node->cluster, job, status);
}

/* Writes the final record and deletes as many progress records as fit in its transaction. */
static enum fl_kv_result write_final_record(struct fl_node *node, struct fl_job *job)
{
	enum fl_job_status status = job->cancelled ? FL_CANCELLED : FL_DONE;
	enum fl_kv_result result;
	struct fl_job_record_txn txn;
	uint64_t revision;
	struct record_position undeleted_from = build_final_txn(node, job, status, &txn);

	result = fl_record_txn_admit(node, &txn.txn);
	if (result != FL_KV_OK)
		return result;
	job->record.final_write_in_flight = true;
	result = fl_job_record_txn_commit(node, &txn, &revision);
	if (result == FL_KV_OK) {
		defer_deletions(node, job, undeleted_from);
		finish_job(node, job, status);
		return FL_KV_OK;
	}
	job->record.final_write_in_flight = false;
	return result;
}

/* Finishes a job; first reads its records if an earlier write of them is unresolved. */
static enum fl_kv_result finalise_job(struct fl_node *node, struct fl_job *job)
{
	struct fl_refreshed_job refreshed;

	if (job->record.unresolved_writes == 0)
		return write_final_record(node, job);
	if (fl_job_record_refresh(node, job->ref, &refreshed) != FL_RECORD_FOUND)
		return FL_KV_UNAVAILABLE;
	if (refreshed.is_finished) {
		finish_job(node, job, refreshed.status);
		return FL_KV_OK;
	}
	return fl_job_is_finished(job) ? write_final_record(node, job) : FL_KV_OK;
}

enum fl_kv_result fl_final_record_write_one(struct fl_node *node)
{
	enum fl_kv_result result = FL_KV_OK;
	struct fl_job *job, *next;

	for (job = node->cluster.dirty_jobs; job; job = next) {
		/* Only this coroutine removes jobs from the list, so the next one stays on it. */
		next = job->record.next_dirty;
		if (!fl_job_is_finished(job))
			continue;
		result = finalise_job(node, job);
		if (result == FL_KV_OK || fl_coroutine_cancelled() || !fl_is_leader(node))
			return result;
	}
	return result;
}
