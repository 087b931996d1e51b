#include "coordination/standby.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/command.h"
#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/routine.h"
#include "transport/text.h"

static const struct {
	double patience_s, direct_s, gossip_s, gossip_wait_s, gossip_slack_s, refresh_s,
		refresh_wait_s, digest_s, margin_s, home_s, home_leases, settle_reports, record_use,
		write_share, alone_s, probe_s, at_once_s;
} tunables = {
	.patience_s = 1.5,     /* s for a report; the worker gives up after 4 */
	.direct_s = 0.7,       /* s of it for the straight way, if there is another */
	.gossip_s = 1.0,       /* s between two exchanges with each peer */
	.gossip_wait_s = 1.0,  /* s; a link that takes longer counts as down */
	.gossip_slack_s = 1.0, /* s; told once more, for clocks that drift apart */
	.refresh_s = 0.5,      /* s; least time between two reads for a fresher proof */
	.refresh_wait_s = 1.5, /* s for which a report waits for such a read */
	.digest_s = 2.0,       /* s between two digests in the state service */
	.margin_s = 1.0,       /* s off the renewal time, for drift and late timers */
	.home_s = 1.0,         /* s that a worker's own zone's node must have been up */
	.home_leases = 1.5,    /* leases between two times that one worker is sent home */
	.settle_reports = 1.0, /* report intervals that it is served here before */
	.record_use = 0.85,    /* share of a value's limit that a digest fills */
	.write_share = 0.12,   /* share of the state service's writes for one node's digests */
	.alone_s = 1.5,        /* s without any word before a node counts as alone */
	.probe_s = 2.5,        /* s; the balancer asks about once a second */
	.at_once_s = 4.0,      /* s within which links that fail together fail for one reason */
};

static struct fl_peer *find_peer(struct fl_node *n, const char *name)
{
	for (int i = 0; i < n->n_peers; i++)
		if (strcmp(n->peers[i].name, name) == 0)
			return &n->peers[i];
	return NULL;
}

static int relay_via(struct fl_peer *p, const char *text, double timeout_s, struct fl_reply *out)
{
	int rc;

	if (timeout_s <= 0)
		return -ETIMEDOUT;
	rc = fl_http_call(&p->http, "POST", "/relay", text, timeout_s, out);
	if (rc == 0 && out->status == 421) {
		fl_buf_free(&out->body);
		return -EHOSTUNREACH;
	}
	return rc;
}

int fl_relay(struct fl_node *n, enum fl_user_call call, const char *ref, const char *via,
             const char *body, enum fl_hop hop, double patience_s, struct fl_reply *out)
{
	struct fl_peer *lead = find_peer(n, n->leader);
	double until = fl_now() + patience_s;
	int rc = -EHOSTUNREACH;
	char *text;

	if (!lead)
		return rc;
	if (lead->up || n->n_peers == 1) {
		text = fl_relay_encode(call, true, false, ref, via, body);
		rc = relay_via(lead, text, hop ? patience_s : fmin(tunables.direct_s, patience_s),
		               out);
		free(text);
	}
	if (rc == 0 || hop)
		return rc;
	text = fl_relay_encode(call, false, fl_state_in_doubt(&n->state), ref, via, body);
	for (int i = 0; i < n->n_peers && rc != 0; i++) {
		struct fl_peer *p = &n->peers[i];

		if (p != lead && p->up)
			rc = relay_via(p, text, until - fl_now(), out);
	}
	free(text);
	return rc;
}

/*
 * A copy of a report may come long after it, also to a node that has cached newer ones: it is no
 * sign of life, and takes nothing's place.
 */
static void cache_report(struct fl_node *n, const struct fl_report *r)
{
	struct fl_cached_report *k;
	char *text;

	HASH_FIND_STR(n->standby.cached, r->host, k);
	if (k && (r->session < k->session || (r->session == k->session && r->seq <= k->seq)))
		return;
	text = fl_cached_report_encode(r);
	if (!text)
		return;
	if (!k) {
		k = calloc(1, sizeof(*k));
		if (!k) {
			free(text);
			return;
		}
		fl_copy_string(k->host, sizeof(k->host), r->host);
		HASH_ADD_STR(n->standby.cached, host, k);
	}
	free(k->text);
	k->text = text;
	k->session = r->session;
	k->seq = r->seq;
	k->at = fl_now();
	k->stored = false;
}

