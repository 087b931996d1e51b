#include "coordination/follower/redirect.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/follower/isolation.h"
#include "transport/clock.h"
#include "transport/text.h"

static const struct {
	double home_s, home_leases, settle_reports, probe_s, at_once_s;
} tunables = {
	.home_s = 1.0,         /* s that a worker's own zone's node must have been up */
	.home_leases = 1.5,    /* leases between two times that one worker is sent home */
	.settle_reports = 1.0, /* report intervals that it is served here before */
	.probe_s = 2.5,        /* s; the balancer asks about once a second */
	.at_once_s = 4.0,      /* s within which links that fail together fail for one reason */
};

/*
 * A worker is sent away once in more than a lease, after that it is served where it is; and not
 * before it was answered here: it may have looked for a living node until its lease is nearly over,
 * and half a second more on its way would be its tasks' end.
 */
static bool may_redirect(struct fl_node *node, const char *host)
{
	double now = fl_now();
	struct fl_misplaced_worker *worker;

	HASH_FIND_STR(node->follower.misplaced_workers, host, worker);
	if (!worker) {
		worker = calloc(1, sizeof(*worker));
		if (!worker)
			return false;
		fl_copy_string(worker->host, sizeof(worker->host), host);
		worker->first_seen_at = now;
		HASH_ADD_STR(node->follower.misplaced_workers, host, worker);
	}
	if (now < worker->first_seen_at + tunables.settle_reports * node->config->report_s ||
	    (worker->redirected_at > 0 &&
	     now < worker->redirected_at + tunables.home_leases * node->config->lease_s))
		return false;
	worker->redirected_at = now;
	return true;
}

/*
 * A worker is best renewed by a node of its own zone. One that reports across zones when they are
 * cut apart tries node after node for 5 s each, and its lease ends before it comes to its own.
 */
static const struct fl_peer *home_node(struct fl_node *node, const struct fl_heartbeat *heartbeat)
{
	double now = fl_now();

	if (strcmp(heartbeat->zone, node->config->location) == 0)
		return NULL;
	for (int i = 0; i < node->peer_count; i++) {
		const struct fl_peer *peer = &node->peers[i];

		if (strcmp(peer->location, heartbeat->zone) == 0 && peer->up &&
		    now > peer->up_since + tunables.home_s)
			return may_redirect(node, heartbeat->host) ? peer : NULL;
	}
	return NULL;
}

/*
 * Where to send the workers of a node that is alone. It could renew them, but the leader, which
 * hears nothing of them, would give their machines up after a lease. They are better off elsewhere
 * if it is this node's own links that are cut: the users' balancer still asks for it, so that the
 * region is in reach, and state service and controllers were lost at once. A node cut off together
 * with its zone renews its workers, since they too can reach nobody else; so does the last node
 * alive in an outage. Each worker is sent once in more than a lease, to the nodes in turn.
 */
static const struct fl_peer *redirect_from_isolated(struct fl_node *node,
                                                    const struct fl_heartbeat *heartbeat)
{
	double last = fl_gossip_last_heard(node), now = fl_now();

	if (!fl_node_is_isolated(node) ||
	    now > node->api.last_readiness_probe_at + tunables.probe_s ||
	    last < node->kv_store.last_success_at - tunables.at_once_s ||
	    last > node->kv_store.last_success_at + tunables.at_once_s)
		return NULL;
	for (int i = 0; i < node->peer_count; i++) {
		const struct fl_peer *peer =
			&node->peers[node->follower.redirect_cursor++ % node->peer_count];

		/* Not to one that was lost before. */
		if (peer->last_heard_at > last - tunables.at_once_s)
			return may_redirect(node, heartbeat->host) ? peer : NULL;
	}
	return NULL;
}

const struct fl_peer *fl_redirect_target(struct fl_node *node, const struct fl_heartbeat *heartbeat)
{
	const struct fl_peer *home = home_node(node, heartbeat);

	return home ? home : redirect_from_isolated(node, heartbeat);
}

void fl_redirect_forget(struct fl_node *node, double now)
{
	double before = now - tunables.home_leases * node->config->lease_s;
	struct fl_misplaced_worker *worker, *tmp;

	HASH_ITER (hh, node->follower.misplaced_workers, worker, tmp) {
		if (worker->first_seen_at >= before || worker->redirected_at >= before)
			continue;
		HASH_DEL(node->follower.misplaced_workers, worker);
		free(worker);
	}
}
