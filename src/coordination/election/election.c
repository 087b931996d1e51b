#include "coordination/election/election.h"

#include <errno.h>
#include <string.h>

#include "coordination/node.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double lease_ttl_s, renew_interval_s, clock_drift_share, expiry_margin_s;
	double read_interval_s, retry_s, campaign_stagger_s, watch_timeout_s;
	double token_raise_interval_s;
} tunables = {
	.lease_ttl_s = 3.0,         /* s; for at most so long a dead leader is not replaced */
	.renew_interval_s = 0.8,    /* s; three tries before the lease expires */
	.clock_drift_share = 0.001, /* share; twice what the platform allows between two clocks */
	.expiry_margin_s = 0.1,     /* s; for a timer that fires late */
	.read_interval_s = 1.0,     /* s; between a follower's reads, which confirm the leader */
	.retry_s = 0.3,             /* s; after a refused request */
	.campaign_stagger_s = 0.05, /* s a node; so that not all campaign at once */
	.watch_timeout_s = 10.0,    /* s; length of a watch */
	.token_raise_interval_s = 4.0, /* s; minimum between two raises of the fencing token */
};

/* Until when a lease is valid (steady) whose grant or renewal was sent at this time. */
static double lease_valid_until(double sent_at)
{
	return sent_at + tunables.lease_ttl_s * (1 - tunables.clock_drift_share) -
	       tunables.expiry_margin_s;
}

/* Takes the leader key with the next fencing token, in one compare-and-swap. */
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
 * Tries to become the leader. The lease's time is counted from before the grant was sent, so that
 * it ends here no later than in the store.
 */
static void acquire_leadership(struct fl_node *node, const struct fl_election_state *state)
{
	struct fl_leader_lease *lease = &node->leader_lease;
	uint64_t lease_id, revision;
	double sent_at = fl_now();

	if (fl_kv_lease_grant(&node->kv_store, tunables.lease_ttl_s, &lease_id) != FL_KV_OK)
		return;
	if (claim_leader_key(node, state, lease_id, &revision) != FL_KV_OK) {
		/* If the write was, or will yet be, executed: the key is deleted with its lease. */
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
	fl_info("election", "%s became leader fencing_token=%llu", node->config->node,
	        (unsigned long long)lease->fencing_token);
}

/* Raises the fencing token of a leader, so that commands with the old one are rejected. */
static void raise_fencing_token(struct fl_node *node)
{
	struct fl_leader_lease *lease = &node->leader_lease;
	uint64_t revision, lease_id = lease->lease_id;
	struct fl_election_state state;
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
	if (result == FL_KV_OK) {
		lease->fencing_token++;
		lease->token_mod_revision = revision;
		lease->token_raise_wanted = false;
	} else if (fl_leader_view_read(&node->leader_view, &node->kv_store, &state) == FL_KV_OK &&
	           lease->held && state.leader_mod_revision == lease->leader_mod_revision) {
		/* The write may have been executed: the stored token counts. */
		lease->fencing_token = state.fencing_token;
		lease->token_mod_revision = state.token_mod_revision;
	}
	if (lease->held)
		node->leader_view.fencing_token = lease->fencing_token;
}

/* A renewal that was sent at this time (steady) has succeeded. */
static void on_lease_renewed(struct fl_node *node, double sent_at)
{
	struct fl_leader_lease *lease = &node->leader_lease;

	/* While the lease was in doubt no digest could arrive: silence is counted from now. */
	if (fl_now() > lease->valid_until)
		node->leadership.heartbeats_receivable_since = fl_now();
	lease->valid_until = lease_valid_until(sent_at);
	fl_leader_view_confirm(&node->leader_view, sent_at);
	if (lease->token_raise_wanted &&
	    fl_now() > lease->token_raised_at + tunables.token_raise_interval_s)
		raise_fencing_token(node);
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
		fl_debug("election", "lease not renewed: result=%s; renewing worker leases only",
		         fl_kv_result_text(result));
	return tunables.retry_s;
}

/* An earlier process of this node holds the key; it has ended, or this one would not run. */
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
 * Campaigns if there is no leader; returns the seconds until the next try. `rank` is this node's
 * place among all controllers, so that they do not try at the same moment.
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
		return tunables.retry_s; /* its own key, given up, about to expire */
	if (fl_sleep(tunables.campaign_stagger_s * rank) != 0)
		return 0;
	acquire_leadership(node, &state);
	return node->leader_lease.held ? 0 : tunables.retry_s;
}

