#include "coordination/api/user_requests.h"

#include "coordination/api/cancellation.h"
#include "coordination/api/status_from_leader.h"
#include "coordination/api/job_status_response.h"
#include "coordination/api/request_forwarding.h"
#include "coordination/api/status_from_records.h"
#include "coordination/api/status_query_batch.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "transport/clock.h"

/* Who answers a user's request about a job. */
enum responder {
	RESPONDER_ANSWERED,     /* none: the response is already filled in */
	RESPONDER_FINISHED_JOB, /* this node's memory of a finished job */
	RESPONDER_THIS_LEADER,
	RESPONDER_LEADER_FOR_PEER, /* only the leader: a peer forwarded the request */
	RESPONDER_LEADER           /* a peer that leads or else, for a query, the records */
};

static enum responder find_responder(const struct fl_node *node, const char *ref,
                                     enum fl_forward_hop hop, struct fl_http_response *response)
{
	if (!ref[0]) {
		fl_respond_no_such_job(response, "invalid", "path");
		return RESPONDER_ANSWERED;
	}
	if (fl_finished_job_find(&node->cluster, ref))
		return RESPONDER_FINISHED_JOB;
	if (fl_is_leader(node))
		return RESPONDER_THIS_LEADER;
	if (fl_respond_if_isolated(node, response))
		return RESPONDER_ANSWERED;
	return hop == FL_HOP_LAST ? RESPONDER_LEADER_FOR_PEER : RESPONDER_LEADER;
}

/* Forwards the request; returns false if there is no reply to pass on to the user. */
static bool respond_through_leader(struct fl_node *node,
                                   const struct fl_outgoing_user_request *request,
                                   struct fl_http_response *response)
{
	struct fl_http_reply reply;

	return fl_user_request_forward(node, request, &reply) &&
	       fl_respond_with_reply(response, &reply, reply.status == 200 || reply.status == 404);
}

/* Answers another controller's request: forwards it once more, directly to the leader. */
static void respond_to_peer(struct fl_node *node, enum fl_request_kind kind, const char *ref,
                            struct fl_http_response *response)
{
	const struct fl_outgoing_user_request request = {.kind = kind,
	                                                 .ref = ref,
	                                                 .hop = FL_HOP_LAST,
	                                                 .timeout_s =
	                                                         fl_user_request_timeout_s(kind)};

	if (!respond_through_leader(node, &request, response))
		fl_respond_error(response, 421, "not the leader");
}

/*
 * Sends the query to the leader in a batch. If that fails or the leader cannot answer from memory,
 * the query is forwarded alone, in the time that is left; if that fails too, the stored records are
 * read.
 */
static void query_leader_or_records(struct fl_node *node, const char *ref,
                                    struct fl_http_response *response)
{
	struct fl_outgoing_user_request request = {.kind = FL_REQUEST_STATUS, .ref = ref};
	double deadline = fl_now() + fl_user_request_timeout_s(FL_REQUEST_STATUS);

	switch (fl_status_query_send(node, ref, response)) {
	case FL_QUERY_ANSWERED:
		return;
	case FL_QUERY_OVERLOADED:
		fl_respond_unavailable(response, "too many status queries");
		return;
	case FL_QUERY_NOT_IN_MEMORY:
	case FL_QUERY_FAILED:
		break;
	}
	request.timeout_s = deadline - fl_now();
	if (request.timeout_s <= 0 || !respond_through_leader(node, &request, response))
		fl_respond_status_from_records(node, ref, response);
}

static void forward_cancellation(struct fl_node *node, const char *ref,
                                 struct fl_http_response *response)
{
	const struct fl_outgoing_user_request request = {
		.kind = FL_REQUEST_CANCEL,
		.ref = ref,
		.hop = FL_HOP_FIRST,
		.timeout_s = fl_user_request_timeout_s(FL_REQUEST_CANCEL)};

	if (!respond_through_leader(node, &request, response))
		fl_respond_unavailable(response, "no leader");
}

void fl_handle_status_request(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                              struct fl_http_response *response)
{
	struct fl_job_status_report report;

	switch (find_responder(node, ref, hop, response)) {
	case RESPONDER_ANSWERED:
		break;
	case RESPONDER_FINISHED_JOB:
		report = fl_job_status_from_memory(&node->cluster, ref);
		fl_respond_job_status(response, ref, &report);
		break;
	case RESPONDER_THIS_LEADER:
		fl_leader_respond_job_status(node, ref, response);
		break;
	case RESPONDER_LEADER_FOR_PEER:
		respond_to_peer(node, FL_REQUEST_STATUS, ref, response);
		break;
	case RESPONDER_LEADER:
		query_leader_or_records(node, ref, response);
		break;
	}
}

void fl_handle_cancellation(struct fl_node *node, const char *ref, enum fl_forward_hop hop,
                            struct fl_http_response *response)
{
	switch (find_responder(node, ref, hop, response)) {
	case RESPONDER_ANSWERED:
		break;
	case RESPONDER_FINISHED_JOB:
		fl_respond_cancellation(response, ref,
		                        fl_finished_job_find(&node->cluster, ref)->status);
		break;
	case RESPONDER_THIS_LEADER:
		fl_leader_cancel_job(node, ref, response);
		break;
	case RESPONDER_LEADER_FOR_PEER:
		respond_to_peer(node, FL_REQUEST_CANCEL, ref, response);
		break;
	case RESPONDER_LEADER:
		forward_cancellation(node, ref, response);
		break;
	}
}
