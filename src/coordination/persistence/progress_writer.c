#include "coordination/persistence/progress_writer.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "coordination/persistence/wal_writer.h"
#include "storage/block_parts.h"
#include "storage/keys.h"
#include "storage/progress_records.h"
#include "transport/clock.h"

static const struct {
	int wal_min_records;
} tunables = {
	.wal_min_records = 3, /* fewer urgent changes are written as progress records instead */
};

/* Maximum number of records in one transaction. */
enum { BATCH_MAX = 128 };

/* The parts of blocks that a transaction of progress records includes. */
enum scope { UNSAVED_PARTS, URGENT_PARTS };

/* A part in a transaction, and the generation up to which its changes are included. */
struct written_part {
	struct fl_job *job;
	uint32_t block_index;
	int part_index;
	uint64_t generation;
};

/* The records of one transaction that is being built. */
struct batch {
	struct fl_kv_txn txn;
	enum scope scope;
	struct written_part parts[BATCH_MAX];
	int count, count_max;
	size_t bytes, value_bytes_max; /* of all values, and the maximum of one */
};

/* The result of adding records to a transaction. */
enum collect_result {
	COLLECT_OK,
	COLLECT_SPLIT,           /* the part was too large and is two parts now */
	COLLECT_FULL,            /* the transaction is as large as it may be */
	COLLECT_REVISION_UNKNOWN /* the revision of a record must be read first */
};

/* Returns whether a start of one of the part's tasks waits until it is durable. */
static bool part_is_urgent(const struct fl_task_block *block, int part_index)
{
	uint64_t saved = block->parts[part_index].saved_generation;
	uint64_t durable = saved > block->logged_generation ? saved : block->logged_generation;
	struct fl_task_range range = fl_block_part_range(block, part_index);

	if (block->generation <= durable)
		return false;
	for (uint32_t i = range.first; i < range.end; i++)
		if (block->tasks[i].phase == FL_TASK_PLACED && block->tasks[i].generation > durable)
			return true;
	return false;
}

static int count_urgent_parts(const struct fl_task_block *block)
{
	int count = 0;

	for (int i = FL_BLOCK_PARTS_MAX; (i = fl_block_part_before(block, i)) >= 0;)
		count += part_is_urgent(block, i);
	return count;
}

static int count_urgent_records(const struct fl_cluster *cluster)
{
	int count = 0;

	for (const struct fl_job *job = cluster->dirty_jobs; job; job = job->record.next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);

			count += block ? count_urgent_parts(block) : 0;
		}
	return count;
}

/* Until a part that was split has been written, no start may overwrite its old record. */
static bool part_is_in_scope(const struct fl_task_block *block, int part_index, enum scope scope)
{
	return scope == UNSAVED_PARTS
	               ? fl_block_part_is_unsaved(block, part_index)
	               : block->parts[part_index].must_rewrite || part_is_urgent(block, part_index);
}

static void add_record(struct batch *batch, struct fl_job *job, uint32_t block_index,
                       int part_index, const char *text)
{
	const struct fl_task_block *block = fl_job_task_block(job, block_index);
	char key[FL_KEY_MAX];

	fl_key_progress(key, job->ref, block_index, part_index);
	fl_kv_txn_expect_revision(&batch->txn, key, block->parts[part_index].mod_revision);
	fl_kv_txn_put_text(&batch->txn, key, text, 0);
	batch->bytes += strlen(text);
	batch->parts[batch->count++] =
		(struct written_part){job, block_index, part_index, block->generation};
}

/* Adds a part's encoded record to the transaction, or splits the part if that is too large. */
static enum collect_result collect_record(struct batch *batch, struct fl_job *job,
                                          uint32_t block_index, int part_index, const char *text)
{
	struct fl_task_block *block = fl_job_task_block(job, block_index);
	size_t bytes = strlen(text);

	if (bytes > batch->value_bytes_max && fl_block_part_split(block, part_index) >= 0)
		return COLLECT_SPLIT;
	if (batch->bytes + bytes > FL_RECORD_TXN_BYTES_MAX)
		return COLLECT_FULL;
	add_record(batch, job, block_index, part_index, text);
	return COLLECT_OK;
}

static enum collect_result collect_part(const struct fl_cluster *cluster, struct batch *batch,
                                        struct fl_job *job, uint32_t block_index, int part_index)
{
	const struct fl_task_block *block = fl_job_task_block(job, block_index);
	enum collect_result result;
	char *text;

	if (!part_is_in_scope(block, part_index, batch->scope))
		return COLLECT_OK;
	if (batch->count >= batch->count_max)
		return COLLECT_FULL;
	if (block->parts[part_index].revision_unknown)
		return COLLECT_REVISION_UNKNOWN;
	text = fl_json_print_and_delete(fl_task_block_encode(
		cluster, job, block_index, fl_block_part_range(block, part_index)));
	if (!text)
		return COLLECT_FULL; /* out of memory */
	result = collect_record(batch, job, block_index, part_index, text);
	free(text);
	return result;
}

