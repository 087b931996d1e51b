/*
 * Routes requests that arrive at a controller's two servers, the public one for users and workers
 * and the one for other controllers, to the modules that answer them.
 */
#ifndef FL_COORDINATION_REQUEST_ROUTER_H
#define FL_COORDINATION_REQUEST_ROUTER_H

#include "coordination/follower/forwarding.h"
#include "protocol/users.h"
#include "transport/http_server.h"

struct fl_node;

/* A request of a user or worker, received by this node or forwarded to it; nothing is owned. */
struct fl_client_request {
	enum fl_user_request kind;
	enum fl_forward_hop hop; /* whether another controller has forwarded it */
	const char *ref;         /* the job of a status query or cancellation */
	const char *body;
	size_t body_len;
};

/* Handler of the public server; its context is the fl_node. */
void fl_route_public_request(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response);
/* Handler of the server for other controllers; its context is the fl_node. */
void fl_route_peer_request(void *context, const struct fl_http_request *request,
                           struct fl_http_response *response);
/* Responds to a request, forwarding what only the leader can decide. */
void fl_route_user_request(struct fl_node *node, const struct fl_client_request *request,
                           struct fl_http_response *response);

#endif
