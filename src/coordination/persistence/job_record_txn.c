#include "coordination/persistence/job_record_txn.h"

#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "coordination/workers/command.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

void fl_job_record_txn_begin(const struct fl_node *node, const struct fl_job *job,
                             struct fl_job_record_txn *txn)
{
	char key[FL_KEY_MAX];

	fl_copy_string(txn->ref, sizeof(txn->ref), job->ref);
	txn->expected_revision = job->record.mod_revision;
	txn->leader_mod_revision = node->leader_lease.leader_mod_revision;
	fl_record_txn_init(&node->leader_lease, &txn->txn);
	fl_key_job(key, job->ref);
	fl_kv_txn_expect_revision(&txn->txn, key, txn->expected_revision);
}

/* Returns the job if the transaction's conditions hold as far as this leader knows, else NULL. */
static struct fl_job *find_unchanged_job(const struct fl_node *node,
                                         const struct fl_job_record_txn *txn)
{
	struct fl_job *job = node->leadership.active ? fl_job_find(&node->cluster, txn->ref) : NULL;

	if (!job || node->leader_lease.leader_mod_revision != txn->leader_mod_revision ||
	    job->record.mod_revision != txn->expected_revision)
		return NULL;
	return job;
}

/* Starts the job's tasks that were held back while a write of its record was unresolved. */
static void resume_starts(struct fl_node *node, const struct fl_job *job)
{
	fl_command_send_for_job(node, job);
	node->leadership.cycle_due = true;
	fl_condition_broadcast(&node->leadership.work_available);
}

enum fl_kv_result fl_job_record_txn_commit(struct fl_node *node, struct fl_job_record_txn *txn,
                                           uint64_t *revision)
{
	struct fl_job *job = find_unchanged_job(node, txn);
	bool is_counted = job != NULL;
	enum fl_kv_result result;

	if (is_counted) {
		job->record.unresolved_writes++;
		job->record.last_write_sent_at = fl_now();
	}
	result = fl_record_txn_commit(node, &txn->txn, revision);
	job = is_counted ? find_unchanged_job(node, txn) : NULL;
	if (!job)
		return result;
	if (fl_kv_write_was_refused(result)) {
		job->record.unresolved_writes--;
		if (job->record.unresolved_writes == 0)
			resume_starts(node, job);
	}
	if (job->record.unresolved_writes > 0 && result != FL_KV_OK)
		fl_info("jobs",
		        "job record uncertain job=%s expected_revision=%llu unresolved_writes=%u "
		        "result=\"%s\"",
		        txn->ref, (unsigned long long)txn->expected_revision,
		        job->record.unresolved_writes, fl_kv_result_text(result));
	return result;
}
