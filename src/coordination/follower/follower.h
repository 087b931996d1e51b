/*
 * Handling of workers' heartbeats: a node redirects a misplaced worker to another node; otherwise
 * the leader replies with commands, and a follower forwards the heartbeat to the leader or renews
 * the worker's lease itself.
 */
#ifndef FL_COORDINATION_FOLLOWER_FOLLOWER_H
#define FL_COORDINATION_FOLLOWER_FOLLOWER_H

#include "coordination/follower/forwarding.h"
#include "coordination/follower/heartbeat_digest.h"
#include "coordination/follower/lease_renewal.h"
#include "coordination/follower/redirect.h"
#include "coordination/follower/request_batch.h"
#include "storage/token_bucket.h"
#include "transport/coroutine.h"
#include "transport/http_server.h"

struct fl_node;

/* The state that a node keeps for the workers that send their heartbeats to it. */
struct fl_follower {
	struct fl_cached_heartbeat *cached_heartbeats;
	struct fl_misplaced_worker *misplaced_workers;
	int redirect_round_robin; /* counter that selects the peer of the next redirect */
	struct fl_digest_slot digest_slots[FL_DIGESTS_MAX];
	struct fl_token_bucket digest_write_budget;
	uint64_t digest_count; /* digests built so far; the newest one has this number */
	struct fl_fencing_token_refresh fencing_token_refresh;
	struct fl_batch_queue heartbeat_batches; /* heartbeats being forwarded to the leader */
};

/* Starts the coroutines that exchange gossip with the other controllers and write digests. */
void fl_follower_start(struct fl_node *node);
/*
 * Answers a worker's heartbeat with the leader's commands, a lease renewal, a redirect (421) or an
 * error. May wait.
 */
void fl_follower_handle_heartbeat(struct fl_node *node, const char *body, size_t len,
                                  struct fl_http_response *response);

#endif
