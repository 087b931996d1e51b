/*
 * Relaying of calls to the leader: directly, or through a third controller if the leader does not
 * answer this one.
 */
#ifndef FL_COORDINATION_RELAY_H
#define FL_COORDINATION_RELAY_H

#include "protocol/users.h"
#include "transport/http_client.h"

struct fl_node;
struct fl_peer;

/* Where a call stands: it came from outside, or from a node that asks only this one. */
enum fl_hop {
	FL_FIRST_HOP,
	FL_LAST_HOP,
	FL_LAST_HOP_DISCONNECTED /* and whose sender has lost the state service too */
};

/* The other controller of this name, or NULL. */
struct fl_peer *fl_peer_find(struct fl_node *n, const char *name);
/* Passes a call to the leader, direct or through a third node: 0 and the answer, or an errno. */
int fl_relay(struct fl_node *n, enum fl_user_call call, const char *ref, const char *via,
             const char *body, enum fl_hop hop, double patience_s, struct fl_reply *out);

#endif
