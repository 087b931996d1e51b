#include "coordination/election/election.h"

#include <errno.h>
#include <string.h>

#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/coroutine.h"
#include "transport/text.h"

static const struct {
	double ttl_s, renew_s, drift, margin_s, poll_s, retry_s, stagger_s, watch_s, epoch_gap_s;
} tunables = {
	.ttl_s = 3.0,       /* s; for at most so long a dead leader is not replaced */
	.renew_s = 0.8,     /* s; three tries before the lease ends */
	.drift = 0.001,     /* share; twice what the platform allows between two clocks */
	.margin_s = 0.1,    /* s; for a timer that fires late */
	.poll_s = 1.0,      /* s; how often others read who leads, which confirms the leadership */
	.retry_s = 0.3,     /* s; after a refusal */
	.stagger_s = 0.05,  /* s a node; so that not all try for the lease at once */
	.watch_s = 10.0,    /* s; length of a watch */
	.epoch_gap_s = 4.0, /* s; least time between two raised epochs */
};

bool fl_election_lease_valid(const struct fl_node *node)
{
	return node->election.lease_held && fl_now() < node->election.lease_valid_until;
}

/* A steady time before any other. */
#define LONG_AGO (-1e9)

/* What the state service says of the leadership. */
struct control {
	char leader[FL_NAME_MAX], process_id[96];
	uint64_t leader_mod_revision, fencing_token, token_mod_revision;
	bool found;
};

static void on_election_key(void *context, const struct fl_kv_event *event)
{
	struct control *election_state = context;

	if (strcmp(event->key, FL_KEY_LEADER) == 0 && event->value) {
		election_state->found =
			fl_json_get_string(event->value, "node", election_state->leader,
		                           sizeof(election_state->leader)) == FL_JSON_OK;
		fl_json_get_string(event->value, "boot", election_state->process_id,
		                   sizeof(election_state->process_id));
		election_state->leader_mod_revision = event->mod_revision;
	} else if (strcmp(event->key, FL_KEY_FENCING_TOKEN) == 0 && event->value) {
		fl_json_get_count(event->value, "epoch", &election_state->fencing_token);
		election_state->token_mod_revision = event->mod_revision;
	}
}

/* Reads who leads. If the epoch is not outdated, it confirms the leadership. */
static int read_leadership(struct fl_node *node, struct control *election_state)
{
	double sent = fl_now();
	uint64_t revision;
	int rc;

	memset(election_state, 0, sizeof(*election_state));
	rc = fl_kv_list(&node->kv_store, FL_PREFIX_ELECTION, on_election_key, election_state,
	                &revision);
	if (rc)
		return rc;
	if (election_state->fencing_token >= node->fencing_token) {
		node->fencing_token = election_state->fencing_token;
		if (sent > node->leadership_confirmed_at)
			node->leadership_confirmed_at = sent;
		fl_copy_string(node->leader_name, sizeof(node->leader_name),
		               election_state->found ? election_state->leader : "");
	}
	return 0;
}

int fl_election_refresh(struct fl_node *node)
{
	struct control election_state;

	return read_leadership(node, &election_state);
}

void fl_election_step_down(struct fl_node *node, const char *why)
{
	if (!node->election.lease_held)
		return;
	fl_info("lease", "%s leads no more (epoch %llu): %s", node->config->node,
	        (unsigned long long)node->election.fencing_token, why);
	node->election.lease_held = false;
	node->election.lease_valid_until = 0;
	fl_condition_broadcast(&node->leadership_changed);
}

