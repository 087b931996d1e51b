/* Leader election: a key under a lease in the state service, and the epoch that fences old leaders.
 */
#ifndef FL_COORDINATION_LEASE_H
#define FL_COORDINATION_LEASE_H

#include <stdbool.h>
#include <stdint.h>

struct fl_node;

/* The lease of this node; all but `held` counts only while it is held. */
struct fl_lease {
	bool held;
	uint64_t grant, lead_rev, epoch_rev, epoch;
	double valid_until; /* steady; by this node's clock, less its possible drift */
	bool want_epoch;    /* the epoch is to be raised, to fence late direct commands */
	double raised_at;   /* steady; when it was last tried */
};

/* Whether this node leads at this moment. To be asked again after every wait. */
bool fl_lease_valid(const struct fl_node *n);
/* Gives up the leadership: the lease has ended, or a higher epoch is known. */
void fl_lease_lost(struct fl_node *n, const char *why);
/* Reads leader and epoch; 0 if that confirmed the leadership. */
int fl_lease_refresh(struct fl_node *n);
/* Starts the routines that seek the lease, renew it and watch the leader. */
void fl_lease_start(struct fl_node *n);

#endif