static void uncache(struct fl_node *n, struct fl_cached_report *k)
{
	HASH_DEL(n->standby.cached, k);
	free(k->text);
	free(k);
}

/*
 * A cancellation is answered only after it is stored, so a proof read before it is at most this
 * old when the last standby refuses; then the worker's own lease ends the tasks within cancel_s.
 */
double fl_standby_renewal_s(const struct fl_node *n)
{
	const struct fl_config *c = n->config;

	return c->cancel_s - c->lease_s - tunables.margin_s;
}

/*
 * Never a lower epoch: the worker would drop it and wait there until its lease ends. How old it is
 * does not matter: a lease renewed with an old epoch decides nothing, and a worker that has met a
 * newer one drops the answer.
 */
static bool has_epoch(const struct fl_node *n, uint64_t epoch)
{
	return n->epoch > 0 && n->epoch >= epoch;
}

static bool knows_jobs(const struct fl_node *n)
{
	return fl_now() - n->cancellations_known_until <= fl_standby_renewal_s(n);
}

static bool has_proof(const struct fl_node *n, uint64_t epoch)
{
	return has_epoch(n, epoch) && knows_jobs(n);
}

/*
 * Found with controllers eight times slower: none led for long, none got a stop through, and all
 * of them renewed with fresh proofs what had been cancelled a minute ago. What was cancelled so
 * long ago that it may outlive its time with another lease is therefore nobody's to renew; and a
 * cancellation that this node has not heard of is younger than what it knows of the jobs.
 */
static bool holds_overdue(const struct fl_node *n, const struct fl_report *r)
{
	double before = fl_now() - fl_standby_renewal_s(n);

	for (int i = 0; i < r->n_tasks; i++) {
		const struct fl_finished_job *f = fl_finished_find(&n->cluster, r->tasks[i].ref);

		if (r->tasks[i].state != FL_ENDED && f && f->status == FL_CANCELLED &&
		    f->cancelled_at < before)
			return true;
	}
	return false;
}

/*
 * What is known to be cancelled is stopped by whoever answers, not only no longer renewed: the
 * final state is stored, so the stop is right whichever node orders it, and comes with the answer
 * that renews the lease, or neither does.
 */
static void stop_cancelled(const struct fl_node *n, const struct fl_report *r,
                           struct fl_orders *orders)
{
	for (int i = 0; i < r->n_tasks; i++) {
		const struct fl_task_report *p = &r->tasks[i];
		const struct fl_finished_job *f = fl_finished_find(&n->cluster, p->ref);

		if (p->state != FL_ENDED && f && f->status == FL_CANCELLED)
			fl_orders_add(orders, FL_KILL, p->ref, p->index, p->attempt, 0);
	}
}

/*
 * A node that has just started is asked by many workers at once and has no proof yet. One read
 * serves them all: a worker refused meanwhile loses seconds of its lease on nodes that are down.
 */
static bool may_renew(struct fl_node *n, uint64_t epoch)
{
	struct fl_standby *k = &n->standby;

	if (has_proof(n, epoch))
		return true;
	if (has_epoch(n, epoch)) {
		if (!n->jobs_known)
			fl_signal_wait(&n->jobs_listed, tunables.refresh_wait_s);
	} else if (k->refreshing) {
		fl_signal_wait(&k->refreshed, tunables.refresh_wait_s);
	} else if (fl_now() > k->refreshed_at + tunables.refresh_s) {
		k->refreshing = true;
		fl_lease_refresh(n);
		k->refreshing = false;
		k->refreshed_at = fl_now();
		fl_signal_wake(&k->refreshed);
	}
	return has_proof(n, epoch);
}

static void answer_renewal(struct fl_node *n, const struct fl_report *r, struct fl_response *resp)
{
	struct fl_orders orders;

	if (!may_renew(n, r->epoch)) {
		fl_debug("standby", "%s is refused: epoch %llu, known %llu, proof %.1f s old",
		         r->host, (unsigned long long)r->epoch, (unsigned long long)n->epoch,
		         fl_now() - n->cancellations_known_until);
		fl_refuse(resp, 503, "no proof of the epoch");
		return;
	}
	/* Only now: a node just started has waited for the jobs, and knew of no cancellation. */
	if (holds_overdue(n, r)) {
		fl_debug("standby", "%s is refused: it holds what is cancelled", r->host);
		fl_refuse(resp, 503, "a cancelled job's task is there");
		return;
	}
	fl_orders_init(&orders, n->epoch);
	stop_cancelled(n, r, &orders);
	resp->status = 200;
	resp->body = fl_orders_take(&orders);
	cache_report(n, r);
	if (n->lead.active)
		fl_reconcile_renewed(n, r);
}