/* Tries to become the leader, with the next epoch. */
static void acquire_leadership(struct fl_node *node, const struct control *election_state)
{
	struct fl_election *lease = &node->election;
	uint64_t lease_id, revision, fencing_token = election_state->fencing_token + 1;
	double sent = fl_now();
	struct fl_kv_txn txn;
	cJSON *leader_value, *token_value;
	int rc = fl_kv_lease_grant(&node->kv_store, tunables.ttl_s, &lease_id);

	if (rc)
		return;
	leader_value = cJSON_CreateObject();
	cJSON_AddStringToObject(leader_value, "node", node->config->node);
	cJSON_AddStringToObject(leader_value, "boot", node->process_id);
	token_value = cJSON_CreateObject();
	cJSON_AddNumberToObject(token_value, "epoch", (double)fencing_token);
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, 0);
	fl_kv_txn_expect_revision(&txn, FL_KEY_FENCING_TOKEN, election_state->token_mod_revision);
	fl_kv_txn_put(&txn, FL_KEY_LEADER, leader_value, lease_id);
	fl_kv_txn_put(&txn, FL_KEY_FENCING_TOKEN, token_value, 0);
	rc = fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
	if (rc) {
		/* If it was, or will yet be, carried out: the key goes with its lease. */
		fl_kv_lease_revoke(&node->kv_store, lease_id);
		return;
	}
	lease->lease_id = lease_id;
	lease->leader_mod_revision = lease->token_mod_revision = revision;
	lease->fencing_token = fencing_token;
	lease->lease_valid_until = sent + tunables.ttl_s * (1 - tunables.drift) - tunables.margin_s;
	lease->lease_held = true;
	lease->token_raise_wanted = false;
	lease->token_raised_at = fl_now();
	node->fencing_token = fencing_token;
	node->leadership_confirmed_at = sent;
	fl_copy_string(node->leader_name, sizeof(node->leader_name), node->config->node);
	fl_info("lease", "%s leads with epoch %llu", node->config->node,
	        (unsigned long long)fencing_token);
}

/* Raises the epoch of a leader, so that what carries the old one is fenced. */
static void raise_fencing_token(struct fl_node *node)
{
	struct fl_election *lease = &node->election;
	uint64_t revision, lease_id = lease->lease_id;
	struct fl_kv_txn txn;
	struct control election_state;
	cJSON *token_value = cJSON_CreateObject();
	int rc;

	lease->token_raised_at = fl_now();
	cJSON_AddNumberToObject(token_value, "epoch", (double)(lease->fencing_token + 1));
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, lease->leader_mod_revision);
	fl_kv_txn_expect_revision(&txn, FL_KEY_FENCING_TOKEN, lease->token_mod_revision);
	fl_kv_txn_put(&txn, FL_KEY_FENCING_TOKEN, token_value, 0);
	rc = fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
	if (!lease->lease_held || lease->lease_id != lease_id)
		return;
	if (!rc) {
		lease->fencing_token++;
		lease->token_mod_revision = revision;
		lease->token_raise_wanted = false;
	} else if (read_leadership(node, &election_state) == 0 && lease->lease_held &&
	           election_state.leader_mod_revision == lease->leader_mod_revision) {
		/* The result is unknown: what is stored now counts. */
		lease->fencing_token = election_state.fencing_token;
		lease->token_mod_revision = election_state.token_mod_revision;
	}
	if (lease->lease_held)
		node->fencing_token = lease->fencing_token;
}

/* Renews the lease; returns the time until the next renewal. */
static double renew(struct fl_node *node)
{
	struct fl_election *lease = &node->election;
	uint64_t lease_id = lease->lease_id;
	double sent = fl_now();
	int rc = fl_kv_lease_keep_alive(&node->kv_store, lease_id, tunables.renew_s);

	if (!lease->lease_held || lease->lease_id != lease_id)
		return 0;
	if (rc == 0) {
		/* While the lease was in doubt no digest could come: silence is counted from now.
		 */
		if (fl_now() > lease->lease_valid_until)
			node->leadership.heartbeats_since = fl_now();
		lease->lease_valid_until =
			sent + tunables.ttl_s * (1 - tunables.drift) - tunables.margin_s;
		if (sent > node->leadership_confirmed_at)
			node->leadership_confirmed_at = sent;
		if (lease->token_raise_wanted &&
		    fl_now() > lease->token_raised_at + tunables.epoch_gap_s)
			raise_fencing_token(node);
		return tunables.renew_s;
	}
	if (rc == -ENOENT) {
		fl_election_step_down(node, "the lease has ended");
		return 0;
	}
	if (fl_now() > lease->lease_valid_until)
		fl_debug("lease", "cannot renew (%s): renewing worker leases only", strerror(-rc));
	return tunables.retry_s;
}

