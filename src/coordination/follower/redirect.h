/*
 * Moving misplaced workers: a worker that reports to a node of another zone, or to a node that is
 * cut off, is told to which other node it should report.
 */
#ifndef FL_COORDINATION_FOLLOWER_REDIRECT_H
#define FL_COORDINATION_FOLLOWER_REDIRECT_H

#include <uthash.h>

#include "storage/records.h"
#include "protocol/workers.h"

struct fl_node;
struct fl_peer;

/* A worker that would be better off at another node. */
struct fl_misplaced_worker {
	UT_hash_handle hh;
	char host[FL_NAME_MAX];
	double first_seen_at, redirected_at; /* steady; sent: away from here, 0: not yet */
};

/* The node that this report's worker is to be sent to now, or NULL: it is served here. */
const struct fl_peer *fl_redirect_target(struct fl_node *node,
                                         const struct fl_heartbeat *heartbeat);
/* Drops what is known of workers that neither came nor were sent away for long. */
void fl_redirect_forget(struct fl_node *node, double now);

#endif
