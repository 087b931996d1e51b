/*
 * The leader lease as held by this node, which determines whether the node may act as the leader.
 * The lease is checked against the monotonic clock at each use rather than by a timer, so that a
 * process that was paused for longer than its lease detects the expiry before it acts as the
 * leader. Times are in seconds of the monotonic clock.
 */
#ifndef FL_COORDINATION_ELECTION_LEADER_LEASE_H
#define FL_COORDINATION_ELECTION_LEADER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "transport/coroutine.h"

struct fl_node;

/* This node's lease. The fields other than `held` are valid only while the lease is held. */
struct fl_leader_lease {
	bool held;
	uint64_t lease_id;
	uint64_t leader_mod_revision; /* of the leader key; every write of a leader expects it */
	uint64_t token_mod_revision;  /* of the fencing token's key */
	uint64_t fencing_token;       /* included in every command of this leader */
	double valid_until;           /* expiry by this node's clock, less its possible drift */
	bool token_raise_wanted; /* a higher token is requested, to fence late direct commands */
	double token_raised_at;  /* time of the last attempt to raise the token */
	bool token_raise_in_flight;
	struct fl_condition token_raise_ended;
};

/* Returns whether the lease is held and not expired. Must be checked again after every wait. */
bool fl_leader_lease_is_valid(const struct fl_leader_lease *lease);
/*
 * Returns whether the lease is valid and the cluster state is loaded, so that this node may make
 * decisions and respond as the leader.
 */
bool fl_is_leader(const struct fl_node *node);
/*
 * Stops holding the lease, if it is held, without revoking it in the key-value store. `reason` is
 * logged, for example that the lease has expired or that a higher fencing token is known.
 */
void fl_leader_lease_step_down(struct fl_node *node, const char *reason);

#endif
