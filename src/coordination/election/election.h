/*
 * Leader election: campaigning for the leader key, which is bound to a lease in the key-value
 * store; renewing that lease; and raising the fencing token that rejects late commands of replaced
 * leaders. It decides when leadership begins and ends; what is done then is given to it as
 * callbacks.
 */
#ifndef FL_COORDINATION_ELECTION_ELECTION_H
#define FL_COORDINATION_ELECTION_ELECTION_H

struct fl_node;

/* Called, in the election's coroutine, as this node becomes and ceases to be the leader. */
struct fl_election_callbacks {
	void (*begin_leadership)(struct fl_node *node); /* does not wait */
	void (*end_leadership)(struct fl_node *node);   /* returns when all of it has ended */
};

/*
 * Starts the coroutines that campaign, renew the lease and watch the leader key. The callbacks are
 * not copied.
 */
void fl_election_start(struct fl_node *node, const struct fl_election_callbacks *callbacks);

#endif
