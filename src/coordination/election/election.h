/* Leader election: a key under a lease in the state service, and the epoch that fences old leaders.
 */
#ifndef FL_COORDINATION_ELECTION_ELECTION_H
#define FL_COORDINATION_ELECTION_ELECTION_H

#include <stdbool.h>
#include <stdint.h>

struct fl_node;

/* The lease of this node; all but `lease_held` counts only while it is held. */
struct fl_election {
	bool lease_held;
	uint64_t lease_id, leader_mod_revision, token_mod_revision, fencing_token;
	double lease_valid_until; /* steady; by this node's clock, less its possible drift */
	bool token_raise_wanted;  /* the epoch is to be raised, to fence late direct commands */
	double token_raised_at;   /* steady; when it was last tried */
};

/* Whether this node leads at this moment. To be asked again after every wait. */
bool fl_election_lease_valid(const struct fl_node *node);
/* Gives up the leadership: the lease has ended, or a higher epoch is known. */
void fl_election_step_down(struct fl_node *node, const char *why);
/* Reads leader and epoch; 0 if that confirmed the leadership. */
int fl_election_refresh(struct fl_node *node);
/* Starts the routines that seek the lease, renew it and watch the leader. */
void fl_election_start(struct fl_node *node);

#endif
