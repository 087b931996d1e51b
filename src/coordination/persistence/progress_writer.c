#include "coordination/persistence/progress_writer.h"

#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "coordination/persistence/wal_writer.h"
#include "storage/keys.h"
#include "storage/progress_records.h"
#include "transport/clock.h"

static const struct {
	int wal_min_blocks;
} tunables = {
	.wal_min_blocks = 3, /* fewer urgent blocks are written as progress records instead */
};

/* Maximum number of blocks in one transaction. */
enum { BATCH_MAX = 128 };

/* The blocks that a transaction of progress records includes. */
enum scope { UNSAVED_BLOCKS, URGENT_BLOCKS };

/* A block in a transaction, and the generation up to which its changes are included. */
struct written_block {
	struct fl_job *job;
	uint32_t block_index;
	uint64_t generation;
};

/* The blocks of one transaction. */
struct batch {
	struct written_block blocks[BATCH_MAX];
	int count;
};

/* Returns whether a start waits for this block to be durable; exited tasks are not urgent. */
static bool block_is_urgent(const struct fl_task_block *block)
{
	uint64_t durable = block->saved_generation > block->logged_generation
	                           ? block->saved_generation
	                           : block->logged_generation;

	if (block->generation <= durable)
		return false;
	for (int i = 0; i < FL_TASK_BLOCK_SIZE; i++)
		if (block->tasks[i].phase == FL_TASK_PLACED && block->tasks[i].generation > durable)
			return true;
	return false;
}

static int count_urgent_blocks(const struct fl_cluster *cluster)
{
	int count = 0;

	for (const struct fl_job *job = cluster->dirty_jobs; job; job = job->record.next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);

			count += block && block_is_urgent(block);
		}
	return count;
}

static bool block_is_in_scope(const struct fl_task_block *block, enum scope scope)
{
	if (!block || block->generation <= block->saved_generation)
		return false;
	return scope == UNSAVED_BLOCKS || block_is_urgent(block);
}

static bool batch_is_full(const struct fl_node *node, const struct batch *batch, int block_limit)
{
	size_t value_bytes = node->kv_store.limits.in_force.value_bytes;

	return batch->count >= block_limit || batch->count >= fl_record_txn_operations_max(node) ||
	       batch->count >= BATCH_MAX ||
	       (size_t)batch->count * value_bytes > FL_RECORD_TXN_BYTES_MAX;
}

/*
 * Adds up to `block_limit` blocks to the transaction. Returns false if the revision of one must be
 * read first, since a transaction that expects a wrong revision would fail.
 */
static bool collect_blocks(const struct fl_node *node, struct fl_kv_txn *txn, struct batch *batch,
                           int block_limit, enum scope scope)
{
	for (struct fl_job *job = node->cluster.dirty_jobs; job; job = job->record.next_dirty) {
		for (uint32_t i = 0; i < job->block_count; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);
			char key[FL_KEY_MAX];

			if (!block_is_in_scope(block, scope))
				continue;
			if (batch_is_full(node, batch, block_limit))
				return true;
			if (block->revision_unknown)
				return false;
			fl_key_progress(key, job->ref, i);
			fl_kv_txn_expect_revision(txn, key, block->mod_revision);
			fl_kv_txn_put(txn, key, fl_task_block_encode(&node->cluster, job, i), 0);
			batch->blocks[batch->count++] =
				(struct written_block){job, i, block->generation};
		}
	}
	return true;
}

/* Reads a record's revision after a write with an unknown outcome or a failed comparison. */
static enum fl_kv_result reread_revision(struct fl_node *node, const struct fl_job *job,
                                         uint32_t block_index)
{
	struct fl_task_block *block = job->blocks[block_index];
	enum fl_kv_result result;
	char key[FL_KEY_MAX];

	fl_key_progress(key, job->ref, block_index);
	result = fl_kv_get_revision(&node->kv_store, key, &block->mod_revision);
	if (result == FL_KV_OK)
		block->revision_unknown = false;
	return result;
}

/* Rereads one unknown revision; the next write rereads another. */
static enum fl_kv_result reread_unknown_revision(struct fl_node *node)
{
	for (struct fl_job *job = node->cluster.dirty_jobs; job; job = job->record.next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);

			if (block && block->revision_unknown)
				return reread_revision(node, job, i);
		}
	return FL_KV_OK;
}

/* Applies the result of a write. The jobs still exist: only this coroutine drops jobs. */
static void apply_batch_result(const struct batch *batch, enum fl_kv_result result,
                               uint64_t revision)
{
	for (int i = 0; i < batch->count; i++) {
		const struct written_block *written = &batch->blocks[i];
		struct fl_task_block *block = written->job->blocks[written->block_index];

		if (result == FL_KV_OK) {
			block->saved_generation = written->generation;
			block->mod_revision = revision;
		} else if (!fl_kv_write_was_refused(result)) {
			block->revision_unknown = true;
		}
	}
}

static enum fl_kv_result write_batch(struct fl_node *node, int block_limit, enum scope scope)
{
	struct batch batch = {.count = 0};
	enum fl_kv_result result;
	struct fl_kv_txn txn;
	uint64_t revision = 0;
	bool revisions_known;

	fl_record_txn_init(&node->leader_lease, &txn);
	revisions_known = collect_blocks(node, &txn, &batch, block_limit, scope);
	if (!revisions_known || batch.count == 0) {
		fl_kv_txn_free(&txn);
		return revisions_known ? FL_KV_OK : reread_unknown_revision(node);
	}
	result = fl_record_txn_admit(node, &txn);
	if (result != FL_KV_OK)
		return result;
	result = fl_record_txn_commit(node, &txn, &revision);
	apply_batch_result(&batch, result, revision);
	return result;
}

enum fl_kv_result fl_progress_write_urgent(struct fl_node *node)
{
	int count = count_urgent_blocks(&node->cluster);

	if (count == 0)
		return FL_KV_OK;
	if (count >= tunables.wal_min_blocks) {
		switch (fl_wal_writer_write(node)) {
		case FL_WAL_WRITTEN:
			return FL_KV_OK;
		case FL_WAL_FAILED:
			return FL_KV_UNAVAILABLE;
		case FL_WAL_TOO_LARGE:
			break;
		}
	}
	return write_batch(node, BATCH_MAX, URGENT_BLOCKS);
}

enum fl_kv_result fl_progress_write_within_budget(struct fl_node *node)
{
	double available = fl_token_bucket_available(fl_record_write_budget(node), fl_now());

	return available < 1 ? FL_KV_OK : write_batch(node, (int)available, UNSAVED_BLOCKS);
}
