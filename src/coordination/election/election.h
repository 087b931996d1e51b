/*
 * Leader election: campaigns for the leader key, which is bound to a lease in the key-value store;
 * renews that lease; and raises the fencing token by which late commands of replaced leaders are
 * rejected. The election determines when leadership begins and ends, and calls back at both points.
 */
#ifndef FL_COORDINATION_ELECTION_ELECTION_H
#define FL_COORDINATION_ELECTION_ELECTION_H

struct fl_node;

/* Called in the election's coroutine when this node becomes the leader and ceases to be it. */
struct fl_election_callbacks {
	void (*begin_leadership)(struct fl_node *node); /* must not wait */
	void (*end_leadership)(struct fl_node *node);   /* returns once leader coroutines ended */
};

/*
 * Starts the coroutines that run the election and watch the election keys. `callbacks` is not
 * copied.
 */
void fl_election_start(struct fl_node *node, const struct fl_election_callbacks *callbacks);

#endif
