/*
 * Redirects of misplaced workers: a worker that sends its heartbeats to a node of another zone or
 * to an isolated node is redirected to a better one, at most once per redirect interval, which is
 * longer than a lease; in between, this node serves it. Points in time are seconds of the monotonic
 * clock.
 */
#ifndef FL_COORDINATION_FOLLOWER_REDIRECT_H
#define FL_COORDINATION_FOLLOWER_REDIRECT_H

#include <uthash.h>

#include "protocol/workers.h"

struct fl_node;
struct fl_peer;

/* A worker that another node should serve; owned by struct fl_follower. */
struct fl_misplaced_worker {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	double first_seen_at;
	double redirected_at; /* last redirect; 0: none yet */
};

/* Returns the peer to redirect the heartbeat's worker to; NULL if this node serves it. */
const struct fl_peer *fl_redirect_target(struct fl_node *node,
                                         const struct fl_heartbeat *heartbeat);
/* Drops workers first seen and last redirected more than a redirect interval ago. */
void fl_redirect_expire_workers(struct fl_node *node, double now);

#endif