/* Beyond so many under way the leader is stalled: waiting for it helps nobody. */
static int relay_report(struct fl_node *n, const char *body, enum fl_hop hop, const char *via,
                        struct fl_reply *reply)
{
	int rc;

	if (n->standby.relays >= FL_RELAYS_MAX)
		return -EBUSY;
	n->standby.relays++;
	rc = fl_relay(n, FL_CALL_REPORT, NULL, via, body, hop, tunables.patience_s, reply);
	n->standby.relays--;
	return rc;
}

static void relay_or_renew(struct fl_node *n, const struct fl_report *r, const char *body,
                           enum fl_hop hop, const char *via, struct fl_response *resp)
{
	struct fl_reply reply;

	if (relay_report(n, body, hop, via, &reply) == 0) {
		if (reply.status == 200) {
			resp->status = 200;
			resp->body = reply.body.data;
			return;
		}
		fl_buf_free(&reply.body);
	}
	if (!hop) {
		answer_renewal(n, r, resp);
		return;
	}
	/* The sender is cut from the state service too: its report goes with our digest. */
	if (hop == FL_LAST_HOP_DISCONNECTED)
		cache_report(n, r);
	resp->status = 421;
}

/*
 * A worker is sent away once in more than a lease, after that it is served where it is; and not
 * before it was answered here: it may have looked for a living node until its lease is nearly over,
 * and half a second more on its way would be its tasks' end.
 */
static bool may_send(struct fl_node *n, const char *host)
{
	double now = fl_now();
	struct fl_misplaced_worker *g;

	HASH_FIND_STR(n->standby.misplaced, host, g);
	if (!g) {
		g = calloc(1, sizeof(*g));
		if (!g)
			return false;
		fl_copy_string(g->host, sizeof(g->host), host);
		g->came = now;
		HASH_ADD_STR(n->standby.misplaced, host, g);
	}
	if (now < g->came + tunables.settle_reports * n->config->report_s ||
	    (g->sent > 0 && now < g->sent + tunables.home_leases * n->config->lease_s))
		return false;
	g->sent = now;
	return true;
}

/*
 * A worker is best renewed by a node of its own zone. One that reports across zones when they are
 * cut apart tries node after node for 5 s each, and its lease ends before it comes to its own.
 */
static const struct fl_peer *home_of(struct fl_node *n, const struct fl_report *r)
{
	double now = fl_now();

	if (strcmp(r->zone, n->config->location) == 0)
		return NULL;
	for (int i = 0; i < n->n_peers; i++) {
		const struct fl_peer *p = &n->peers[i];

		if (strcmp(p->location, r->zone) == 0 && p->up &&
		    now > p->up_since + tunables.home_s)
			return may_send(n, r->host) ? p : NULL;
	}
	return NULL;
}

static double last_peer_word(const struct fl_node *n)
{
	double last = -1e9;

	for (int i = 0; i < n->n_peers; i++)
		if (n->peers[i].heard_at > last)
			last = n->peers[i].heard_at;
	return last;
}

bool fl_standby_alone(const struct fl_node *n)
{
	double last = last_peer_word(n);

	if (n->n_peers == 0 || !fl_state_in_doubt(&n->state))
		return false;
	for (int i = 0; i < n->n_peers; i++)
		if (n->peers[i].up)
			return false;
	if (n->state.last_ok > last)
		last = n->state.last_ok;
	return fl_now() > last + tunables.alone_s;
}

/*
 * Where to send the workers of a node that is alone. It could renew them, but the leader, which
 * hears nothing of them, would give their machines up after a lease. They are better off elsewhere
 * if it is this node's own links that are cut: the users' balancer still asks for it, so that the
 * region is in reach, and state service and controllers were lost at once. A node cut off together
 * with its zone renews its workers, since they too can reach nobody else; so does the last node
 * alive in an outage. Each worker is sent once in more than a lease, to the nodes in turn.
 */
