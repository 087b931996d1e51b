/*
 * Workers' heartbeats on their way to the leader: those that come while requests are in flight
 * share the next one. A follower with hundreds of workers costs the leader a few requests, not one
 * for each heartbeat.
 */
#ifndef FL_COORDINATION_FOLLOWER_HEARTBEAT_FORWARDING_H
#define FL_COORDINATION_FOLLOWER_HEARTBEAT_FORWARDING_H

#include <stddef.h>

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/* Requests with heartbeats that one node has in flight at most. */
enum { FL_HEARTBEAT_REQUESTS_MAX = 2 };

/*
 * Forwards a heartbeat, which was decoded without error, to the leader. With FL_FORWARD_ANSWERED
 * its reply is in `response`; else there is none that the worker can be given. It waits.
 */
enum fl_forward_result fl_heartbeat_forward(struct fl_node *node, const char *body, size_t len,
                                            struct fl_http_response *response);
/* Answers another controller's request: as the leader, or by forwarding it once. */
void fl_heartbeat_forward_serve(struct fl_node *node, const char *body, size_t len,
                                struct fl_http_response *response);

#endif
