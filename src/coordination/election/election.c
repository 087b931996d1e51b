#include "coordination/election/election.h"

#include <errno.h>
#include <string.h>

#include "coordination/election/election_watch.h"
#include "coordination/election/fencing_token.h"
#include "coordination/node.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double lease_ttl_s, renew_interval_s, clock_drift_share, expiry_margin_s;
	double read_interval_s, retry_s, campaign_stagger_s;
	double token_raise_interval_s;
} tunables = {
	.lease_ttl_s = 3.0,      /* maximum time for which a failed leader blocks its replacement */
	.renew_interval_s = 0.8, /* allows three attempts before the lease expires */
	.clock_drift_share = 0.001,    /* twice what the platform allows between two clocks */
	.expiry_margin_s = 0.1,        /* for a timer that fires late */
	.read_interval_s = 1.0,        /* between a follower's reads, which confirm the leader */
	.retry_s = 0.3,                /* delay after a failed request */
	.campaign_stagger_s = 0.05,    /* per rank, so that the nodes do not campaign at once */
	.token_raise_interval_s = 4.0, /* minimum between two raises of the fencing token */
};

/* Returns when a lease that was requested at `sent_at` expires; monotonic clock, s. */
static double lease_valid_until(double sent_at)
{
	return sent_at + tunables.lease_ttl_s * (1 - tunables.clock_drift_share) -
	       tunables.expiry_margin_s;
}

/* Writes the leader key and the next fencing token in one compare-and-swap transaction. */
static enum fl_kv_result claim_leader_key(struct fl_node *node,
                                          const struct fl_election_state *state, uint64_t lease_id,
                                          uint64_t *revision)
{
	struct fl_kv_txn txn;

	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, 0);
	fl_kv_txn_expect_revision(&txn, FL_KEY_FENCING_TOKEN, state->token_mod_revision);
	fl_kv_txn_put(&txn, FL_KEY_LEADER,
	              fl_leader_record_encode(node->config->node, node->process_id), lease_id);
	fl_kv_txn_put(&txn, FL_KEY_FENCING_TOKEN,
	              fl_fencing_token_record_encode(state->fencing_token + 1), 0);
	return fl_kv_txn_commit(&node->kv_store, &txn, revision, NULL);
}

/*
 * Tries to become the leader. The lease period is counted from before the grant is sent, so that
 * the lease expires on this node no later than in the key-value store.
 */
static void acquire_leadership(struct fl_node *node, const struct fl_election_state *state)
{
	struct fl_leader_lease *lease = &node->leader_lease;
	uint64_t lease_id, revision;
	double sent_at = fl_now();

	if (fl_kv_lease_grant(&node->kv_store, tunables.lease_ttl_s, &lease_id) != FL_KV_OK)
		return;
	if (claim_leader_key(node, state, lease_id, &revision) != FL_KV_OK) {
		/* If the write was or will be executed, revoking the lease deletes the key. */
		fl_kv_lease_revoke(&node->kv_store, lease_id);
		return;
	}
	lease->lease_id = lease_id;
	lease->leader_mod_revision = lease->token_mod_revision = revision;
	lease->fencing_token = state->fencing_token + 1;
	lease->valid_until = lease_valid_until(sent_at);
	lease->held = true;
	lease->token_raise_wanted = false;
	lease->token_raised_at = fl_now();
	node->leader_view.fencing_token = lease->fencing_token;
	node->leader_view.confirmed_at = sent_at;
	fl_copy_string(node->leader_view.leader, sizeof(node->leader_view.leader),
	               node->config->node);
	fl_info("election", "leader elected node=%s fencing_token=%llu", node->config->node,
	        (unsigned long long)lease->fencing_token);
}

/* Handles the success of a renewal that was sent at `sent_at` (monotonic clock, s). */
static void on_lease_renewed(struct fl_node *node, double sent_at)
{
	struct fl_leader_lease *lease = &node->leader_lease;

	/* No digest is read while the lease is expired, so silence of workers counts from now. */
	if (fl_now() > lease->valid_until)
		node->leadership.heartbeats_receivable_since = fl_now();
	lease->valid_until = lease_valid_until(sent_at);
	fl_leader_view_confirm(&node->leader_view, sent_at);
	if (node->leader_view.fencing_token > lease->fencing_token)
		fl_fencing_token_adopt_stored(node);
	if (lease->held && lease->token_raise_wanted &&
	    fl_now() > lease->token_raised_at + tunables.token_raise_interval_s)
		fl_fencing_token_raise(node);
}