/* One step of the election; returns the seconds until the next. */
static double advance_election(struct fl_node *node, int rank)
{
	if (node->leader_lease.held) {
		if (!node->leadership.active && !node->leadership.loading)
			node->election_callbacks->begin_leadership(node);
		return renew_lease(node);
	}
	/* The failover ends by itself, as the lease is lost. */
	if (node->leadership.loading)
		return tunables.retry_s;
	if (node->leadership.active)
		node->election_callbacks->end_leadership(node);
	return node->machine_types_loaded && node->live_jobs_loaded ? campaign(node, rank)
	                                                            : tunables.retry_s;
}

/* This node's place among all controllers, by name, from 0. */
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

static void on_leader_key_change(struct fl_node *node, const cJSON *value)
{
	struct fl_leader_view *view = &node->leader_view;
	struct fl_leader_record leader;

	if (!value)
		view->leader[0] = 0;
	else if (fl_leader_record_decode(value, &leader))
		fl_copy_string(view->leader, sizeof(view->leader), leader.node);
	if (!node->leader_lease.held)
		fl_condition_broadcast(&view->changed);
}

static void on_election_event(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	struct fl_leader_view *view = &node->leader_view;
	uint64_t fencing_token;

	if (strcmp(event->key, FL_KEY_LEADER) == 0)
		on_leader_key_change(node, event->value);
	else if (strcmp(event->key, FL_KEY_FENCING_TOKEN) == 0 && event->value &&
	         fl_fencing_token_record_decode(event->value, &fencing_token) &&
	         fencing_token > view->fencing_token)
		view->fencing_token = fencing_token;
}

/* Lists the election keys, from which a watch can go on: `*revision` is that of the list. */
static enum fl_kv_result list_election_keys(struct fl_node *node, uint64_t *revision)
{
	double sent_at = fl_now();
	enum fl_kv_result result =
		fl_kv_list(&node->kv_store, FL_PREFIX_ELECTION, on_election_event, node, revision);

	/* A read like any other: with it a node just started can renew at once. */
	if (result == FL_KV_OK)
		fl_leader_view_confirm(&node->leader_view, sent_at);
	return result;
}

/* Learns of a leader's end within milliseconds, where reading at intervals would take a second. */
static void watch_coroutine(void *arg)
{
	struct fl_node *node = arg;
	const struct fl_kv_watch_request watch = {
		.prefix = FL_PREFIX_ELECTION,
		.timeout_s = tunables.watch_timeout_s,
		.on_event = on_election_event,
		.context = node,
	};
	uint64_t revision = 0; /* 0: to be listed */

	fl_coroutine_set_urgent();
	while (!fl_coroutine_cancelled()) {
		enum fl_kv_result result =
			revision == 0 ? list_election_keys(node, &revision)
				      : fl_kv_watch(&node->kv_store, &watch, &revision);

		if (result == FL_KV_COMPACTED)
			revision = 0;
		if (result != FL_KV_OK && fl_sleep(tunables.retry_s) != 0)
			break;
	}
}

void fl_election_start(struct fl_node *node, const struct fl_election_callbacks *callbacks)
{
	node->election_callbacks = callbacks;
	fl_leader_view_init(&node->leader_view);
	fl_coroutine_spawn(election_coroutine, node);
	fl_coroutine_spawn(watch_coroutine, node);
}
