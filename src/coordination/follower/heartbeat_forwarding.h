/*
 * Workers' reports on their way to the leader: those that come while messages are under way share
 * the next one. A follower with hundreds of workers costs the leader a few messages, not one for
 * each report.
 */
#ifndef FL_COORDINATION_FOLLOWER_HEARTBEAT_FORWARDING_H
#define FL_COORDINATION_FOLLOWER_HEARTBEAT_FORWARDING_H

#include <stddef.h>

#include "transport/http_server.h"

struct fl_node;

/* Messages of reports from one node that are under way at once, at most. */
enum { FL_HEARTBEAT_REQUESTS_MAX = 2 };

/*
 * Passes a report, which was read without error, to the leader: 0 with its answer in `response`, or
 * an errno if there is none that the worker can be given.
 */
int fl_heartbeat_forward(struct fl_node *node, const char *body, size_t len,
                         struct fl_http_response *response);
/* Answers another controller's message: as the leader, or by passing it on once. */
void fl_heartbeat_forward_serve(struct fl_node *node, const char *body, size_t len,
                                struct fl_http_response *response);

#endif
