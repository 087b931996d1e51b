#include "coordination/persistence/record_writer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/workers/command.h"
#include "coordination/persistence/record_writer_internal.h"
#include "transport/log.h"
#include "transport/text.h"

void fl_record_writer_apply_record(struct fl_node *node, struct fl_job *job,
                                   const struct fl_job_record *record, uint64_t revision)
{
	if (!fl_cluster_apply_cancellation(&node->cluster, job, record, revision))
		return;
	fl_command_stop_job(node, job);
	fl_info("jobs", "%s is cancelled, says its record", job->ref);
}

int fl_record_writer_reread_job(struct fl_node *node, const char *ref, bool *over,
                                enum fl_job_status *status)
{
	struct fl_job_record record;
	struct fl_job *job;
	uint64_t revision = 0;
	cJSON *value = NULL;
	int rc = fl_job_record_read(&node->kv_store, ref, &record, &value, &revision);

	*over = rc == 0 && value == NULL;
	*status = record.status;
	job = node->leadership.active ? fl_job_find(&node->cluster, ref) : NULL;
	if (rc == 0 && value && job)
		fl_record_writer_apply_record(node, job, &record, revision);
	cJSON_Delete(value);
	return rc;
}

static bool has_progress_record(const struct fl_task_block *block)
{
	return block && (block->mod_revision != 0 || block->revision_unknown);
}

/*
 * Builds the transaction that replaces a job's record by its final one and deletes its progress
 * records. Returns the first chunk whose record did not fit.
 */
static uint32_t build_final_txn(const struct fl_node *node, const struct fl_job *job,
                                enum fl_job_status status, struct fl_kv_txn *txn)
{
	char key[FL_KEY_MAX];
	uint32_t rest = 0;

	fl_kv_txn_init(txn);
	fl_kv_txn_expect_revision(txn, FL_KEY_LEADER, node->election.leader_mod_revision);
	fl_key_job(key, job->ref);
	fl_kv_txn_expect_revision(txn, key, job->mod_revision);
	fl_kv_txn_delete(txn, key);
	fl_key_finished(key, job->ref);
	fl_kv_txn_put(txn, key, fl_job_record_final(status, job->task_count), 0);
	for (; rest < job->block_count && txn->operation_count < node->config->txn_ops; rest++) {
		if (!has_progress_record(fl_job_task_block(job, rest)))
			continue;
		fl_key_progress(key, job->ref, rest);
		fl_kv_txn_delete(txn, key);
	}
	return rest;
}

/* Marks the progress records from this chunk on for deletion. */
static void delete_records_later(struct fl_node *node, const struct fl_job *job,
                                 uint32_t block_index)
{
	char key[FL_KEY_MAX];

	for (; block_index < job->block_count; block_index++) {
		if (!has_progress_record(fl_job_task_block(job, block_index)))
			continue;
		fl_key_progress(key, job->ref, block_index);
		fl_record_writer_delete_later(node, key);
	}
}

static void drop_finished(struct fl_node *node, struct fl_job *job, enum fl_job_status status)
{
	fl_info("jobs", "%s is %s", job->ref, fl_status_name(status));
	fl_job_finalise(&node->cluster, job, status);
}

/* Writes the final state and removes the progress records, all at once if they are few. */
static int write_final_record(struct fl_node *node, struct fl_job *job)
{
	enum fl_job_status status;
	struct fl_kv_txn txn;
	char failed[FL_KEY_MAX];
	uint64_t revision;
	bool done = false;
	uint32_t rest;
	int rc;

	if (job->final_write_unknown &&
	    (rc = fl_record_writer_reread_job(node, job->ref, &done, &status)) != 0)
		return rc;
	if (done) {
		drop_finished(node, job, status);
		return 0;
	}
	if (!fl_job_is_over(job))
		return 0;
	status = job->cancelled ? FL_CANCELLED : FL_DONE;
	rest = build_final_txn(node, job, status, &txn);
	rc = fl_record_writer_await_budget(node, txn.operation_count);
	if (rc || !fl_is_leader(node)) {
		fl_kv_txn_free(&txn);
		return rc ? rc : -EAGAIN;
	}
	job->final_write_in_flight = true;
	rc = fl_kv_txn_commit(&node->kv_store, &txn, &revision, failed);
	if (rc == 0) {
		delete_records_later(node, job, rest);
		drop_finished(node, job, status);
		return 0;
	}
	job->final_write_in_flight = false;
	job->final_write_unknown = rc != -EAGAIN;
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEADER) == 0)
		fl_election_step_down(node, "another leads");
	return rc;
}

int fl_record_writer_finalise_one(struct fl_node *node)
{
	struct fl_job *job, *next;
	int rc = 0;

	for (job = node->cluster.dirty; job; job = next) {
		/* Only this routine takes jobs off the list, so the next one stays on it. */
		next = job->next_dirty;
		if (!fl_job_is_over(job))
			continue;
		rc = write_final_record(node, job);
		if (rc == 0 || rc == -ECANCELED || !fl_is_leader(node))
			return rc;
	}
	return rc;
}

/* A progress record to delete when nothing else is to be written. */
struct fl_pending_deletion {
	struct fl_pending_deletion *next;
	char key[FL_KEY_MAX];
};

void fl_record_writer_delete_later(struct fl_node *node, const char *key)
{
	struct fl_pending_deletion *deletion = malloc(sizeof(*deletion));

	if (!deletion)
		return; /* it costs a record's room, nothing else */
	fl_copy_string(deletion->key, sizeof(deletion->key), key);
	deletion->next = node->leadership.pending_deletions;
	node->leadership.pending_deletions = deletion;
}

void fl_record_writer_free_pending(struct fl_node *node)
{
	while (node->leadership.pending_deletions) {
		struct fl_pending_deletion *deletion = node->leadership.pending_deletions;

		node->leadership.pending_deletions = deletion->next;
		free(deletion);
	}
}

int fl_record_writer_delete_pending(struct fl_node *node)
{
	struct fl_pending_deletion *deletion = node->leadership.pending_deletions;
	struct fl_kv_txn txn;
	uint64_t revision;
	int rc;

	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, node->election.leader_mod_revision);
	for (; deletion && txn.operation_count < node->config->txn_ops; deletion = deletion->next)
		fl_kv_txn_delete(&txn, deletion->key);
	rc = fl_record_writer_await_budget(node, txn.operation_count);
	if (rc || !fl_is_leader(node)) {
		fl_kv_txn_free(&txn);
		return rc ? rc : -EAGAIN;
	}
	rc = fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
	while (rc == 0 && node->leadership.pending_deletions != deletion) {
		struct fl_pending_deletion *deleted = node->leadership.pending_deletions;

		node->leadership.pending_deletions = deleted->next;
		free(deleted);
	}
	return rc;
}
