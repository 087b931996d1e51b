#include "coordination/election/fencing_token.h"

#include "coordination/node.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double raise_wait_s;
} tunables = {
	.raise_wait_s = 1.0, /* for a raise in flight; the store takes at most as long to answer */
};

/* Sets the token that the leader commands with to the one that is stored at this revision. */
static void set_fencing_token(struct fl_node *node, uint64_t fencing_token, uint64_t revision)
{
	struct fl_leader_lease *lease = &node->leader_lease;

	if (fencing_token > lease->fencing_token) {
		lease->token_raise_wanted = false;
		fl_info("election", "fencing token raised node=%s fencing_token=%llu",
		        node->config->node, (unsigned long long)fencing_token);
	}
	lease->fencing_token = fencing_token;
	lease->token_mod_revision = revision;
	if (fencing_token > node->leader_view.fencing_token)
		node->leader_view.fencing_token = fencing_token;
}

void fl_fencing_token_adopt_stored(struct fl_node *node)
{
	struct fl_leader_lease *lease = &node->leader_lease;
	uint64_t lease_id = lease->lease_id;
	struct fl_election_state state;

	if (fl_leader_view_read(&node->leader_view, &node->kv_store, &state) != FL_KV_OK ||
	    !lease->held || lease->lease_id != lease_id)
		return;
	if (state.leader_mod_revision != lease->leader_mod_revision)
		fl_leader_lease_step_down(node, "leader key changed");
	else if (state.fencing_token >= lease->fencing_token)
		set_fencing_token(node, state.fencing_token, state.token_mod_revision);
}

/* Stores a higher token, or adopts the stored one. */
static void store_higher_token(struct fl_node *node)
{
	struct fl_leader_lease *lease = &node->leader_lease;
	uint64_t revision, lease_id = lease->lease_id;
	enum fl_kv_result result;
	struct fl_kv_txn txn;

	lease->token_raised_at = fl_now();
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, lease->leader_mod_revision);
	fl_kv_txn_expect_revision(&txn, FL_KEY_FENCING_TOKEN, lease->token_mod_revision);
	fl_kv_txn_put(&txn, FL_KEY_FENCING_TOKEN,
	              fl_fencing_token_record_encode(lease->fencing_token + 1), 0);
	result = fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
	if (!lease->held || lease->lease_id != lease_id)
		return;
	if (result == FL_KV_OK)
		set_fencing_token(node, lease->fencing_token + 1, revision);
	else
		fl_fencing_token_adopt_stored(node);
}

void fl_fencing_token_raise(struct fl_node *node)
{
	struct fl_leader_lease *lease = &node->leader_lease;

	lease->token_raise_in_flight = true;
	store_higher_token(node);
	lease->token_raise_in_flight = false;
	fl_condition_broadcast(&lease->token_raise_ended);
}

bool fl_fencing_token_raise_above(struct fl_node *node, uint64_t fencing_token)
{
	struct fl_leader_lease *lease = &node->leader_lease;

	if (lease->token_raise_in_flight)
		fl_condition_wait(&lease->token_raise_ended, tunables.raise_wait_s);
	if (fl_leader_lease_is_valid(lease) && lease->fencing_token <= fencing_token)
		fl_fencing_token_raise(node);
	return fl_leader_lease_is_valid(lease) && lease->fencing_token > fencing_token;
}