/* Renews the lease; returns the seconds until the next renewal. */
static double renew_lease(struct fl_node *node)
{
	struct fl_leader_lease *lease = &node->leader_lease;
	uint64_t lease_id = lease->lease_id;
	double sent_at = fl_now();
	enum fl_kv_result result =
		fl_kv_lease_keep_alive(&node->kv_store, lease_id, tunables.renew_interval_s);

	if (!lease->held || lease->lease_id != lease_id)
		return 0;
	if (result == FL_KV_OK) {
		on_lease_renewed(node, sent_at);
		return tunables.renew_interval_s;
	}
	if (result == FL_KV_NOT_FOUND) {
		fl_leader_lease_step_down(node, "lease expired");
		return 0;
	}
	if (fl_now() > lease->valid_until)
		fl_debug("election",
		         "leader lease not renewed; retried, and workers get only lease renewals "
		         "meanwhile result=\"%s\"",
		         fl_kv_result_text(result));
	return tunables.retry_s;
}

/*
 * Revokes the lease of an earlier process of this node that still holds the leader key. That
 * process has ended, since otherwise this one would not run.
 */
static void revoke_lease_of_earlier_process(struct fl_node *node,
                                            const struct fl_election_state *state)
{
	uint64_t revision, lease_id = 0;
	cJSON *value;

	if (fl_kv_get(&node->kv_store, FL_KEY_LEADER, &value, &revision, &lease_id) != FL_KV_OK)
		return;
	cJSON_Delete(value);
	if (lease_id && revision == state->leader_mod_revision)
		fl_kv_lease_revoke(&node->kv_store, lease_id);
}

/*
 * Campaigns if there is no leader; returns the seconds until the next attempt. The delay before a
 * campaign depends on `rank`, so that the controllers do not campaign at the same time.
 */
static double campaign(struct fl_node *node, int rank)
{
	struct fl_election_state state;

	if (fl_leader_view_read(&node->leader_view, &node->kv_store, &state) != FL_KV_OK)
		return tunables.retry_s;
	if (state.has_leader && strcmp(state.leader.node, node->config->node) != 0)
		return tunables.read_interval_s;
	if (state.has_leader && strcmp(state.leader.process_id, node->process_id) != 0) {
		revoke_lease_of_earlier_process(node, &state);
		return 0;
	}
	if (state.has_leader)
		return tunables.retry_s; /* own key from before the step down; it expires soon */
	if (fl_sleep(tunables.campaign_stagger_s * rank) != 0)
		return 0;
	acquire_leadership(node, &state);
	return node->leader_lease.held ? 0 : tunables.retry_s;
}

/* Performs one step of the election; returns the seconds until the next step. */
static double advance_election(struct fl_node *node, int rank)
{
	if (node->leader_lease.held) {
		if (!node->leadership.active && !node->leadership.loading)
			node->election_callbacks->begin_leadership(node);
		return renew_lease(node);
	}
	/* The failover in progress ends by itself, since the lease is lost. */
	if (node->leadership.loading)
		return tunables.retry_s;
	if (node->leadership.active)
		node->election_callbacks->end_leadership(node);
	return node->machine_types_loaded && node->live_jobs_loaded ? campaign(node, rank)
	                                                            : tunables.retry_s;
}

/* Returns this node's position among all controllers in the order of their names, from 0. */
static int rank_among_controllers(const struct fl_node *node)
{
	int rank = 0;

	for (int i = 0; i < node->peer_count; i++)
		rank += strcmp(node->peers[i].name, node->config->node) < 0;
	return rank;
}

static void election_coroutine(void *arg)
{
	struct fl_node *node = arg;
	int rank = rank_among_controllers(node);

	fl_coroutine_set_urgent();
	while (!fl_coroutine_cancelled()) {
		double pause_s = advance_election(node, rank);

		if (pause_s > 0 &&
		    fl_condition_wait(&node->leader_view.changed, pause_s) == -ECANCELED)
			break;
	}
}

void fl_election_start(struct fl_node *node, const struct fl_election_callbacks *callbacks)
{
	node->election_callbacks = callbacks;
	fl_leader_view_init(&node->leader_view);
	fl_coroutine_spawn(election_coroutine, node);
	fl_election_watch_start(node);
}
