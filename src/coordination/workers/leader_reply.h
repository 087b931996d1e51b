/*
 * The leader's reply to a worker's heartbeat: commands, which renew the worker's lease, or a
 * rejection, after which the worker tries another node. The commands come from the reconciliation,
 * whether the lease may be renewed is decided by the renewal rules; this module joins the two. A
 * node that does not lead replies by follower/lease_renewal instead, under the same rules.
 */
#ifndef FL_COORDINATION_WORKERS_LEADER_REPLY_H
#define FL_COORDINATION_WORKERS_LEADER_REPLY_H

#include "protocol/workers.h"
#include "transport/http_server.h"

struct fl_node;

/*
 * Applies the heartbeat and fills in the response: 200 with the leader's commands, or 503. Only
 * while this node leads. It does not wait.
 */
void fl_leader_reply_respond(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                             struct fl_http_response *response);

#endif
