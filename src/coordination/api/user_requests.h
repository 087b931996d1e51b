/*
 * Status queries and cancellations of users: which of those that could answer does. In this order:
 * this node's memory of finished jobs, this node as the leader, the leader that another node is,
 * and for a status query without a leader the stored records.
 */
#ifndef FL_COORDINATION_API_USER_REQUESTS_H
#define FL_COORDINATION_API_USER_REQUESTS_H

#include "coordination/follower/forwarding.h"
#include "transport/http_server.h"

struct fl_node;

/* Answers a status query of the job `ref`; an empty one is no job's. Waits. */
void fl_handle_status_request(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                              struct fl_http_response *response);
/* Answers a cancellation of the job `ref`; an empty one is no job's. Waits. */
void fl_handle_cancellation(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                            struct fl_http_response *response);

#endif
