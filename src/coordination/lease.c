#include "coordination/lease.h"

#include <errno.h>
#include <string.h>

#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/routine.h"
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

bool fl_lease_valid(const struct fl_node *n)
{
	return n->lease.held && fl_now() < n->lease.valid_until;
}

/* A steady time before any other. */
#define LONG_AGO (-1e9)

/* What the state service says of the leadership. */
struct control {
	char leader[FL_NAME_MAX], boot[96];
	uint64_t lead_rev, epoch, epoch_rev;
	bool found;
};

static void read_control(void *ctx, const struct fl_kv_event *event)
{
	struct control *control = ctx;

	if (strcmp(event->key, FL_KEY_LEADER) == 0 && event->value) {
		control->found = fl_json_str(event->value, "node", control->leader,
		                             sizeof(control->leader)) == FL_FIELD_OK;
		fl_json_str(event->value, "boot", control->boot, sizeof(control->boot));
		control->lead_rev = event->mod_revision;
	} else if (strcmp(event->key, FL_KEY_FENCING_TOKEN) == 0 && event->value) {
		fl_json_count(event->value, "epoch", &control->epoch);
		control->epoch_rev = event->mod_revision;
	}
}

/* Reads who leads. If the epoch is not outdated, it confirms the leadership. */
static int read_leadership(struct fl_node *n, struct control *control)
{
	double sent = fl_now();
	uint64_t rev;
	int rc;

	memset(control, 0, sizeof(*control));
	rc = fl_kv_list(&n->kv_store, FL_PREFIX_ELECTION, read_control, control, &rev);
	if (rc)
		return rc;
	if (control->epoch >= n->epoch) {
		n->epoch = control->epoch;
		if (sent > n->leadership_confirmed_at)
			n->leadership_confirmed_at = sent;
		fl_copy_string(n->leader, sizeof(n->leader), control->found ? control->leader : "");
	}
	return 0;
}

int fl_lease_refresh(struct fl_node *n)
{
	struct control control;

	return read_leadership(n, &control);
}

void fl_lease_lost(struct fl_node *n, const char *why)
{
	if (!n->lease.held)
		return;
	fl_info("lease", "%s leads no more (epoch %llu): %s", n->config->node,
	        (unsigned long long)n->lease.epoch, why);
	n->lease.held = false;
	n->lease.valid_until = 0;
	fl_signal_wake(&n->control_changed);
}

/* Tries to become the leader, with the next epoch. */
static void acquire(struct fl_node *n, const struct control *control)
{
	struct fl_lease *lease = &n->lease;
	uint64_t lease_id, rev, epoch = control->epoch + 1;
	double sent = fl_now();
	struct fl_kv_txn txn;
	cJSON *lead, *epoch_value;
	int rc = fl_kv_lease_grant(&n->kv_store, tunables.ttl_s, &lease_id);

	if (rc)
		return;
	lead = cJSON_CreateObject();
	cJSON_AddStringToObject(lead, "node", n->config->node);
	cJSON_AddStringToObject(lead, "boot", n->boot);
	epoch_value = cJSON_CreateObject();
	cJSON_AddNumberToObject(epoch_value, "epoch", (double)epoch);
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, 0);
	fl_kv_txn_expect_revision(&txn, FL_KEY_FENCING_TOKEN, control->epoch_rev);
	fl_kv_txn_put(&txn, FL_KEY_LEADER, lead, lease_id);
	fl_kv_txn_put(&txn, FL_KEY_FENCING_TOKEN, epoch_value, 0);
	rc = fl_kv_txn_commit(&n->kv_store, &txn, &rev, NULL);
	if (rc) {
		/* If it was, or will yet be, carried out: the key goes with its lease. */
		fl_kv_lease_revoke(&n->kv_store, lease_id);
		return;
	}
	lease->grant = lease_id;
	lease->lead_rev = lease->epoch_rev = rev;
	lease->epoch = epoch;
	lease->valid_until = sent + tunables.ttl_s * (1 - tunables.drift) - tunables.margin_s;
	lease->held = true;
	lease->want_epoch = false;
	lease->raised_at = fl_now();
	n->epoch = epoch;
	n->leadership_confirmed_at = sent;
	fl_copy_string(n->leader, sizeof(n->leader), n->config->node);
	fl_info("lease", "%s leads with epoch %llu", n->config->node, (unsigned long long)epoch);
}

/* Raises the epoch of a leader, so that what carries the old one is fenced. */
static void raise_epoch(struct fl_node *n)
{
	struct fl_lease *lease = &n->lease;
	uint64_t rev, lease_id = lease->grant;
	struct fl_kv_txn txn;
	struct control control;
	cJSON *epoch_value = cJSON_CreateObject();
	int rc;

	lease->raised_at = fl_now();
	cJSON_AddNumberToObject(epoch_value, "epoch", (double)(lease->epoch + 1));
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, lease->lead_rev);
	fl_kv_txn_expect_revision(&txn, FL_KEY_FENCING_TOKEN, lease->epoch_rev);
	fl_kv_txn_put(&txn, FL_KEY_FENCING_TOKEN, epoch_value, 0);
	rc = fl_kv_txn_commit(&n->kv_store, &txn, &rev, NULL);
	if (!lease->held || lease->grant != lease_id)
		return;
	if (!rc) {
		lease->epoch++;
		lease->epoch_rev = rev;
		lease->want_epoch = false;
	} else if (read_leadership(n, &control) == 0 && lease->held &&
	           control.lead_rev == lease->lead_rev) {
		/* The result is unknown: what is stored now counts. */
		lease->epoch = control.epoch;
		lease->epoch_rev = control.epoch_rev;
	}
	if (lease->held)
		n->epoch = lease->epoch;
}

