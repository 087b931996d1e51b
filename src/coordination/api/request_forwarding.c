#include "coordination/api/request_forwarding.h"

#include "coordination/follower/isolation.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "protocol/peers.h"

static const struct {
	double status_timeout_s, write_timeout_s;
} tunables = {
	.status_timeout_s = 1.2, /* for a forwarded status query; users wait 2 s */
	.write_timeout_s = 2.0,  /* for a cancellation or submission; users wait 5 s */
};

double fl_user_request_timeout_s(enum fl_request_kind kind)
{
	return kind == FL_REQUEST_STATUS ? tunables.status_timeout_s : tunables.write_timeout_s;
}

/* Status queries leave half of the connections to cancellations and submissions. */
static bool is_below_in_flight_limit(const struct fl_node *node, enum fl_request_kind kind)
{
	int max_in_flight = kind == FL_REQUEST_STATUS ? FL_PEER_USER_REQUESTS_MAX / 2
	                                              : FL_PEER_USER_REQUESTS_MAX;

	return node->api.forwarded_in_flight < max_in_flight;
}

static char *encode_request(const void *context, const struct fl_forward_flags *flags)
{
	const struct fl_outgoing_user_request *request = context;

	return fl_forwarded_request_encode(request->kind, flags->last_hop, request->ref,
	                                   request->body);
}

bool fl_user_request_forward(struct fl_node *node, const struct fl_outgoing_user_request *request,
                             struct fl_http_reply *reply)
{
	const struct fl_forward_request forward = {.path = FL_PATH_FORWARD,
	                                           .encode = encode_request,
	                                           .context = request,
	                                           .hop = request->hop,
	                                           .timeout_s = request->timeout_s};
	bool answered;

	if (!is_below_in_flight_limit(node, request->kind))
		return false;
	node->api.forwarded_in_flight++;
	answered = fl_forward_to_leader(node, &forward, reply) == FL_FORWARD_ANSWERED;
	node->api.forwarded_in_flight--;
	return answered;
}

bool fl_respond_with_reply(struct fl_http_response *response, struct fl_http_reply *reply,
                           bool usable)
{
	if (usable) {
		response->status = reply->status;
		response->body = reply->body.data;
	} else {
		fl_buffer_free(&reply->body);
	}
	return usable;
}

bool fl_respond_if_isolated(const struct fl_node *node, struct fl_http_response *response)
{
	if (!fl_node_is_isolated(node))
		return false;
	fl_respond_unavailable(response,
	                       "neither the key-value store nor another controller answers");
	return true;
}
