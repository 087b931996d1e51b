/*
 * The leader's lease as this node holds it: whether the node may act as the leader at this moment.
 * The lease is judged by the steady clock at each use, not by an event, so that a process that
 * was suspended for longer than its lease finds it expired before it does anything by it.
 */
#ifndef FL_COORDINATION_ELECTION_LEADER_LEASE_H
#define FL_COORDINATION_ELECTION_LEADER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

struct fl_node;

/* The lease of this node; all but `held` is valid only while it is held. */
struct fl_leader_lease {
	bool held;
	uint64_t lease_id;
	uint64_t leader_mod_revision; /* of the leader key: every write of a leader expects it */
	uint64_t token_mod_revision;  /* of the fencing token's key */
	uint64_t fencing_token;       /* in every command of this leader */
	double valid_until;           /* steady; by this node's clock, less its possible drift */
	bool token_raise_wanted;      /* the token is to be raised, to fence late direct commands */
	double token_raised_at;       /* steady; of the last attempt to raise it */
};

/* Whether the lease is held and still valid. To be checked again after every wait. */
bool fl_leader_lease_is_valid(const struct fl_leader_lease *lease);
/* Whether the lease is valid and the cluster state is loaded: the node may decide and respond. */
bool fl_is_leader(const struct fl_node *node);
/*
 * Gives up the lease, if it is held. `reason` goes into the log: the lease has expired, or a higher
 * fencing token is known.
 */
void fl_leader_lease_step_down(struct fl_node *node, const char *reason);

#endif
