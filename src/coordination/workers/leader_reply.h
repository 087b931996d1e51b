/* The leader's reply to a worker's heartbeat. */
#ifndef FL_COORDINATION_WORKERS_LEADER_REPLY_H
#define FL_COORDINATION_WORKERS_LEADER_REPLY_H

#include "protocol/workers.h"
#include "transport/http_server.h"

struct fl_node;

/* Applies the heartbeat and replies with the leader's commands; this node leads. It does not wait.
 */
void fl_heartbeat_reply_as_leader(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                                  struct fl_http_response *response);

#endif
