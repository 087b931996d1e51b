/*
 * Gossip: about once a second, a controller exchanges messages with each other controller on which
 * one leads, when that was last confirmed, and which jobs were cancelled. The exchanges also show
 * which controllers are reachable. Points in time are seconds of the monotonic clock.
 *
 * A reply contains all cancellations that the peer has learned of since the requester's watermark,
 * so that a successful exchange raises that watermark. The receiver of a request learns nothing
 * from it, since it may have been delayed for minutes.
 */
#ifndef FL_COORDINATION_FOLLOWER_GOSSIP_H
#define FL_COORDINATION_FOLLOWER_GOSSIP_H

#include <stddef.h>

#include "transport/http_server.h"

struct fl_node;
struct fl_peer;

/* Starts a coroutine for each other controller, with no exchange completed yet. */
void fl_gossip_start(struct fl_node *node);
/* Returns when an exchange with any peer last completed; FL_LONG_AGO if none has. */
double fl_gossip_last_response_at(const struct fl_node *node);
/* Returns the text of a gossip request; the caller frees it. */
char *fl_gossip_request_encode(struct fl_node *node);
/* Answers another controller's gossip request. */
void fl_gossip_serve(struct fl_node *node, const char *body, size_t len,
                     struct fl_http_response *response);
/* Applies the reply of `peer` to a request that was sent at `sent_at`. */
void fl_gossip_handle_reply(struct fl_node *node, struct fl_peer *peer, const char *body,
                            size_t len, double sent_at);

#endif