/* Tries for the lease if nobody has it; returns the time until the next try. */
static double campaign(struct fl_node *node, int place)
{
	struct control election_state;
	uint64_t revision, lease_id = 0;
	cJSON *value;

	if (read_leadership(node, &election_state) != 0)
		return tunables.retry_s;
	if (election_state.found && strcmp(election_state.leader, node->config->node) != 0)
		return tunables.poll_s;
	if (election_state.found && strcmp(election_state.process_id, node->process_id) != 0) {
		/* An earlier process of this node; it is dead, or this one would not run. */
		if (fl_kv_get(&node->kv_store, FL_KEY_LEADER, &value, &revision, &lease_id) == 0) {
			cJSON_Delete(value);
			if (lease_id && revision == election_state.leader_mod_revision)
				fl_kv_lease_revoke(&node->kv_store, lease_id);
		}
		return 0;
	}
	if (election_state.found)
		return tunables.retry_s; /* our own key, given up, about to expire */
	if (fl_sleep(tunables.stagger_s * place) != 0)
		return 0;
	acquire_leadership(node, &election_state);
	return node->election.lease_held ? 0 : tunables.retry_s;
}

static void election_coroutine(void *arg)
{
	struct fl_node *node = arg;
	int place = 0;

	fl_coroutine_set_urgent();
	for (int i = 0; i < node->peer_count; i++)
		place += strcmp(node->peers[i].name, node->config->node) < 0;
	while (!fl_coroutine_cancelled()) {
		double pause;

		if (node->election.lease_held) {
			if (!node->leadership.active && !node->leadership.loading)
				fl_leadership_begin(node);
			pause = renew(node);
		} else if (node->leadership.loading) {
			pause = tunables.retry_s; /* the loading ends by itself, as the lease is
			                             lost */
		} else {
			if (node->leadership.active)
				fl_leadership_end(node);
			pause = node->machine_types_known && node->jobs_known
			                ? campaign(node, place)
			                : tunables.retry_s;
		}
		if (pause > 0 && fl_condition_wait(&node->leadership_changed, pause) == -ECANCELED)
			break;
	}
}

static void on_election_event(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	uint64_t fencing_token;

	if (strcmp(event->key, FL_KEY_LEADER) == 0) {
		if (!event->value)
			node->leader_name[0] = 0;
		else
			fl_json_get_string(event->value, "node", node->leader_name,
			                   sizeof(node->leader_name));
		if (!node->election.lease_held)
			fl_condition_broadcast(&node->leadership_changed);
	} else if (strcmp(event->key, FL_KEY_FENCING_TOKEN) == 0 && event->value &&
	           fl_json_get_count(event->value, "epoch", &fencing_token) == FL_JSON_OK) {
		if (fencing_token > node->fencing_token)
			node->fencing_token = fencing_token;
	}
}

/* Learns of a leader's end within milliseconds, where polling alone would take a second. */
static void watch_coroutine(void *arg)
{
	struct fl_node *node = arg;
	uint64_t revision = 0;

	fl_coroutine_set_urgent();
	while (!fl_coroutine_cancelled()) {
		double sent = fl_now();
		int rc;

		if (revision == 0) {
			rc = fl_kv_list(&node->kv_store, FL_PREFIX_ELECTION, on_election_event,
			                node, &revision);
			/* A read like any other: with it a node just started can renew at once. */
			if (rc == 0 && sent > node->leadership_confirmed_at)
				node->leadership_confirmed_at = sent;
		} else {
			rc = fl_kv_watch(&node->kv_store, FL_PREFIX_ELECTION, &revision,
			                 tunables.watch_s, on_election_event, node);
		}
		if (rc == -ERANGE)
			revision = 0;
		if (rc && fl_sleep(tunables.retry_s) != 0)
			break;
	}
}

void fl_election_start(struct fl_node *node)
{
	node->leadership_confirmed_at = node->cancellation_watermark = LONG_AGO;
	fl_coroutine_spawn(election_coroutine, node);
	fl_coroutine_spawn(watch_coroutine, node);
}
