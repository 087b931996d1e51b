/*
 * Routes the requests that arrive at a controller's two servers, the public one for users and
 * workers and the one for other controllers, to the modules that respond to them.
 */
#ifndef FL_COORDINATION_REQUEST_ROUTER_H
#define FL_COORDINATION_REQUEST_ROUTER_H

#include "coordination/follower/forwarding.h"
#include "protocol/users.h"
#include "transport/http_server.h"

struct fl_node;

/*
 * A request of a client (a user, a worker or a load balancer), received directly or from another
 * controller. Owns nothing.
 */
struct fl_client_request {
	enum fl_request_kind kind;
	enum fl_forward_hop hop; /* FL_HOP_LAST if another controller forwarded the request */
	const char *ref;         /* job id of a status query or cancellation */
	const char *body;
	size_t body_len;
};

/* Handler of the public server; its context is the fl_node. */
void fl_route_public_request(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response);
/* Handler of the server for other controllers; its context is the fl_node. */
void fl_route_peer_request(void *context, const struct fl_http_request *request,
                           struct fl_http_response *response);
/* Responds to a client's request; if only the leader can decide it, forwards it to the leader. */
void fl_route_client_request(struct fl_node *node, const struct fl_client_request *request,
                             struct fl_http_response *response);

#endif
