#include "coordination/follower/redirect.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/follower/gossip.h"
#include "coordination/follower/isolation.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/text.h"

static const struct {
	double min_peer_up_s, redirect_interval_leases, min_served_heartbeats,
		readiness_probe_timeout_s, same_cause_window_s;
} tunables = {
	.min_peer_up_s = 1.0, /* time for which the peer in the worker's zone was reachable */
	.redirect_interval_leases = 1.5,  /* lease durations between two redirects of a worker */
	.min_served_heartbeats = 1.0,     /* heartbeat intervals before the first redirect */
	.readiness_probe_timeout_s = 2.5, /* the load balancer probes about once a second */
	.same_cause_window_s = 4.0,       /* links that fail within it have failed together */
};

/* Returns the misplaced worker on this machine, added if it is new; NULL if out of memory. */
static struct fl_misplaced_worker *find_or_add_misplaced_worker(struct fl_follower *follower,
                                                                const char *host, double now)
{
	struct fl_misplaced_worker *worker;

	HASH_FIND_STR(follower->misplaced_workers, host, worker);
	if (worker)
		return worker;
	worker = calloc(1, sizeof(*worker));
	if (!worker)
		return NULL;
	fl_copy_string(worker->host, sizeof(worker->host), host);
	worker->first_seen_at = now;
	HASH_ADD_STR(follower->misplaced_workers, host, worker);
	return worker;
}

/* Returns the minimum time between two redirects of one worker, in s. */
static double redirect_interval_s(const struct fl_node *node)
{
	return tunables.redirect_interval_leases * node->config->lease_s;
}

/*
 * Returns whether a worker may be redirected now, and if so records the redirect. A worker is
 * redirected once in more than a lease and otherwise served here, and it is served here first: it
 * may have searched for a live node until its lease has nearly expired, and a redirect that takes
 * half a second more would end its tasks.
 */
static bool try_begin_redirect(struct fl_node *node, const char *host)
{
	double now = fl_now();
	struct fl_misplaced_worker *worker =
		find_or_add_misplaced_worker(&node->follower, host, now);

	if (!worker)
		return false;
	if (now < worker->first_seen_at + tunables.min_served_heartbeats * node->config->report_s)
		return false;
	if (worker->redirected_at > 0 && now < worker->redirected_at + redirect_interval_s(node))
		return false;
	worker->redirected_at = now;
	return true;
}

/*
 * Returns the peer in the worker's own zone if the worker is to be redirected there. When zones are
 * partitioned, a worker that sends its heartbeats to another zone tries node after node for 5 s
 * each, and its lease ends before it reaches the node of its own zone.
 */
static const struct fl_peer *find_own_zone_target(struct fl_node *node,
                                                  const struct fl_heartbeat *heartbeat)
{
	double now = fl_now();

	if (strcmp(heartbeat->zone, node->config->location) == 0)
		return NULL;
	for (int i = 0; i < node->peer_count; i++) {
		const struct fl_peer *peer = &node->peers[i];

		if (strcmp(peer->location, heartbeat->zone) == 0 && peer->up &&
		    now > peer->up_since + tunables.min_peer_up_s)
			return try_begin_redirect(node, heartbeat->host) ? peer : NULL;
	}
	return NULL;
}

/*
 * Returns whether this isolated node's own links have failed: the users' load balancer still probes
 * the node, so its region is reachable, and the key-value store and the other controllers became
 * unreachable at the same time.
 */
static bool own_links_failed(const struct fl_node *node, double last_peer_response_at)
{
	double last_success_at = node->kv_store.last_success_sent_at;

	if (fl_now() > node->api.last_readiness_probe_at + tunables.readiness_probe_timeout_s)
		return false;
	return last_peer_response_at >= last_success_at - tunables.same_cause_window_s &&
	       last_peer_response_at <= last_success_at + tunables.same_cause_window_s;
}

/*
 * Returns the peer for a worker of this node if the node is isolated. It could renew the lease, but
 * the leader gets no heartbeats and would consider the machine lost after a lease. Other nodes
 * serve the worker better if only this node's own links have failed. A node that is partitioned
 * together with its zone renews its workers' leases, since they cannot reach any other node either;
 * the last node that is up in an outage does the same. Workers are redirected to the peers in turn.
 */
static const struct fl_peer *find_target_if_isolated(struct fl_node *node,
                                                     const struct fl_heartbeat *heartbeat)
{
	double last_peer_response_at = fl_gossip_last_response_at(node);

	if (!fl_node_is_isolated(node) || !own_links_failed(node, last_peer_response_at))
		return NULL;
	for (int i = 0; i < node->peer_count; i++) {
		const struct fl_peer *peer =
			&node->peers[node->follower.redirect_round_robin++ % node->peer_count];

		/* Skips a peer that had become unreachable before the others. */
		if (peer->last_response_at > last_peer_response_at - tunables.same_cause_window_s)
			return try_begin_redirect(node, heartbeat->host) ? peer : NULL;
	}
	return NULL;
}

const struct fl_peer *fl_redirect_target(struct fl_node *node, const struct fl_heartbeat *heartbeat)
{
	const struct fl_peer *target = find_own_zone_target(node, heartbeat);

	return target ? target : find_target_if_isolated(node, heartbeat);
}

void fl_redirect_expire_workers(struct fl_node *node, double now)
{
	double cutoff = now - redirect_interval_s(node);
	struct fl_misplaced_worker *worker, *tmp;

	HASH_ITER (hh, node->follower.misplaced_workers, worker, tmp) {
		if (worker->first_seen_at >= cutoff || worker->redirected_at >= cutoff)
			continue;
		HASH_DEL(node->follower.misplaced_workers, worker);
		free(worker);
	}
}
