#include "coordination/persistence/record_writer.h"

#include <errno.h>
#include <string.h>

#include "coordination/workers/command.h"
#include "coordination/persistence/record_writer_internal.h"
#include "transport/clock.h"

static const struct {
	double retry_s;
	int log_from;
} tunables = {
	.retry_s = 0.2, /* s after a refused write */
	.log_from = 3,  /* records that launches wait for, from which on the log is used */
};

enum { BATCH_MAX = 128 };

/* Which chunks a transaction of progress records takes. */
enum scope { UNSAVED_CHUNKS, URGENT_CHUNKS };

/* A write of this record went unanswered or met another revision: read what stands. */
static int reread_progress_record(struct fl_node *node, struct fl_job *job, uint32_t block_index)
{
	struct fl_task_block *block = job->blocks[block_index];
	char key[FL_KEY_MAX];
	uint64_t revision = 0;
	cJSON *value;
	int rc;

	fl_key_progress(key, job->ref, block_index);
	rc = fl_kv_get(&node->kv_store, key, &value, &revision, NULL);
	cJSON_Delete(value);
	if (rc && rc != -ENOENT)
		return rc;
	block->mod_revision = rc == -ENOENT ? 0 : revision;
	block->revision_unknown = false;
	return 0;
}

int fl_record_writer_await_budget(struct fl_node *node, double writes)
{
	double wait;

	while ((wait = fl_token_bucket_take(&node->leadership.write_budget, writes, fl_now())) > 0)
		if (fl_sleep(wait) != 0)
			return -ECANCELED;
	return 0;
}

/* Does something wait for this chunk to be durable? A launch does; what is over can wait. */
static bool is_urgent(const struct fl_task_block *block)
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

static int count_urgent(const struct fl_node *node)
{
	int count = 0;

	for (const struct fl_job *job = node->cluster.dirty; job; job = job->next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);

			count += block && is_urgent(block);
		}
	return count;
}

/* Adds the chunks to write; 1: the record of one must be read first. */
static int collect(struct fl_node *node, struct fl_kv_txn *txn, struct fl_batch_item *items,
                   int *count, int most, enum scope scope)
{
	struct fl_job *job, *next;
	char key[FL_KEY_MAX];

	*count = 0;
	for (job = node->cluster.dirty; job; job = next) {
		next = job->next_dirty;
		for (uint32_t i = 0; i < job->block_count; i++) {
			struct fl_task_block *block = fl_job_task_block(job, i);

			if (!block || block->generation <= block->saved_generation ||
			    (scope == URGENT_CHUNKS && !is_urgent(block)))
				continue;
			if (*count >= most || *count >= node->config->txn_ops ||
			    *count >= BATCH_MAX ||
			    *count * node->config->value_kb * 1024 > FL_BATCH_BYTES)
				return 0;
			if (block->revision_unknown)
				return 1; /* must be read first; the caller does so */
			fl_key_progress(key, job->ref, i);
			fl_kv_txn_expect_revision(txn, key, block->mod_revision);
			fl_kv_txn_put(txn, key, fl_task_block_encode(&node->cluster, job, i), 0);
			items[(*count)++] = (struct fl_batch_item){job, i, block->generation};
		}
	}
	return 0;
}

static int reread_unknown_revisions(struct fl_node *node)
{
	for (struct fl_job *job = node->cluster.dirty; job; job = job->next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);

			if (block && block->revision_unknown)
				return reread_progress_record(node, job, i);
		}
	return 0;
}

static int write_batch(struct fl_node *node, int most, enum scope scope)
{
	struct fl_batch_item items[BATCH_MAX];
	char failed[FL_KEY_MAX];
	struct fl_kv_txn txn;
	uint64_t revision;
	int count, rc;

	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, node->election.leader_mod_revision);
	rc = collect(node, &txn, items, &count, most, scope);
	if (rc || count == 0) {
		fl_kv_txn_free(&txn);
		return rc ? reread_unknown_revisions(node) : 0;
	}
	rc = fl_record_writer_await_budget(node, count);
	if (rc || !fl_is_leader(node)) {
		fl_kv_txn_free(&txn);
		return rc ? rc : -EAGAIN;
	}
	rc = fl_kv_txn_commit(&node->kv_store, &txn, &revision, failed);
	for (int i = 0; i < count; i++) {
		struct fl_task_block *block = items[i].job->blocks[items[i].block_index];

		if (rc == 0) {
			block->saved_generation = items[i].generation;
			block->mod_revision = revision;
		} else if (rc != -EAGAIN) {
			block->revision_unknown = true;
		}
	}
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEADER) == 0)
		fl_election_step_down(node, "another leads");
	return rc;
}

/* What launches wait for: a few records by themselves, many at once by the log. */
static int write_urgent(struct fl_node *node)
{
	int count = count_urgent(node), rc = -E2BIG;

	if (count == 0)
		return 0;
	if (count >= tunables.log_from)
		rc = fl_record_writer_write_wal(node);
	return rc == -E2BIG ? write_batch(node, node->config->txn_ops, URGENT_CHUNKS) : rc;
}

/* The records follow as the budget allows, and leave room for what is urgent. */
static int write_as_budget_allows(struct fl_node *node)
{
	double left = fl_token_bucket_available(&node->leadership.write_budget, fl_now());

	return left < 1 ? 0 : write_batch(node, (int)left, UNSAVED_CHUNKS);
}

/* Takes jobs with nothing left to write off the list of the dirty ones. */
static void clear_saved(struct fl_node *node)
{
	struct fl_job **at = &node->cluster.dirty;

	while (*at) {
		struct fl_job *job = *at;
		bool dirty = false;

		for (uint32_t i = 0; i < job->block_count && !dirty; i++) {
			const struct fl_task_block *block = fl_job_task_block(job, i);

			dirty = block && block->generation > block->saved_generation;
		}
		if (dirty || fl_job_is_over(job)) {
			at = &job->next_dirty;
		} else {
			*at = job->next_dirty;
			job->is_dirty = false;
		}
	}
}

static int write_all(struct fl_node *node)
{
	int rc = write_urgent(node), finished;

	if (rc)
		return rc;
	fl_command_send_pending(node);
	finished = fl_record_writer_finalise_one(node);
	rc = fl_is_leader(node) ? write_as_budget_allows(node) : -EAGAIN;
	if (!rc)
		clear_saved(node);
	return rc ? rc : finished;
}

/* Nothing can be written before the budget allows, but something urgent may come up. */
static int pause_for(struct fl_node *node)
{
	double left = fl_token_bucket_available(&node->leadership.write_budget, fl_now());

	if (!node->cluster.dirty || left >= 1)
		return 0;
	return fl_condition_wait(&node->leadership.writes_pending,
	                         (1 - left) / node->leadership.write_budget.rate) == -ECANCELED
	               ? -1
	               : 0;
}

void fl_record_writer_coroutine(void *arg)
{
	struct fl_node *node = arg;

	while (!fl_coroutine_cancelled()) {
		if (!fl_is_leader(node) || !node->cluster.dirty) {
			if (fl_is_leader(node) && node->leadership.pending_deletions)
				fl_record_writer_delete_pending(node);
			if (fl_condition_wait(&node->leadership.writes_pending, 0.5) == -ECANCELED)
				break;
			continue;
		}
		if (write_all(node) != 0 ? fl_sleep(tunables.retry_s) != 0 : pause_for(node) != 0)
			break;
	}
	node->leadership.coroutines_running--;
	fl_condition_broadcast(&node->leadership.coroutine_ended);
}
