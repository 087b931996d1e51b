#include "coordination/api/user_requests.h"

#include <stdio.h>

#include "coordination/api/job_responses.h"
#include "coordination/node.h"
#include "coordination/follower/isolation.h"
#include "coordination/responses.h"
#include "coordination/api/status_query.h"
#include "transport/clock.h"

static const struct {
	double relay_s, relay_write_s;
} tunables = {
	.relay_s = 1.2,       /* s for a relayed poll; users wait 2 s for it */
	.relay_write_s = 2.0, /* s for a relayed cancel or submission; users wait 5 s */
};

double fl_user_request_timeout_s(enum fl_user_request kind)
{
	return kind == FL_USER_REQUEST_STATUS ? tunables.relay_s : tunables.relay_write_s;
}

/* Polls leave half of the places to cancellations and submissions. */
static bool may_forward(const struct fl_node *node, enum fl_user_request kind)
{
	int most = kind == FL_USER_REQUEST_STATUS ? FL_PEER_USER_REQUESTS_MAX / 2
	                                          : FL_PEER_USER_REQUESTS_MAX;

	return node->api.forwarded_in_flight < most;
}

struct forwarded_call {
	enum fl_user_request call;
	const char *ref, *body;
};

static char *encode_call(const void *context, bool last_hop, bool disconnected)
{
	const struct forwarded_call *c = context;

	(void)disconnected;
	return fl_forwarded_request_encode(c->call, last_hop, c->ref, c->body);
}

enum fl_forward_result fl_user_request_forward(struct fl_node *node, enum fl_user_request kind,
                                               const char *ref, const char *body,
                                               enum fl_forward_hop hop, double patience_s,
                                               struct fl_http_reply *reply)
{
	struct forwarded_call relayed = {kind, ref, body};
	const struct fl_forward_request request = {.path = FL_PATH_FORWARD,
	                                           .encode = encode_call,
	                                           .context = &relayed,
	                                           .hop = hop,
	                                           .timeout_s = patience_s};
	enum fl_forward_result result;

	if (!may_forward(node, kind))
		return FL_FORWARD_OVERLOADED;
	node->api.forwarded_in_flight++;
	result = fl_forward(node, &request, reply);
	node->api.forwarded_in_flight--;
	return result;
}

/* Tasks of a job, summed over its progress records. */
struct progress {
	uint32_t done, placed;
};

static void count_progress(void *context, const struct fl_kv_event *event)
{
	struct progress *progress = context;

	fl_task_block_count(event->value, &progress->done, &progress->placed);
}

/* Without a leader in reach, the records themselves answer: never older than what was told. */
static void respond_status_from_records(struct fl_node *node, const char *ref,
                                        struct fl_http_response *response)
{
	struct fl_job_record record;
	struct progress progress = {0};
	char key[FL_KEY_MAX];
	uint64_t revision;
	cJSON *value = NULL;
	enum fl_record_result result = fl_job_lookup_read(node, ref, &record, &value, &revision);

	/* What a user is told here, the other controllers must hear from here. */
	if (result == FL_RECORD_FOUND && record.final && value)
		fl_cluster_learn_cancelled(&node->cluster, ref, fl_since(record.cancelled_wall));
	cJSON_Delete(value);
	if (result == FL_RECORD_NOT_FOUND) {
		fl_respond_error(response, 404, "no such job");
		return;
	}
	if (result != FL_RECORD_FOUND) {
		fl_respond_unavailable(response,
		                       "neither the leader nor the state service answers");
		return;
	}
	if (record.final) {
		response->status = 200;
		response->body = fl_status_encode(
			ref, record.status, record.status == FL_DONE ? record.task_count : 0, 0);
		return;
	}
	if (!fl_job_lookup_within_budget(node, 1)) {
		fl_respond_unavailable(response, "there are too many questions at the moment");
		return;
	}
	snprintf(key, sizeof(key), FL_PREFIX_PROGRESS "%s/", ref);
	fl_kv_list(&node->kv_store, key, count_progress, &progress, &revision);
	response->status = 200;
	response->body = fl_status_encode(ref, progress.placed ? FL_RUNNING : FL_PENDING,
	                                  progress.done, progress.placed);
}

