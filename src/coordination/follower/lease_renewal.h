/*
 * Renewal of worker leases by a follower that cannot reach the leader. Any node may do it for the
 * leader, since nothing is ever concluded from a lease having expired; the cancellation watermark
 * bounds it, so that a cancelled job's tasks end in time even where no leader can reach them.
 */
#ifndef FL_COORDINATION_FOLLOWER_LEASE_RENEWAL_H
#define FL_COORDINATION_FOLLOWER_LEASE_RENEWAL_H

#include "protocol/workers.h"
#include "transport/coroutine.h"
#include "transport/http_server.h"

struct fl_node;

/* A read of the leader view that all heartbeats waiting for it share. Zero-initialised is ready. */
struct fl_fencing_token_refresh {
	double refreshed_at; /* steady */
	bool in_flight;
	struct fl_condition completed;
};

/* Answers a heartbeat with a renewal, or with 503 if this node knows too little. It may wait. */
void fl_lease_renewal_respond(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                              struct fl_http_response *response);

#endif
