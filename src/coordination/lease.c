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

static void read_control(void *ctx, const struct fl_change *ch)
{
	struct control *c = ctx;

	if (strcmp(ch->key, FL_KEY_LEAD) == 0 && ch->value) {
		c->found =
			fl_json_str(ch->value, "node", c->leader, sizeof(c->leader)) == FL_FIELD_OK;
		fl_json_str(ch->value, "boot", c->boot, sizeof(c->boot));
		c->lead_rev = ch->rev;
	} else if (strcmp(ch->key, FL_KEY_EPOCH) == 0 && ch->value) {
		fl_json_count(ch->value, "epoch", &c->epoch);
		c->epoch_rev = ch->rev;
	}
}

/* Reads who leads. If the epoch is not outdated, it confirms the leadership. */
static int read_leadership(struct fl_node *n, struct control *c)
{
	double sent = fl_now();
	uint64_t rev;
	int rc;

	memset(c, 0, sizeof(*c));
	rc = fl_state_list(&n->state, FL_PREFIX_CONTROL, read_control, c, &rev);
	if (rc)
		return rc;
	if (c->epoch >= n->epoch) {
		n->epoch = c->epoch;
		if (sent > n->leadership_confirmed_at)
			n->leadership_confirmed_at = sent;
		fl_copy_string(n->leader, sizeof(n->leader), c->found ? c->leader : "");
	}
	return 0;
}

int fl_lease_refresh(struct fl_node *n)
{
	struct control c;

	return read_leadership(n, &c);
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
static void acquire(struct fl_node *n, const struct control *c)
{
	struct fl_lease *l = &n->lease;
	uint64_t grant, rev, epoch = c->epoch + 1;
	double sent = fl_now();
	struct fl_multi m;
	cJSON *lead, *epoch_value;
	int rc = fl_state_hold(&n->state, tunables.ttl_s, &grant);

	if (rc)
		return;
	lead = cJSON_CreateObject();
	cJSON_AddStringToObject(lead, "node", n->config->node);
	cJSON_AddStringToObject(lead, "boot", n->boot);
	epoch_value = cJSON_CreateObject();
	cJSON_AddNumberToObject(epoch_value, "epoch", (double)epoch);
	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, 0);
	fl_multi_when(&m, FL_KEY_EPOCH, c->epoch_rev);
	fl_multi_put(&m, FL_KEY_LEAD, lead, grant);
	fl_multi_put(&m, FL_KEY_EPOCH, epoch_value, 0);
	rc = fl_state_multi(&n->state, &m, &rev, NULL);
	if (rc) {
		/* If it was, or will yet be, carried out: the key goes with its lease. */
		fl_state_release(&n->state, grant);
		return;
	}
	l->grant = grant;
	l->lead_rev = l->epoch_rev = rev;
	l->epoch = epoch;
	l->valid_until = sent + tunables.ttl_s * (1 - tunables.drift) - tunables.margin_s;
	l->held = true;
	l->want_epoch = false;
	l->raised_at = fl_now();
	n->epoch = epoch;
	n->leadership_confirmed_at = sent;
	fl_copy_string(n->leader, sizeof(n->leader), n->config->node);
	fl_info("lease", "%s leads with epoch %llu", n->config->node, (unsigned long long)epoch);
}

/* Raises the epoch of a leader, so that what carries the old one is fenced. */
static void raise_epoch(struct fl_node *n)
{
	struct fl_lease *l = &n->lease;
	uint64_t rev, grant = l->grant;
	struct fl_multi m;
	struct control c;
	cJSON *epoch_value = cJSON_CreateObject();
	int rc;

	l->raised_at = fl_now();
	cJSON_AddNumberToObject(epoch_value, "epoch", (double)(l->epoch + 1));
	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, l->lead_rev);
	fl_multi_when(&m, FL_KEY_EPOCH, l->epoch_rev);
	fl_multi_put(&m, FL_KEY_EPOCH, epoch_value, 0);
	rc = fl_state_multi(&n->state, &m, &rev, NULL);
	if (!l->held || l->grant != grant)
		return;
	if (!rc) {
		l->epoch++;
		l->epoch_rev = rev;
		l->want_epoch = false;
	} else if (read_leadership(n, &c) == 0 && l->held && c.lead_rev == l->lead_rev) {
		/* The result is unknown: what is stored now counts. */
		l->epoch = c.epoch;
		l->epoch_rev = c.epoch_rev;
	}
	if (l->held)
		n->epoch = l->epoch;
}

/* Renews the lease; returns the time until the next renewal. */
static double renew(struct fl_node *n)
{
	struct fl_lease *l = &n->lease;
	uint64_t grant = l->grant;
	double sent = fl_now();
	int rc = fl_state_extend(&n->state, grant, tunables.renew_s);

	if (!l->held || l->grant != grant)
		return 0;
	if (rc == 0) {
		/* While the lease was in doubt no digest could come: silence is counted from now.
		 */
		if (fl_now() > l->valid_until)
			n->lead.since = fl_now();
		l->valid_until = sent + tunables.ttl_s * (1 - tunables.drift) - tunables.margin_s;
		if (sent > n->leadership_confirmed_at)
			n->leadership_confirmed_at = sent;
		if (l->want_epoch && fl_now() > l->raised_at + tunables.epoch_gap_s)
			raise_epoch(n);
		return tunables.renew_s;
	}
	if (rc == -ENOENT) {
		fl_lease_lost(n, "the lease has ended");
		return 0;
	}
	if (fl_now() > l->valid_until)
		fl_debug("lease", "cannot renew (%s): renewing worker leases only", strerror(-rc));
	return tunables.retry_s;
}

/* Tries for the lease if nobody has it; returns the time until the next try. */
static double seek(struct fl_node *n, int place)
{
	struct control c;
	uint64_t rev, grant = 0;
	cJSON *v;

	if (read_leadership(n, &c) != 0)
		return tunables.retry_s;
	if (c.found && strcmp(c.leader, n->config->node) != 0)
		return tunables.poll_s;
	if (c.found && strcmp(c.boot, n->boot) != 0) {
		/* An earlier process of this node; it is dead, or this one would not run. */
		if (fl_state_get(&n->state, FL_KEY_LEAD, &v, &rev, &grant) == 0) {
			cJSON_Delete(v);
			if (grant && rev == c.lead_rev)
				fl_state_release(&n->state, grant);
		}
		return 0;
	}
	if (c.found)
		return tunables.retry_s; /* our own key, given up, about to expire */
	if (fl_sleep(tunables.stagger_s * place) != 0)
		return 0;
	acquire(n, &c);
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

static void on_control(void *ctx, const struct fl_change *ch)
{
	struct fl_node *n = ctx;
	uint64_t epoch;

	if (strcmp(ch->key, FL_KEY_LEAD) == 0) {
		if (!ch->value)
			n->leader[0] = 0;
		else
			fl_json_str(ch->value, "node", n->leader, sizeof(n->leader));
		if (!n->lease.held)
			fl_signal_wake(&n->control_changed);
	} else if (strcmp(ch->key, FL_KEY_EPOCH) == 0 && ch->value &&
	           fl_json_count(ch->value, "epoch", &epoch) == FL_FIELD_OK) {
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
			rc = fl_state_list(&n->state, FL_PREFIX_CONTROL, on_control, n, &rev);
			/* A read like any other: with it a node just started can renew at once. */
			if (rc == 0 && sent > n->leadership_confirmed_at)
				n->leadership_confirmed_at = sent;
		} else {
			rc = fl_state_follow(&n->state, FL_PREFIX_CONTROL, &rev, tunables.watch_s,
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
