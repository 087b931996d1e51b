#include "coordination/persistence/record_txn.h"

#include <math.h>
#include <string.h>

#include "coordination/node.h"
#include "storage/keys.h"
#include "transport/clock.h"

static const struct {
	double write_share;
} tunables = {
	.write_share = 0.7, /* of the store's write rate, for the leader's records */
};

/* The rate of the leader's writes and its burst; without a whole token none could be taken. */
static double write_rate(const struct fl_node *node)
{
	return node->kv_store.limits.in_force.writes_per_s * tunables.write_share;
}

static double write_burst(const struct fl_node *node) { return fmax(write_rate(node), 1); }

void fl_record_write_budget_init(struct fl_node *node)
{
	fl_token_bucket_init(&node->record_writer.write_budget, write_rate(node), write_burst(node),
	                     fl_now());
}

struct fl_token_bucket *fl_record_write_budget(struct fl_node *node)
{
	struct fl_token_bucket *budget = &node->record_writer.write_budget;

	fl_token_bucket_set_rate(budget, write_rate(node), write_burst(node), fl_now());
	return budget;
}

int fl_record_txn_operations_max(const struct fl_node *node)
{
	int limit = node->kv_store.limits.in_force.txn_operations;
	double burst = write_burst(node);

	if (limit > burst)
		limit = (int)burst;
	return limit > FL_KV_TXN_OPERATIONS_MIN ? limit : FL_KV_TXN_OPERATIONS_MIN;
}

void fl_record_txn_init(const struct fl_leader_lease *lease, struct fl_kv_txn *txn)
{
	fl_kv_txn_init(txn);
	fl_kv_txn_expect_revision(txn, FL_KEY_LEADER, lease->leader_mod_revision);
}

/* Waits until the budget allows the writes; returns false if the coroutine is cancelled. */
static bool await_write_budget(struct fl_node *node, double writes)
{
	double delay_s;

	while ((delay_s = fl_token_bucket_take(fl_record_write_budget(node), writes, fl_now())) > 0)
		if (fl_sleep(delay_s) != 0)
			return false;
	return true;
}

enum fl_kv_result fl_record_txn_admit(struct fl_node *node, struct fl_kv_txn *txn)
{
	if (!await_write_budget(node, txn->size.operation_count)) {
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
		fl_leader_lease_step_down(node, "leader key changed");
	return result;
}
