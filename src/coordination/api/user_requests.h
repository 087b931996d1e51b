/*
 * Polls and cancellations: answered from memory, by the leader, or from the stored records; and the
 * relaying of users' calls to the leader, with a limit on how many are under way.
 */
#ifndef FL_COORDINATION_API_USER_REQUESTS_H
#define FL_COORDINATION_API_USER_REQUESTS_H

#include "coordination/follower/forwarding.h"
#include "protocol/users.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

struct fl_node;

/* Most connections for users' calls to one other controller. */
enum { FL_PEER_USER_REQUESTS_MAX = 24 };

/* Answers a poll or a cancellation of the job `ref`; an empty one is no job's. */
void fl_respond_status_or_cancel(struct fl_node *node, enum fl_user_request kind, const char *ref,
                                 enum fl_forward_hop hop, struct fl_http_response *response);
/*
 * Forwards a user's request to the leader, as fl_forward does; FL_FORWARD_OVERLOADED at once if too
 * many are in flight.
 */
enum fl_forward_result fl_user_request_forward(struct fl_node *node, enum fl_user_request kind,
                                               const char *ref, const char *body,
                                               enum fl_forward_hop hop, double patience_s,
                                               struct fl_http_reply *reply);
/* How long a relayed call of this kind may take, in s: less than its user waits for an answer. */
double fl_user_request_timeout_s(enum fl_user_request kind);

#endif
