#include "coordination/persistence/wal_writer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "storage/keys.h"
#include "storage/write_ahead_log.h"
#include "transport/log.h"

static const struct {
	double max_unused_share;
	size_t initial_capacity;
} tunables = {
	.max_unused_share = 0.25, /* of a value, left empty since the next group is larger */
	.initial_capacity = 64,   /* blocks; doubled when a write needs more */
};

/* A block in the write, and the generation up to which its changes are included. */
struct logged_block {
	struct fl_job *job;
	uint32_t block_index;
	uint64_t generation;
};

/* A write of the log that is being built. */
struct wal_write {
	struct fl_kv_txn txn;
	struct logged_block *blocks;
	size_t block_count, block_capacity;
	cJSON *value; /* value being filled; NULL if none is begun */
	size_t value_bytes;
	int value_count; /* completed values */
	size_t value_limit;
	int value_count_max;
};

/* Reserves capacity for one more block; returns false if out of memory. */
static bool reserve_block(struct wal_write *write)
{
	size_t capacity =
		write->block_capacity ? 2 * write->block_capacity : tunables.initial_capacity;
	struct logged_block *blocks;

	if (write->block_count < write->block_capacity)
		return true;
	blocks = realloc(write->blocks, capacity * sizeof(*blocks));
	if (!blocks)
		return false;
	write->blocks = blocks;
	write->block_capacity = capacity;
	return true;
}

/* Moves the value being filled, if any, into the transaction. */
static void finish_value(struct wal_write *write)
{
	char key[FL_KEY_MAX];

	if (!write->value)
		return;
	snprintf(key, sizeof(key), FL_PREFIX_WAL "%d", write->value_count++);
	fl_kv_txn_put(&write->txn, key, write->value, 0);
	write->value = NULL;
	write->value_bytes = 0;
}

/* Adds an encoded group; false if it does not fit. */
static bool add_group(struct wal_write *write, const char *group)
{
	size_t bytes = strlen(group) + 1;

	if (write->value_bytes + bytes > write->value_limit)
		finish_value(write);
	if (bytes > write->value_limit ||
	    (!write->value && write->value_count >= write->value_count_max))
		return false;
	if (!write->value)
		write->value = fl_wal_value_create();
	fl_wal_value_add_group(write->value, group);
	write->value_bytes += bytes;
	return true;
}

/* Returns whether a group of this size is to be split: it would leave much of a value empty. */
static bool should_split(const struct wal_write *write, size_t bytes)
{
	return write->value_bytes + bytes > write->value_limit &&
	       (double)bytes > (double)write->value_limit * tunables.max_unused_share;
}

/* Adds the unsaved changes of these tasks of a block in one group or several; false: no room. */
static bool add_range(struct wal_write *write, const struct fl_cluster *cluster,
                      const struct fl_job *job, uint32_t block_index, struct fl_task_range range)
{
	char *group = fl_wal_group_encode(cluster, job, block_index, range);
	uint32_t middle = (range.first + range.end) / 2;
	bool fits;

	if (!group)
		return true;
	if (middle > range.first && should_split(write, strlen(group) + 1)) {
		free(group);
		return add_range(write, cluster, job, block_index,
		                 (struct fl_task_range){range.first, middle}) &&
		       add_range(write, cluster, job, block_index,
		                 (struct fl_task_range){middle, range.end});
	}
	fits = add_group(write, group);
	free(group);
	return fits;
}

/* Adds a block's unsaved changes, if any; false if they do not fit or memory is exhausted. */
static bool add_block(struct wal_write *write, const struct fl_cluster *cluster, struct fl_job *job,
                      uint32_t block_index)
{
	const struct fl_task_block *block = fl_job_task_block(job, block_index);

	if (!block || !fl_block_is_unsaved(block))
		return true;
	if (!add_range(write, cluster, job, block_index, FL_WHOLE_BLOCK) || !reserve_block(write))
		return false;
	write->blocks[write->block_count++] =
		(struct logged_block){job, block_index, block->generation};
	return true;
}

/* Adds all unsaved changes, filling value after value; returns false if they do not fit. */
static bool add_unsaved_blocks(struct wal_write *write, const struct fl_cluster *cluster)
{
	for (struct fl_job *job = cluster->dirty_jobs; job; job = job->record.next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++)
			if (!add_block(write, cluster, job, i))
				return false;
	finish_value(write);
	return true;
}

/* Reads the log's stored revision, unless it is known; the next write expects it. */
static enum fl_kv_result read_wal_revision(struct fl_node *node)
{
	struct fl_record_writer *writer = &node->record_writer;
	enum fl_kv_result result;

	if (writer->wal_revision_known)
		return FL_KV_OK;
	result = fl_kv_get_revision(&node->kv_store, FL_KEY_WAL_FIRST_VALUE,
	                            &writer->wal_mod_revision);
	writer->wal_revision_known = result == FL_KV_OK;
	return result;
}

static struct wal_write begin_wal_write(const struct fl_node *node)
{
	struct wal_write write = {
		.value_limit = fl_kv_limits_fill_bytes(&node->kv_store.limits),
		.value_count_max = fl_record_txn_operations_max(node),
	};
	double values_per_txn = FL_RECORD_TXN_BYTES_MAX / (double)write.value_limit;

	if (write.value_count_max > values_per_txn)
		write.value_count_max = (int)values_per_txn;
	fl_record_txn_init(&node->leader_lease, &write.txn);
	fl_kv_txn_expect_revision(&write.txn, FL_KEY_WAL_FIRST_VALUE,
	                          node->record_writer.wal_mod_revision);
	return write;
}

/* Marks the changes in a committed write as logged. */
static void mark_blocks_logged(const struct wal_write *write)
{
	/* The jobs still exist: only the record writer's coroutine drops jobs. */
	for (size_t i = 0; i < write->block_count; i++) {
		const struct logged_block *logged = &write->blocks[i];

		logged->job->blocks[logged->block_index]->logged_generation = logged->generation;
	}
}

static enum fl_wal_write_result commit_wal_write(struct fl_node *node, struct wal_write *write)
{
	struct fl_record_writer *writer = &node->record_writer;
	enum fl_kv_result result = fl_record_txn_admit(node, &write->txn);
	uint64_t revision;

	if (result != FL_KV_OK)
		return FL_WAL_FAILED;
	result = fl_record_txn_commit(node, &write->txn, &revision);
	fl_debug("records", "write-ahead log write finished blocks=%zu values=%d result=\"%s\"",
	         write->block_count, write->value_count, fl_kv_result_text(result));
	if (result == FL_KV_OK) {
		writer->wal_mod_revision = revision;
		mark_blocks_logged(write);
		return FL_WAL_WRITTEN;
	}
	if (!fl_kv_write_was_refused(result))
		writer->wal_revision_known = false;
	return FL_WAL_FAILED;
}

enum fl_wal_write_result fl_wal_writer_write(struct fl_node *node)
{
	enum fl_wal_write_result result;
	struct wal_write write;

	if (read_wal_revision(node) != FL_KV_OK)
		return FL_WAL_FAILED;
	write = begin_wal_write(node);
	if (add_unsaved_blocks(&write, &node->cluster)) {
		result = commit_wal_write(node, &write);
	} else {
		fl_kv_txn_free(&write.txn);
		cJSON_Delete(write.value);
		result = FL_WAL_TOO_LARGE;
	}
	free(write.blocks);
	return result;
}
