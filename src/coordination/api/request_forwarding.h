/*
 * Forwarding of users' requests to the leader, one by one, with a limit on how many are under way.
 * Status queries go in batches first: see status_query_batch.h.
 */
#ifndef FL_COORDINATION_API_REQUEST_FORWARDING_H
#define FL_COORDINATION_API_REQUEST_FORWARDING_H

#include <stdbool.h>

#include "coordination/follower/forwarding.h"
#include "protocol/users.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

struct fl_node;

/* Connections for users' requests to one other controller at most. */
enum { FL_PEER_USER_REQUESTS_MAX = 24 };

/* A user's request on its way to the leader. It owns nothing. */
struct fl_outgoing_user_request {
	enum fl_user_request kind;
	const char *ref;  /* NULL: a submission */
	const char *body; /* NULL: none */
	enum fl_forward_hop hop;
	double timeout_s;
};

/* How long a forwarded request of this kind may take, in s: less than its user waits for it. */
double fl_user_request_timeout_s(enum fl_user_request kind);
/*
 * Forwards a user's request to the leader, as fl_forward_to_leader does. Waits. True: the leader
 * answered, and the caller owns `reply`. False: it cannot be reached, or too many requests are
 * under way.
 */
bool fl_user_request_forward(struct fl_node *node, const struct fl_outgoing_user_request *request,
                             struct fl_http_reply *reply);
/* Makes the reply the response if it is `usable`, else frees it; returns `usable`. */
bool fl_respond_with_reply(struct fl_http_response *response, struct fl_http_reply *reply,
                           bool usable);
/*
 * Whether this node can neither decide nor forward a request; the response is 503 then, at once:
 * every try at either would cost the user seconds in vain.
 */
bool fl_respond_if_isolated(const struct fl_node *node, struct fl_http_response *response);

#endif