/* Adds the parts of a block from the last one to the first: see block_parts.h. */
static enum collect_result collect_block(const struct fl_cluster *cluster, struct batch *batch,
                                         struct fl_job *job, uint32_t block_index)
{
	const struct fl_task_block *block = fl_job_task_block(job, block_index);
	int last_collected = FL_BLOCK_PARTS_MAX, i;

	while (block && (i = fl_block_part_before(block, last_collected)) >= 0) {
		enum collect_result result = collect_part(cluster, batch, job, block_index, i);

		/* The second half of a part that was split is the next one. */
		if (result == COLLECT_SPLIT)
			continue;
		if (result != COLLECT_OK)
			return result;
		last_collected = i;
	}
	return COLLECT_OK;
}

static enum collect_result collect_records(const struct fl_cluster *cluster, struct batch *batch)
{
	for (struct fl_job *job = cluster->dirty_jobs; job; job = job->record.next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			enum collect_result result = collect_block(cluster, batch, job, i);

			if (result != COLLECT_OK)
				return result;
		}
	return COLLECT_OK;
}

/* Reads a record's revision after a write with an unknown outcome or a failed comparison. */
static enum fl_kv_result reread_revision(struct fl_node *node, const struct fl_job *job,
                                         uint32_t block_index, int part_index)
{
	struct fl_block_part *part = &fl_job_task_block(job, block_index)->parts[part_index];
	enum fl_kv_result result;
	char key[FL_KEY_MAX];

	fl_key_progress(key, job->ref, block_index, part_index);
	result = fl_kv_get_revision(&node->kv_store, key, &part->mod_revision);
	if (result == FL_KV_OK)
		part->revision_unknown = false;
	return result;
}

/* Rereads one unknown revision; the next write rereads another. */
static enum fl_kv_result reread_unknown_revision(struct fl_node *node)
{
	for (struct fl_job *job = node->cluster.dirty_jobs; job; job = job->record.next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);

			for (int k = 0; block && k < FL_BLOCK_PARTS_MAX; k++)
				if (block->parts[k].revision_unknown)
					return reread_revision(node, job, i, k);
		}
	return FL_KV_OK;
}

/* Applies the result of a write. The jobs still exist: only this coroutine drops jobs. */
static void apply_batch_result(const struct batch *batch, enum fl_kv_result result,
                               uint64_t revision)
{
	for (int i = 0; i < batch->count; i++) {
		const struct written_part *written = &batch->parts[i];
		struct fl_block_part *part =
			&written->job->blocks[written->block_index]->parts[written->part_index];

		if (result == FL_KV_OK) {
			part->saved_generation = written->generation;
			part->mod_revision = revision;
			part->must_rewrite = false;
		} else if (!fl_kv_write_was_refused(result)) {
			part->revision_unknown = true;
		}
	}
}

/* Writes up to `count_max` records, as many as fit into one transaction. */
static enum fl_kv_result write_batch(struct fl_node *node, int count_max, enum scope scope)
{
	struct batch batch = {.scope = scope,
	                      .count_max = fl_record_txn_operations_max(node),
	                      .value_bytes_max = fl_kv_limits_fill_bytes(&node->kv_store.limits)};
	enum collect_result collected;
	enum fl_kv_result result;
	uint64_t revision = 0;

	if (batch.count_max > count_max)
		batch.count_max = count_max;
	if (batch.count_max > BATCH_MAX)
		batch.count_max = BATCH_MAX;
	fl_record_txn_init(&node->leader_lease, &batch.txn);
	collected = collect_records(&node->cluster, &batch);
	if (collected == COLLECT_REVISION_UNKNOWN || batch.count == 0) {
		fl_kv_txn_free(&batch.txn);
		return collected == COLLECT_REVISION_UNKNOWN ? reread_unknown_revision(node)
		                                             : FL_KV_OK;
	}
	result = fl_record_txn_admit(node, &batch.txn);
	if (result != FL_KV_OK)
		return result;
	result = fl_record_txn_commit(node, &batch.txn, &revision);
	apply_batch_result(&batch, result, revision);
	return result;
}

enum fl_kv_result fl_progress_write_urgent(struct fl_node *node)
{
	int count = count_urgent_records(&node->cluster);

	if (count == 0)
		return FL_KV_OK;
	if (count >= tunables.wal_min_records) {
		switch (fl_wal_writer_write(node)) {
		case FL_WAL_WRITTEN:
			return FL_KV_OK;
		case FL_WAL_FAILED:
			return FL_KV_UNAVAILABLE;
		case FL_WAL_TOO_LARGE:
			break;
		}
	}
	return write_batch(node, BATCH_MAX, URGENT_PARTS);
}

enum fl_kv_result fl_progress_write_within_budget(struct fl_node *node)
{
	double available = fl_token_bucket_available(fl_record_write_budget(node), fl_now());

	return available < 1 ? FL_KV_OK : write_batch(node, (int)available, UNSAVED_PARTS);
}