static const struct fl_peer *away_from_here(struct fl_node *n, const struct fl_report *r)
{
	double last = last_peer_word(n), now = fl_now();

	if (!fl_standby_alone(n) || now > n->probed_at + tunables.probe_s ||
	    last < n->state.last_ok - tunables.at_once_s ||
	    last > n->state.last_ok + tunables.at_once_s)
		return NULL;
	for (int i = 0; i < n->n_peers; i++) {
		const struct fl_peer *p = &n->peers[n->standby.away++ % n->n_peers];

		/* Not to one that was lost before. */
		if (p->heard_at > last - tunables.at_once_s)
			return may_send(n, r->host) ? p : NULL;
	}
	return NULL;
}

static void answer_leading(struct fl_node *n, const struct fl_report *r, struct fl_response *resp)
{
	struct fl_orders orders;
	int rc;

	fl_orders_init(&orders, n->lease.epoch);
	rc = fl_reconcile_report(n, r, &orders, FL_SOURCE_REPORT);
	/* What is only answered, not taken in, gets no stop either: see holds_overdue. */
	if (rc == 0 && knows_jobs(n) && (orders.n > 0 || !holds_overdue(n, r))) {
		/* The same report relayed twice, or from before this leadership. */
		if (orders.n == 0)
			stop_cancelled(n, r, &orders);
		resp->status = 200;
		resp->body = fl_orders_take(&orders);
	} else {
		cJSON_Delete(orders.root);
		fl_refuse(resp, 503,
		          rc               ? "this machine is not known any more"
		          : !knows_jobs(n) ? "the jobs have not been heard of for too long"
		                           : "a cancelled job's task is there");
	}
}

static int via_index(struct fl_node *n, const char *via)
{
	const struct fl_peer *p;

	if (!via || !via[0])
		return 0;
	if (strcmp(via, n->config->node) == 0)
		return 1;
	p = find_peer(n, via);
	return p ? 2 + (int)(p - n->peers) : 0;
}

void fl_standby_report(struct fl_node *n, const char *body, size_t len, enum fl_hop hop,
                       const char *via, struct fl_response *resp)
{
	const struct fl_peer *home;
	struct fl_report r;

	if (fl_report_decode(body, len, &r) != 0) {
		fl_error("workers", "what came by %s is no report", via && via[0] ? via : "a peer");
		fl_refuse(resp, 400, "not a report");
		return;
	}
	r.via = via_index(n, via);
	home = hop ? NULL : home_of(n, &r);
	if (!home && !hop)
		home = away_from_here(n, &r);
	if (home) {
		fl_debug("standby", "%s is sent to %s", r.host, home->name);
		resp->status = 421;
		resp->body = fl_steward_encode(home->name);
	} else if (fl_leading(n)) {
		answer_leading(n, &r, resp);
	} else {
		relay_or_renew(n, &r, body, hop, via, resp);
	}
	fl_report_free(&r);
}

static void learn_cancelled(struct fl_node *n, const struct fl_gossip *g)
{
	for (int i = 0; i < g->n_cancelled; i++) {
		const struct fl_cancelled *c = &g->cancelled[i];
		struct fl_job *job;

		if (fl_finished_find(&n->cluster, c->ref))
			continue;
		fl_cluster_learn_cancelled(&n->cluster, c->ref, fl_now() - c->age_s);
		job = n->lead.active ? fl_job_find(&n->cluster, c->ref) : NULL;
		if (job)
			fl_command_stop_job(n, job);
		fl_info("jobs", "%s is cancelled, says %s", c->ref, g->node);
	}
}

/*
 * What a peer has learned since what this node knows makes this node know as much as the peer. And
 * no user hears of a cancellation but from a controller that has learned of it: if all of them have
 * answered, nothing that anybody was told before the oldest of these questions is missing here,
 * whatever the state service does meanwhile. A process that has not read the jobs itself since it
 * started speaks for nobody: the one before it may have told a user.
 */
static void learn(struct fl_node *n, struct fl_peer *p, const struct fl_gossip *g, double sent)
{
	double all = sent;

	learn_cancelled(n, g);
	/* Standing still after it was said how old our knowledge is, we were told too little. */
	if (!g->complete || !n->jobs_known ||
	    fl_now() > sent + tunables.gossip_wait_s + tunables.gossip_slack_s / 2)
		return;
	p->sent_all_at = sent;
	for (int i = 0; i < n->n_peers; i++)
		all = fmin(all, n->peers[i].sent_all_at);
	n->cancellations_known_until =
		fmax(n->cancellations_known_until, fmax(all, sent - g->known_age_s));
}

