#include "coordination/persistence/record_txn.h"

#include <string.h>

#include "coordination/node.h"
#include "storage/keys.h"
#include "storage/token_bucket.h"
#include "transport/clock.h"

void fl_record_txn_init(const struct fl_leader_lease *lease, struct fl_kv_txn *txn)
{
	fl_kv_txn_init(txn);
	fl_kv_txn_expect_revision(txn, FL_KEY_LEADER, lease->leader_mod_revision);
}

/* Waits until the budget allows this many writes; false if the coroutine is cancelled. */
static bool await_write_budget(struct fl_token_bucket *budget, double writes)
{
	double delay_s;

	while ((delay_s = fl_token_bucket_take(budget, writes, fl_now())) > 0)
		if (fl_sleep(delay_s) != 0)
			return false;
	return true;
}

enum fl_kv_result fl_record_txn_admit(struct fl_node *node, struct fl_kv_txn *txn)
{
	if (!await_write_budget(&node->record_writer.write_budget, txn->operation_count)) {
		fl_kv_txn_free(txn);
		return FL_KV_CANCELLED;
	}
	if (!fl_is_leader(node)) {
		fl_kv_txn_free(txn);
		return FL_KV_UNAVAILABLE;
	}
	return FL_KV_OK;
}

enum fl_kv_result fl_record_txn_commit(struct fl_node *node, struct fl_kv_txn *txn,
                                       uint64_t *revision)
{
	char failed_key[FL_KEY_MAX] = "";
	enum fl_kv_result result = fl_kv_txn_commit(&node->kv_store, txn, revision, failed_key);

	if (result == FL_KV_COMPARE_FAILED && strcmp(failed_key, FL_KEY_LEADER) == 0)
		fl_leader_lease_step_down(node, "another leader");
	return result;
}
