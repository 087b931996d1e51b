/*
 * Standby renewal: any node may renew a worker's lease for the leader, since nothing here is ever
 * concluded from a lease having run out. Only a proof that is not too old bounds it, so that a
 * cancelled job's tasks end in time even where no leader can reach them.
 */
#ifndef FL_COORDINATION_FOLLOWER_FOLLOWER_H
#define FL_COORDINATION_FOLLOWER_FOLLOWER_H

#include "coordination/follower/forwarding.h"
#include "coordination/follower/heartbeat_digest.h"
#include "coordination/follower/redirect.h"
#include "storage/token_bucket.h"
#include "transport/http_server.h"
#include "transport/coroutine.h"

struct fl_node;

/* What a node holds for the workers that report to it while it does not lead. */
struct fl_follower {
	struct fl_cached_heartbeat *cached_heartbeats;
	struct fl_misplaced_worker *misplaced_workers;
	int redirect_cursor; /* whose turn it is to get a worker that is sent away */
	struct fl_digest_slot digests[FL_DIGESTS_MAX];
	struct fl_token_bucket write_budget;
	double refreshed_at;
	bool refreshing;
	struct fl_condition refreshed; /* the read for a fresher proof has come back */
};

/* Starts the routines of the exchange between controllers, and of the digests. */
void fl_follower_start(struct fl_node *node);
/*
 * Answers a worker's report: with orders from the leader, with a renewal, or with another node to
 * report to.
 */
void fl_follower_handle_heartbeat(struct fl_node *node, const char *body, size_t len,
                                  struct fl_http_response *response);
/* Answers a report with the leader's orders; this node leads. It does not wait. */
void fl_follower_reply_as_leader(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                                 struct fl_http_response *response);
/* s after a proof for which a node renews worker leases with it. */
double fl_follower_renewal_window_s(const struct fl_node *node);
/*
 * This node hears neither the state service nor any other controller: it can decide nothing, pass
 * nothing on, and nobody can order its workers' machines through it.
 */
bool fl_follower_is_isolated(const struct fl_node *node);

#endif