static void hear(struct fl_node *n, const struct fl_gossip *g, double sent)
{
	double proof = sent - g->proof_age_s;

	if (g->epoch < n->epoch || g->epoch == 0)
		return;
	/* A valid lease needs no forwarded word: the higher epoch is its own, raised this moment.
	 */
	if (g->epoch > n->epoch && n->lease.held) {
		if (fl_lease_valid(n) || strcmp(g->leader, n->config->node) == 0)
			return;
		fl_lease_lost(n, "a peer knows a higher epoch");
	}
	if (g->epoch > n->epoch || proof > n->leadership_confirmed_at) {
		n->epoch = g->epoch;
		if (g->leader[0])
			fl_copy_string(n->leader, sizeof(n->leader), g->leader);
		if (proof > n->leadership_confirmed_at)
			n->leadership_confirmed_at = proof;
	}
}

static double age(double at) { return fmin(1e6, fmax(0, fl_now() - at)); }

/* What this node has learned since `since`, for an answer that can be relied on. */
static void tell_cancelled(const struct fl_node *n, double since, struct fl_gossip *g)
{
	const struct fl_finished_job *list[FL_GOSSIP_CANCELLED_MAX];
	int count = fl_finished_cancelled_since(&n->cluster, since, list, FL_GOSSIP_CANCELLED_MAX);

	if (!n->jobs_known || count < 0)
		return;
	g->cancelled = calloc((size_t)count + 1, sizeof(*g->cancelled));
	if (!g->cancelled)
		return;
	g->complete = true;
	g->n_cancelled = count;
	for (int i = 0; i < count; i++) {
		fl_copy_string(g->cancelled[i].ref, sizeof(g->cancelled[i].ref), list[i]->ref);
		g->cancelled[i].age_s = age(list[i]->cancelled_at);
	}
}

static void say(struct fl_node *n, struct fl_gossip *g)
{
	memset(g, 0, sizeof(*g));
	fl_copy_string(g->node, sizeof(g->node), n->config->node);
	fl_copy_string(g->leader, sizeof(g->leader), n->leader);
	g->epoch = n->epoch;
	g->proof_age_s = age(n->leadership_confirmed_at);
	g->known_age_s = age(n->cancellations_known_until);
	g->leads = fl_lease_valid(n);
}

void fl_standby_gossip(struct fl_node *n, const char *body, size_t len, struct fl_response *resp)
{
	struct fl_gossip g;
	double since;

	if (fl_gossip_decode(body, len, &g) != 0) {
		fl_error("peers", "a message that is not gossip");
		fl_refuse(resp, 400, "not gossip");
		return;
	}
	/*
	 * No proof from here: a request may have been held back on its way for minutes. But then
	 * nobody waits for the answer any more, so the asker's age was this at most a wait ago.
	 */
	since = fl_now() - g.known_age_s - tunables.gossip_wait_s - tunables.gossip_slack_s;
	fl_gossip_free(&g);
	say(n, &g);
	tell_cancelled(n, since, &g);
	resp->status = 200;
	resp->body = fl_gossip_encode(&g);
	fl_gossip_free(&g);
}

char *fl_standby_gossip_request(struct fl_node *n)
{
	struct fl_gossip mine;

	say(n, &mine);
	return fl_gossip_encode(&mine);
}

void fl_standby_gossip_answer(struct fl_node *n, struct fl_peer *p, const char *body, size_t len,
                              double sent)
{
	struct fl_gossip theirs;

	if (fl_gossip_decode(body, len, &theirs) != 0) {
		fl_error("peers", "%s answers what is not gossip", p->name);
		return;
	}
	learn(n, p, &theirs, sent);
	hear(n, &theirs, sent);
	fl_gossip_free(&theirs);
}

static void gossip_duty(void *arg)
{
	struct fl_peer *p = arg;
	struct fl_node *n = p->node;

	while (fl_sleep(tunables.gossip_s) == 0) {
		double sent = fl_now();
		struct fl_reply reply;
		char *text = fl_standby_gossip_request(n);
		int rc;

		rc = fl_http_call(&p->http, "POST", "/gossip", text, tunables.gossip_wait_s,
		                  &reply);
		free(text);
		if (rc == 0) {
			p->heard_at = fl_now();
			if (reply.status == 200)
				fl_standby_gossip_answer(n, p, reply.body.data, reply.body.len,
				                         sent);
			fl_buf_free(&reply.body);
		}
		if (p->up != (rc == 0)) {
			p->up_since = fl_now();
			fl_info("peers", "%s is %s", p->name, rc == 0 ? "up" : "not answering");
		}
		p->up = rc == 0;
	}
}

