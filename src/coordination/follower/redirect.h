/*
 * Redirecting misplaced workers: a worker that sends its heartbeats to a node of another zone, or
 * to a node that is isolated, is redirected to a better one, at most once in more than a lease; in
 * between it is served where it is.
 */
#ifndef FL_COORDINATION_FOLLOWER_REDIRECT_H
#define FL_COORDINATION_FOLLOWER_REDIRECT_H

#include <uthash.h>

#include "protocol/workers.h"

struct fl_node;
struct fl_peer;

/* A worker that would be better off at another node; owned by struct fl_follower. */
struct fl_misplaced_worker {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	double first_seen_at; /* steady */
	double redirected_at; /* steady; 0: not yet */
};

/* The node to which this heartbeat's worker is to be redirected now; NULL: it is served here. */
const struct fl_peer *fl_redirect_target(struct fl_node *node,
                                         const struct fl_heartbeat *heartbeat);
/* Drops workers that neither came nor were redirected for long. `now`: steady. */
void fl_redirect_expire_workers(struct fl_node *node, double now);

#endif
