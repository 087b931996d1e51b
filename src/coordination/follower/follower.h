/*
 * What a node does with workers' heartbeats: as the leader it replies with commands, else it
 * forwards them to the leader, renews the worker's lease itself, or redirects the worker to another
 * node.
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

/* What a node holds for the workers that send it heartbeats while it does not lead. */
struct fl_follower {
	struct fl_cached_heartbeat *cached_heartbeats;
	struct fl_misplaced_worker *misplaced_workers;
	int redirect_round_robin; /* whose turn it is to get a worker that is redirected */
	struct fl_digest_slot digest_slots[FL_DIGESTS_MAX];
	struct fl_token_bucket digest_write_budget;
	struct fl_fencing_token_refresh fencing_token_refresh;
	struct fl_batch_queue heartbeat_batches; /* to the leader */
};

/* Starts the coroutines of the gossip between controllers, and of the digests. */
void fl_follower_start(struct fl_node *node);
/*
 * Answers a worker's heartbeat: with commands of the leader, with a renewal, with a redirect (421),
 * or with an error. It may wait.
 */
void fl_follower_handle_heartbeat(struct fl_node *node, const char *body, size_t len,
                                  struct fl_http_response *response);

#endif
