/*
 * Exchange between controllers, about once a second with each: who leads and since when that is
 * known, and which jobs were cancelled. It also tells which controllers can be reached.
 */
#ifndef FL_COORDINATION_FOLLOWER_GOSSIP_H
#define FL_COORDINATION_FOLLOWER_GOSSIP_H

#include <stddef.h>

#include "transport/http_server.h"

struct fl_node;
struct fl_peer;

/* Starts a routine for each other controller, none of which counts as heard of yet. */
void fl_gossip_start(struct fl_node *node);
/* When an exchange with any other controller last came back (steady); long ago if none did. */
double fl_gossip_last_heard(const struct fl_node *node);
/* The text of a request; the caller frees it. */
char *fl_gossip_request(struct fl_node *node);
/* Answers another controller's request. */
void fl_gossip_serve(struct fl_node *node, const char *body, size_t len,
                     struct fl_http_response *response);
/* Takes in the answer of `peer` to a request that was sent at `sent` (steady). */
void fl_gossip_handle_reply(struct fl_node *node, struct fl_peer *peer, const char *body,
                            size_t len, double sent);

#endif
