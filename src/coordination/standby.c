#include "coordination/standby.h"

#include <errno.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "coordination/report_relay.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/routine.h"

static const struct {
	double refresh_s, refresh_wait_s, digest_s, margin_s, alone_s;
} tunables = {
	.refresh_s = 0.5,      /* s; least time between two reads for a fresher proof */
	.refresh_wait_s = 1.5, /* s for which a report waits for such a read */
	.digest_s = 2.0,       /* s between two digests in the state service */
	.margin_s = 1.0,       /* s off the renewal time, for drift and late timers */
	.alone_s = 1.5,        /* s without any word before a node counts as alone */
};

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
static bool has_fencing_token(const struct fl_node *n, uint64_t fencing_token)
{
	return n->fencing_token > 0 && n->fencing_token >= fencing_token;
}

static bool knows_jobs(const struct fl_node *n)
{
	return fl_now() - n->cancellations_known_until <= fl_standby_renewal_s(n);
}

static bool has_proof(const struct fl_node *n, uint64_t fencing_token)
{
	return has_fencing_token(n, fencing_token) && knows_jobs(n);
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

/* Reads who leads; one read serves all that wait for it. */
static void refresh_fencing_token(struct fl_node *n, double until)
{
	struct fl_standby *k = &n->standby;

	if (k->refreshing) {
		fl_signal_wait(&k->refreshed, until - fl_now());
	} else if (fl_now() > k->refreshed_at + tunables.refresh_s) {
		k->refreshing = true;
		fl_election_refresh(n);
		k->refreshing = false;
		k->refreshed_at = fl_now();
		fl_signal_wake(&k->refreshed);
	}
}

/*
 * A node that has just started is asked by many workers at once and has no proof yet: neither the
 * epoch nor the jobs. It waits for both: a worker refused meanwhile loses seconds of its lease on
 * nodes that are down. Found in logs of the return of all controllers: whoever had waited for the
 * epoch was refused because the jobs were not listed yet, some 50 workers each time.
 */
static bool may_renew(struct fl_node *n, uint64_t fencing_token)
{
	double until = fl_now() + tunables.refresh_wait_s;

	if (has_proof(n, fencing_token))
		return true;
	if (!has_fencing_token(n, fencing_token))
		refresh_fencing_token(n, until);
	if (has_fencing_token(n, fencing_token) && !n->jobs_known && fl_now() < until)
		fl_signal_wait(&n->jobs_listed, until - fl_now());
	return has_proof(n, fencing_token);
}

static void answer_renewal(struct fl_node *n, const struct fl_report *r, struct fl_response *resp)
{
	struct fl_orders orders;

	if (!may_renew(n, r->fencing_token)) {
		fl_debug("standby", "%s is refused: epoch %llu, known %llu, proof %.1f s old",
		         r->host, (unsigned long long)r->fencing_token,
		         (unsigned long long)n->fencing_token,
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
	fl_orders_init(&orders, n->fencing_token);
	stop_cancelled(n, r, &orders);
	resp->status = 200;
	resp->body = fl_orders_take(&orders);
	fl_report_cache(n, r);
	if (n->leadership.active)
		fl_reconcile_renewed(n, r);
}

bool fl_standby_alone(const struct fl_node *n)
{
	double last = fl_gossip_last_heard(n);

	if (n->n_peers == 0 || !fl_kv_is_unavailable(&n->kv_store))
		return false;
	for (int i = 0; i < n->n_peers; i++)
		if (n->peers[i].up)
			return false;
	if (n->kv_store.last_success_at > last)
		last = n->kv_store.last_success_at;
	return fl_now() > last + tunables.alone_s;
}

void fl_standby_answer_leading(struct fl_node *n, const struct fl_report *r,
                               struct fl_response *resp)
{
	struct fl_orders orders;
	int rc;

	fl_orders_init(&orders, n->election.fencing_token);
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

void fl_standby_report(struct fl_node *n, const char *body, size_t len, struct fl_response *resp)
{
	const struct fl_peer *home;
	struct fl_report r;

	if (fl_report_decode(body, len, &r) != 0) {
		fl_error("workers", "what came by a worker's way is no report");
		fl_refuse(resp, 400, "not a report");
		return;
	}
	r.via = fl_node_index(n, n->config->node);
	home = fl_worker_steer(n, &r);
	if (home) {
		fl_debug("standby", "%s is sent to %s", r.host, home->name);
		resp->status = 421;
		resp->body = fl_steward_encode(home->name);
	} else if (fl_is_leader(n)) {
		fl_standby_answer_leading(n, &r, resp);
	} else if (fl_report_relay(n, body, len, resp) != 0) {
		answer_renewal(n, &r, resp);
	}
	fl_report_free(&r);
}

/* One routine for both: what is kept about workers is dropped before a digest is written. */
static void upkeep_duty(void *arg)
{
	struct fl_node *n = arg;

	while (fl_sleep(tunables.digest_s) == 0) {
		double now = fl_now();

		fl_worker_steering_forget(n, now);
		fl_report_digest_write(n, now, tunables.digest_s);
	}
}

void fl_standby_start(struct fl_node *n)
{
	fl_report_digest_init(n, tunables.digest_s);
	fl_gossip_start(n);
	fl_spawn(upkeep_duty, n);
}
