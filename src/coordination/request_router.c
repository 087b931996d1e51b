#include "coordination/request_router.h"

#include <string.h>

#include "coordination/api/status_query_batch.h"
#include "coordination/api/submission.h"
#include "coordination/api/user_requests.h"
#include "coordination/follower/follower.h"
#include "coordination/follower/gossip.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "coordination/follower/isolation.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "protocol/peer_heartbeats.h"
#include "protocol/peers.h"
#include "protocol/status_messages.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	int deferred_queries_max;
} tunables = {
	.deferred_queries_max = 64, /* status queries; that many are answered within a second */
};

static void respond_to_readiness_probe(struct fl_node *node, struct fl_http_response *response)
{
	bool ready;

	node->api.last_readiness_probe_at = fl_now();
	ready = node->machine_types_loaded && node->live_jobs_loaded && !fl_node_is_isolated(node);
	response->status = ready ? 200 : 503;
}

void fl_route_client_request(struct fl_node *node, const struct fl_client_request *request,
                             struct fl_http_response *response)
{
	switch (request->kind) {
	case FL_REQUEST_SUBMIT:
		fl_handle_submission(node, request->body, request->body_len, request->hop,
		                     response);
		break;
	case FL_REQUEST_STATUS:
		fl_handle_status_request(node, request->ref, request->hop, response);
		break;
	case FL_REQUEST_CANCEL:
		fl_handle_cancellation(node, request->ref, request->hop, response);
		break;
	case FL_REQUEST_HEARTBEAT:
		fl_follower_handle_heartbeat(node, request->body, request->body_len, response);
		break;
	case FL_REQUEST_READY:
		respond_to_readiness_probe(node, response);
		break;
	case FL_REQUEST_UNKNOWN:
		fl_respond_error(response, 404, "no such path");
		break;
	}
}

static enum http_method expected_method(enum fl_request_kind kind)
{
	return kind == FL_REQUEST_STATUS || kind == FL_REQUEST_READY ? HTTP_GET : HTTP_POST;
}

void fl_route_public_request(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response)
{
	char ref[FL_REF_MAX];
	enum fl_request_kind kind = fl_request_parse_path(request->path, ref);

	if (kind != FL_REQUEST_UNKNOWN && request->method != expected_method(kind)) {
		fl_respond_error(response, 405, "method not allowed");
		/* The client of a HEAD request would parse the body as the next response. */
		response->close_connection = true;
		return;
	}
	/*
	 * An overloaded controller handles probes, submissions, cancellations and heartbeats before
	 * status queries. Users repeat status queries anyway, and a query that is rejected at once
	 * may reach a less loaded node. Deferred queries do not starve: each turn runs at least
	 * one of them.
	 */
	if (kind == FL_REQUEST_STATUS && !fl_coroutine_defer(tunables.deferred_queries_max)) {
		fl_respond_unavailable(response, "too many status queries in progress");
		return;
	}
	fl_route_client_request(context,
	                        &(struct fl_client_request){.kind = kind,
	                                                    .hop = FL_HOP_FIRST,
	                                                    .ref = ref,
	                                                    .body = request->body,
	                                                    .body_len = request->body_len},
	                        response);
}

static void serve_forwarded_request(struct fl_node *node, const struct fl_http_request *request,
                                    struct fl_http_response *response)
{
	struct fl_forwarded_request forwarded;
	struct fl_client_request client_request;

	if (fl_forwarded_request_decode(request->body, request->body_len, &forwarded) !=
	    FL_DECODE_OK) {
		fl_error("peers", "forwarded request rejected reason=\"malformed body\"");
		fl_respond_error(response, 400, "malformed forwarded request");
		return;
	}
	client_request = (struct fl_client_request){
		.kind = forwarded.kind,
		.hop = FL_HOP_LAST,
		.ref = forwarded.ref,
		.body = forwarded.body,
		.body_len = forwarded.body ? strlen(forwarded.body) : 0,
	};
	/* On the last hop only the leader responds; before that, any node responds or forwards. */
	if (!fl_is_leader(node) && fl_forward_is_forbidden(node, forwarded.last_hop))
		fl_respond_error(response, 421, "not the leader");
	else
		fl_route_client_request(node, &client_request, response);
	fl_forwarded_request_free(&forwarded);
}

void fl_route_peer_request(void *context, const struct fl_http_request *request,
                           struct fl_http_response *response)
{
	struct fl_node *node = context;
	const char *path = request->path;

	if (strcmp(path, FL_PATH_GOSSIP) == 0) {
		fl_gossip_serve(node, request->body, request->body_len, response);
	} else if (strcmp(path, FL_PATH_STATUS) == 0) {
		/* Urgent, since a batch has queries of up to 256 users, answered from memory. */
		fl_coroutine_set_urgent();
		fl_status_query_serve(node, request->body, request->body_len, response);
	} else if (strcmp(path, FL_PATH_HEARTBEATS) == 0) {
		fl_heartbeat_forward_serve(node, request->body, request->body_len, response);
	} else if (strcmp(path, FL_PATH_FORWARD) == 0) {
		serve_forwarded_request(node, request, response);
	} else {
		/* Not 404, which on this server means that no such job exists. */
		fl_respond_error(response, 501, "no such path");
	}
}
