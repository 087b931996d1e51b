/*
 * Forwarding of workers' heartbeats to the leader: heartbeats that arrive while the maximum number
 * of requests is in flight share the next one. A follower with hundreds of workers thus costs the
 * leader a few requests, not one for each heartbeat.
 */
#ifndef FL_COORDINATION_FOLLOWER_HEARTBEAT_FORWARDING_H
#define FL_COORDINATION_FOLLOWER_HEARTBEAT_FORWARDING_H

#include <stddef.h>

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/* Maximum number of heartbeat requests that one node has in flight. */
enum { FL_HEARTBEAT_REQUESTS_MAX = 2 };

/*
 * Forwards a heartbeat, which was decoded without error, to the leader. With FL_FORWARD_ANSWERED
 * the leader's reply is in `response`; otherwise there is no reply to pass on. Waits.
 */
enum fl_forward_result fl_heartbeat_forward(struct fl_node *node, const char *body, size_t len,
                                            struct fl_http_response *response);
/* Answers another controller's heartbeats as the leader, or forwards them once more. */
void fl_heartbeat_forward_serve(struct fl_node *node, const char *body, size_t len,
                                struct fl_http_response *response);

#endif
