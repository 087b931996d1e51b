/*
 * Polls and cancellations: answered from memory, by the leader, or from the stored records; and the
 * relaying of users' calls to the leader, with a limit on how many are under way.
 */
#ifndef FL_COORDINATION_USER_CALLS_H
#define FL_COORDINATION_USER_CALLS_H

#include "coordination/forwarding.h"
#include "protocol/users.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

struct fl_node;

/* Most connections for users' calls to one other controller. */
enum { FL_PEER_CALLS_MAX = 24 };

/* Answers a poll or a cancellation of the job `ref`; an empty one is no job's. */
void fl_poll_or_cancel(struct fl_node *n, enum fl_user_call call, const char *ref, enum fl_hop hop,
                       struct fl_response *resp);
/*
 * Passes a user's call to the leader, as fl_forward does: 0 and the answer, which the caller frees,
 * or an errno. -EBUSY at once if too many calls are under way.
 */
int fl_user_call_relay(struct fl_node *n, enum fl_user_call call, const char *ref, const char *body,
                       enum fl_hop hop, double patience_s, struct fl_reply *reply);
/* How long a relayed call of this kind may take, in s: less than its user waits for an answer. */
double fl_user_call_patience_s(enum fl_user_call call);

#endif