/*
 * Each record is written only over what this process knows to stand there: a write of its own, or
 * of the process before it, that is carried out late must not take a newer one's place.
 */
static int write_digest(struct fl_node *n, int at, cJSON *digest)
{
	struct fl_digest_slot *d = &n->standby.digest[at];
	char key[FL_KEY_MAX];
	struct fl_multi m;
	uint64_t rev = 0;
	cJSON *v;
	int rc = 0;

	snprintf(key, sizeof(key), FL_PREFIX_CACHED "%s/%d", n->config->node, at);
	if (!d->known) {
		rc = fl_state_get(&n->state, key, &v, &rev, NULL);
		cJSON_Delete(v);
		d->known = rc == 0 || rc == -ENOENT;
		d->rev = rc == 0 ? rev : 0;
	}
	if (!d->known) {
		cJSON_Delete(digest);
		return rc;
	}
	fl_multi_init(&m);
	fl_multi_when(&m, key, d->rev);
	fl_multi_put(&m, key, digest, 0);
	rc = fl_state_multi(&n->state, &m, &rev, NULL);
	if (rc == 0)
		d->rev = rev;
	else if (rc != -EAGAIN)
		d->known = false;
	fl_debug("standby", "digest %d: %s", at, rc ? strerror(-rc) : "stored");
	return rc;
}

/* What fits into one record, of what no digest holds yet. NULL: nothing is left. */
static cJSON *fill_digest(struct fl_node *n, double since)
{
	size_t limit = (size_t)(n->config->value_kb * 1024 * tunables.record_use), used = 0;
	struct fl_cached_report *k, *tmp;
	cJSON *digest = NULL;

	HASH_ITER (hh, n->standby.cached, k, tmp) {
		size_t len = strlen(k->text) + 1;

		if (k->stored || k->at < since || len > limit)
			continue;
		if (used + len > limit)
			break;
		if (!digest)
			digest = fl_digest_begin(n->epoch);
		fl_digest_add(digest, k->text);
		used += len;
		k->stored = true;
		/* Last in turn from now on: where writes are short, each machine gets its share. */
		HASH_DEL(n->standby.cached, k);
		HASH_ADD_STR(n->standby.cached, host, k);
	}
	return digest;
}

/*
 * The leader must not take machines for dead that are renewed here and that it cannot hear. Their
 * reports travel through the state service, many to a record, within a share of its writes: the
 * leader's own records and the users' submissions need the rest.
 */
static void digest(struct fl_node *n, double since)
{
	for (int at = 0; at < FL_DIGESTS_MAX; at++) {
		cJSON *digest;

		if (fl_budget_take(&n->standby.writes, 1, fl_now()) > 0)
			return;
		digest = fill_digest(n, since);
		if (!digest || write_digest(n, at, digest) != 0)
			return;
	}
}

static void forget_misplaced(struct fl_node *n, double before)
{
	struct fl_misplaced_worker *g, *tmp;

	HASH_ITER (hh, n->standby.misplaced, g, tmp) {
		if (g->came >= before || g->sent >= before)
			continue;
		HASH_DEL(n->standby.misplaced, g);
		free(g);
	}
}

static void digest_duty(void *arg)
{
	struct fl_node *n = arg;

	while (fl_sleep(tunables.digest_s) == 0) {
		double now = fl_now();
		struct fl_cached_report *k, *tmp;

		forget_misplaced(n, now - tunables.home_leases * n->config->lease_s);
		HASH_ITER (hh, n->standby.cached, k, tmp)
			if (k->at < now - 5 * tunables.digest_s)
				uncache(n, k);
		if (!n->standby.cached || fl_lease_valid(n) || !n->leader[0] ||
		    fl_state_in_doubt(&n->state))
			continue;
		digest(n, now - 2 * tunables.digest_s);
	}
}

void fl_standby_start(struct fl_node *n)
{
	double rate = n->config->state_write_rps * tunables.write_share;

	fl_budget_init(&n->standby.writes, rate, rate * tunables.digest_s, fl_now());
	for (int i = 0; i < n->n_peers; i++) {
		n->peers[i].heard_at = n->peers[i].sent_all_at = -1e9;
		fl_spawn(gossip_duty, &n->peers[i]);
	}
	fl_spawn(digest_duty, n);
}
