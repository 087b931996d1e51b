/*
 * Relaying of calls to the leader: directly, or through a third controller if the leader does not
 * answer this one.
 */
#ifndef FL_COORDINATION_FOLLOWER_FORWARDING_H
#define FL_COORDINATION_FOLLOWER_FORWARDING_H

#include "protocol/users.h"
#include "transport/http_client.h"

struct fl_node;
struct fl_peer;

/* Where a call stands: it came from outside, or from a node that asks only this one. */
enum fl_forward_hop { FL_HOP_FIRST, FL_HOP_LAST };

/*
 * Makes the text of a relayed message, to be freed. `last_hop`: the receiver must not pass it on;
 * `disconnected`: this node has lost the state service.
 */
typedef char *(*fl_forward_encoder)(const void *context, bool last_hop, bool disconnected);

/* The other controller of this name, or NULL. */
struct fl_peer *fl_peer_find(struct fl_node *node, const char *name);
/* A small number for a controller's name: 1 this node, above it the others; 0: not known. */
int fl_node_index(struct fl_node *node, const char *name);
/* Whether a relayed message that this node cannot answer must not be passed on from here. */
bool fl_forward_ends_here(const struct fl_node *node, bool last_hop);
/* Passes a message to the leader, direct or through a third node: 0 and the answer, or an errno. */
int fl_forward(struct fl_node *node, const char *path, fl_forward_encoder encode,
               const void *context, enum fl_forward_hop hop, double patience_s,
               struct fl_http_reply *out);

#endif