/* Takes a relayed call's answer over; false if there is none that a user can be given. */
static bool take_reply(enum fl_forward_result result, struct fl_http_reply *reply,
                       struct fl_http_response *response)
{
	if (result != FL_FORWARD_ANSWERED)
		return false;
	if (reply->status == 200 || reply->status == 404) {
		response->status = reply->status;
		response->body = reply->body.data;
		return true;
	}
	fl_buffer_free(&reply->body);
	return false;
}

static void forward_status_query(struct fl_node *node, const char *ref,
                                 struct fl_http_response *response)
{
	double came = fl_now(), left;
	struct fl_http_reply reply;

	switch (fl_status_query(node, ref, response)) {
	case FL_QUERY_ANSWERED:
		return;
	case FL_QUERY_OVERLOADED:
		fl_respond_unavailable(response, "there are too many questions at the moment");
		return;
	case FL_QUERY_NOT_IN_MEMORY:
	case FL_QUERY_FAILED:
		break;
	}
	left = came + tunables.relay_s - fl_now();
	if (left <= 0 || !take_reply(fl_user_request_forward(node, FL_USER_REQUEST_STATUS, ref,
	                                                     NULL, FL_HOP_FIRST, left, &reply),
	                             &reply, response))
		respond_status_from_records(node, ref, response);
}

/* For another controller: only the leader answers, so this is passed on once at most. */
static void forward_for_peer(struct fl_node *node, enum fl_user_request kind, const char *ref,
                             enum fl_forward_hop hop, struct fl_http_response *response)
{
	double patience = fl_user_request_timeout_s(kind);
	struct fl_http_reply reply;

	if (!take_reply(fl_user_request_forward(node, kind, ref, NULL, hop, patience, &reply),
	                &reply, response))
		fl_respond_error(response, 421, "not the leader");
}

static void forward_cancel(struct fl_node *node, const char *ref, struct fl_http_response *response)
{
	struct fl_http_reply reply;
	enum fl_forward_result result =
		fl_user_request_forward(node, FL_USER_REQUEST_CANCEL, ref, NULL, FL_HOP_FIRST,
	                                tunables.relay_write_s, &reply);

	if (!take_reply(result, &reply, response))
		fl_respond_unavailable(response, "there is no leader at the moment");
}

void fl_respond_status_or_cancel(struct fl_node *node, enum fl_user_request kind, const char *ref,
                                 enum fl_forward_hop hop, struct fl_http_response *response)
{
	struct fl_finished_job *finished;

	if (!ref[0]) {
		fl_respond_error(response, 404, "no such job");
		return;
	}
	finished = fl_finished_job_find(&node->cluster, ref);
	if (finished) {
		response->status = 200;
		response->body = fl_status_encode(ref, finished->status,
		                                  kind == FL_USER_REQUEST_CANCEL ? -1
		                                  : finished->status == FL_DONE
		                                          ? (int64_t)finished->task_count
		                                          : 0,
		                                  0);
		return;
	}
	if (fl_is_leader(node)) {
		if (kind == FL_USER_REQUEST_STATUS)
			fl_respond_job_status(node, ref, response);
		else
			fl_respond_cancel(node, ref, response);
		return;
	}
	if (fl_node_is_isolated(node)) {
		fl_respond_unavailable(response,
		                       "neither the state service nor another controller answers");
		return;
	}
	if (hop)
		forward_for_peer(node, kind, ref, hop, response);
	else if (kind == FL_USER_REQUEST_STATUS)
		forward_status_query(node, ref, response);
	else
		forward_cancel(node, ref, response);
}
