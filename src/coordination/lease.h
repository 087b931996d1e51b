/* Who leads: a key under a lease in the state service, and the epoch that fences old leaders. */
#ifndef FL_COORDINATION_LEASE_H
#define FL_COORDINATION_LEASE_H

#include <stdbool.h>
#include <stdint.h>

struct fl_node;

struct fl_lease {
	bool held;
	uint64_t grant, lead_rev, epoch_rev, epoch;
	double valid_until; /* steady; by this node's clock, drift taken off */
	bool want_epoch;    /* raise the epoch, so that late direct commands are ruled out */
	double raised_at;
};

/* Does this node lead at this moment? Must be asked again after every wait. */
bool fl_lease_valid(const struct fl_node *n);
/* A higher epoch has been met: this node leads no more. */
void fl_lease_lost(struct fl_node *n, const char *why);
/* Reads leader and epoch afresh; 0 if the proof is renewed. */
int fl_lease_refresh(struct fl_node *n);
void fl_lease_start(struct fl_node *n);

#endif
