/*
 * Forwarding of users' requests to the leader, one by one, with a limit on how many are in flight.
 * Status queries are first sent in batches: see status_query_batch.h.
 */
#ifndef FL_COORDINATION_API_REQUEST_FORWARDING_H
#define FL_COORDINATION_API_REQUEST_FORWARDING_H

#include <stdbool.h>

#include "coordination/follower/forwarding.h"
#include "protocol/users.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

struct fl_node;

/* Maximum number of connections to one other controller for users' requests. */
enum { FL_PEER_USER_REQUESTS_MAX = 24 };

/* A user's request to be forwarded to the leader. It owns nothing. */
struct fl_outgoing_user_request {
	enum fl_request_kind kind;
	const char *ref;  /* job id; NULL for a submission */
	const char *body; /* NULL if there is none */
	enum fl_forward_hop hop;
	double timeout_s;
};

/* Returns the timeout for forwarding a request of this kind, in s: less than its user waits. */
double fl_user_request_timeout_s(enum fl_request_kind kind);
/*
 * Forwards a user's request as fl_forward_to_leader does. Waits. Returns true if the leader
 * answered; the caller then owns `reply`. Returns false if the leader cannot be reached or too many
 * requests are in flight.
 */
bool fl_user_request_forward(struct fl_node *node, const struct fl_outgoing_user_request *request,
                             struct fl_http_reply *reply);
/* Moves the reply to the response if it is `usable`, else frees it; returns `usable`. */
bool fl_respond_with_reply(struct fl_http_response *response, struct fl_http_reply *reply,
                           bool usable);
/*
 * Responds 503 if this node is isolated, and returns whether it is. An isolated node can neither
 * decide nor forward a request, and trying to would delay the user's retry by seconds.
 */
bool fl_respond_if_isolated(const struct fl_node *node, struct fl_http_response *response);

#endif
