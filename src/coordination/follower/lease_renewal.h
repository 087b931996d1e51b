/*
 * Renewal of worker leases by a follower that cannot reach the leader. Any node may renew a lease
 * for the leader, since no decision ever rests on a lease having expired. The cancellation
 * watermark limits the renewals, so that a cancelled job's tasks end in time even on machines that
 * no leader can reach.
 */
#ifndef FL_COORDINATION_FOLLOWER_LEASE_RENEWAL_H
#define FL_COORDINATION_FOLLOWER_LEASE_RENEWAL_H

#include "protocol/workers.h"
#include "transport/coroutine.h"
#include "transport/http_server.h"

struct fl_node;

/* A read of the leader view that waiting heartbeats share. Zero-initialised is ready. */
struct fl_fencing_token_refresh {
	double refreshed_at; /* end of the last read; monotonic clock, s */
	bool in_flight;
	struct fl_condition completed;
};

/* Answers a heartbeat with a renewal, or with 503 if the lease may not be renewed. May wait. */
void fl_lease_renewal_respond(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                              struct fl_http_response *response);

#endif
