#include "coordination/request_router.h"

#include <string.h>

#include "coordination/api/status_query.h"
#include "coordination/api/submission.h"
#include "coordination/api/user_requests.h"
#include "coordination/follower/follower.h"
#include "coordination/follower/gossip.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "coordination/node.h"
#include "coordination/follower/isolation.h"
#include "coordination/responses.h"
#include "protocol/peer_heartbeats.h"
#include "protocol/status_messages.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	int polls_waiting;
} tunables = {
	.polls_waiting = 64, /* polls that wait for a slow controller; answered within a second */
};

/* ---- the two servers ---- */

void fl_route_user_request(struct fl_node *node, enum fl_user_request kind, const char *ref,
                           const char *body, size_t len, enum fl_forward_hop hop,
                           struct fl_http_response *response)
{
	switch (kind) {
	case FL_USER_REQUEST_SUBMIT:
		fl_handle_submission(node, body, len, hop, response);
		break;
	case FL_USER_REQUEST_STATUS:
		fl_handle_status_request(node, ref, hop, response);
		break;
	case FL_USER_REQUEST_CANCEL:
		fl_handle_cancellation(node, ref, hop, response);
		break;
	case FL_USER_REQUEST_HEARTBEAT:
		fl_follower_handle_heartbeat(node, body, len, response);
		break;
	case FL_USER_REQUEST_READY:
		node->api.last_readiness_probe_at = fl_now();
		response->status =
			node->machine_types_known && node->jobs_known && !fl_node_is_isolated(node)
				? 200
				: 503;
		break;
	case FL_USER_REQUEST_UNKNOWN:
	default:
		fl_respond_error(response, 404, "no such path");
	}
}

void fl_route_public_request(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response)
{
	char ref[FL_REF_MAX];
	enum fl_user_request kind = fl_user_route(request->path, ref);
	enum http_method want = kind == FL_USER_REQUEST_STATUS || kind == FL_USER_REQUEST_READY
	                                ? HTTP_GET
	                                : HTTP_POST;

	if (kind != FL_USER_REQUEST_UNKNOWN && request->method != want) {
		fl_respond_error(response, 405, "wrong method");
		/* After a HEAD the body would be taken for the next answer. */
		response->close = true;
		return;
	}
	/*
	 * A controller that is behind answers probes, submissions, cancellations and reports first.
	 * A poll comes again in any case, and one that is turned away at once may find a better
	 * node. Where enough are answered, none goes without for long: one a turn always is.
	 */
	if (kind == FL_USER_REQUEST_STATUS && !fl_coroutine_defer(tunables.polls_waiting)) {
		fl_respond_unavailable(response, "there are too many questions at the moment");
		return;
	}
	fl_route_user_request(context, kind, ref, request->body, request->body_len, FL_HOP_FIRST,
	                      response);
}

void fl_route_peer_request(void *context, const struct fl_http_request *request,
                           struct fl_http_response *response)
{
	struct fl_node *node = context;
	struct fl_forwarded_request forwarded;

	if (strcmp(request->path, "/gossip") == 0) {
		fl_gossip_serve(node, request->body, request->body_len, response);
		return;
	}
	if (strcmp(request->path, FL_PATH_STATUS) == 0) {
		/* For up to 256 users at once, and answered from memory. */
		fl_coroutine_set_urgent();
		fl_status_query_serve(node, request->body, request->body_len, response);
		return;
	}
	if (strcmp(request->path, FL_PATH_HEARTBEATS) == 0) {
		fl_heartbeat_forward_serve(node, request->body, request->body_len, response);
		return;
	}
	if (strcmp(request->path, FL_PATH_FORWARD) != 0) {
		fl_respond_error(response, 404, "no such path");
		return;
	}
	if (fl_forwarded_request_decode(request->body, request->body_len, &forwarded) !=
	    FL_DECODE_OK) {
		fl_error("peers", "what came as a relayed call is none");
		fl_respond_error(response, 400, "not a relayed call");
		return;
	}
	/* Only a leader answers; one hop further, if the sender could not reach it itself. */
	if (!fl_is_leader(node) && fl_forward_ends_here(node, forwarded.last_hop))
		fl_respond_error(response, 421, "not the leader");
	else
		fl_route_user_request(node, forwarded.kind, forwarded.ref, forwarded.body,
		                      forwarded.body ? strlen(forwarded.body) : 0, FL_HOP_LAST,
		                      response);
	fl_forwarded_request_free(&forwarded);
}