/* Renews the lease; returns the time until the next renewal. */
static double renew(struct fl_node *n)
{
	struct fl_lease *lease = &n->lease;
	uint64_t lease_id = lease->grant;
	double sent = fl_now();
	int rc = fl_kv_lease_keep_alive(&n->kv_store, lease_id, tunables.renew_s);

	if (!lease->held || lease->grant != lease_id)
		return 0;
	if (rc == 0) {
		/* While the lease was in doubt no digest could come: silence is counted from now.
		 */
		if (fl_now() > lease->valid_until)
			n->lead.since = fl_now();
		lease->valid_until =
			sent + tunables.ttl_s * (1 - tunables.drift) - tunables.margin_s;
		if (sent > n->leadership_confirmed_at)
			n->leadership_confirmed_at = sent;
		if (lease->want_epoch && fl_now() > lease->raised_at + tunables.epoch_gap_s)
			raise_epoch(n);
		return tunables.renew_s;
	}
	if (rc == -ENOENT) {
		fl_lease_lost(n, "the lease has ended");
		return 0;
	}
	if (fl_now() > lease->valid_until)
		fl_debug("lease", "cannot renew (%s): renewing worker leases only", strerror(-rc));
	return tunables.retry_s;
}

/* Tries for the lease if nobody has it; returns the time until the next try. */
static double seek(struct fl_node *n, int place)
{
	struct control control;
	uint64_t rev, lease_id = 0;
	cJSON *value;

	if (read_leadership(n, &control) != 0)
		return tunables.retry_s;
	if (control.found && strcmp(control.leader, n->config->node) != 0)
		return tunables.poll_s;
	if (control.found && strcmp(control.boot, n->boot) != 0) {
		/* An earlier process of this node; it is dead, or this one would not run. */
		if (fl_kv_get(&n->kv_store, FL_KEY_LEADER, &value, &rev, &lease_id) == 0) {
			cJSON_Delete(value);
			if (lease_id && rev == control.lead_rev)
				fl_kv_lease_revoke(&n->kv_store, lease_id);
		}
		return 0;
	}
	if (control.found)
		return tunables.retry_s; /* our own key, given up, about to expire */
	if (fl_sleep(tunables.stagger_s * place) != 0)
		return 0;
	acquire(n, &control);
	return n->lease.held ? 0 : tunables.retry_s;
}

static void lease_duty(void *arg)
{
	struct fl_node *n = arg;
	int place = 0;

	fl_urgent();
	for (int i = 0; i < n->n_peers; i++)
		place += strcmp(n->peers[i].name, n->config->node) < 0;
	while (!fl_cancelled()) {
		double pause;

		if (n->lease.held) {
			if (!n->lead.active && !n->lead.loading)
				fl_leader_begin(n);
			pause = renew(n);
		} else if (n->lead.loading) {
			pause = tunables.retry_s; /* the loading ends by itself, as the lease is
			                             lost */
		} else {
			if (n->lead.active)
				fl_leader_end(n);
			pause = n->types_known && n->jobs_known ? seek(n, place) : tunables.retry_s;
		}
		if (pause > 0 && fl_signal_wait(&n->control_changed, pause) == -ECANCELED)
			break;
	}
}

static void on_control(void *ctx, const struct fl_kv_event *event)
{
	struct fl_node *n = ctx;
	uint64_t epoch;

	if (strcmp(event->key, FL_KEY_LEADER) == 0) {
		if (!event->value)
			n->leader[0] = 0;
		else
			fl_json_str(event->value, "node", n->leader, sizeof(n->leader));
		if (!n->lease.held)
			fl_signal_wake(&n->control_changed);
	} else if (strcmp(event->key, FL_KEY_FENCING_TOKEN) == 0 && event->value &&
	           fl_json_count(event->value, "epoch", &epoch) == FL_FIELD_OK) {
		if (epoch > n->epoch)
			n->epoch = epoch;
	}
}

/* Learns of a leader's end within milliseconds, where polling alone would take a second. */
static void watch_duty(void *arg)
{
	struct fl_node *n = arg;
	uint64_t rev = 0;

	fl_urgent();
	while (!fl_cancelled()) {
		double sent = fl_now();
		int rc;

		if (rev == 0) {
			rc = fl_kv_list(&n->kv_store, FL_PREFIX_ELECTION, on_control, n, &rev);
			/* A read like any other: with it a node just started can renew at once. */
			if (rc == 0 && sent > n->leadership_confirmed_at)
				n->leadership_confirmed_at = sent;
		} else {
			rc = fl_kv_watch(&n->kv_store, FL_PREFIX_ELECTION, &rev, tunables.watch_s,
			                 on_control, n);
		}
		if (rc == -ERANGE)
			rev = 0;
		if (rc && fl_sleep(tunables.retry_s) != 0)
			break;
	}
}

void fl_lease_start(struct fl_node *n)
{
	n->leadership_confirmed_at = n->cancellations_known_until = LONG_AGO;
	fl_spawn(lease_duty, n);
	fl_spawn(watch_duty, n);
}
