/*
 * Gossip: an exchange of about once a second with each other controller, on who leads, since when
 * that is confirmed, and which jobs were cancelled. It also shows which controllers are reachable.
 *
 * The reply contains all that the peer has learned since the requester's watermark, so that an
 * exchange that succeeds raises that watermark; nothing in a request may be relied on.
 */
#ifndef FL_COORDINATION_FOLLOWER_GOSSIP_H
#define FL_COORDINATION_FOLLOWER_GOSSIP_H

#include <stddef.h>

#include "transport/http_server.h"

struct fl_node;
struct fl_peer;

/* Starts a coroutine for each other controller; no exchange counts as completed yet. */
void fl_gossip_start(struct fl_node *node);
/* Steady: when an exchange with any other controller last completed; long ago if none did. */
double fl_gossip_last_exchange_at(const struct fl_node *node);
/* The text of a request; the caller frees it. */
char *fl_gossip_request_encode(struct fl_node *node);
/* Answers another controller's request. */
void fl_gossip_serve(struct fl_node *node, const char *body, size_t len,
                     struct fl_http_response *response);
/* Applies the reply of `peer` to a request that was sent at `sent_at` (steady). */
void fl_gossip_handle_reply(struct fl_node *node, struct fl_peer *peer, const char *body,
                            size_t len, double sent_at);

#endif
