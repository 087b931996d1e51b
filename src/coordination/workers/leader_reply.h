/*
 * The leader's reply to a worker's heartbeat: either commands, which also renew the worker's lease,
 * or a rejection, after which the worker tries another node. The reconciliation provides the
 * commands, and the renewal rules decide whether the lease may be renewed. A follower replies with
 * follower/lease_renewal instead, under the same rules.
 */
#ifndef FL_COORDINATION_WORKERS_LEADER_REPLY_H
#define FL_COORDINATION_WORKERS_LEADER_REPLY_H

#include "protocol/workers.h"
#include "transport/http_server.h"

struct fl_node;

/*
 * Applies the heartbeat and sets the response: 200 with the leader's commands, or 503. To be called
 * only while this node is the leader. Does not suspend the coroutine.
 */
void fl_leader_reply_respond(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                             struct fl_http_response *response);

#endif
