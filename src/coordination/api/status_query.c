#include "coordination/api/status_query.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/api/job_responses.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "protocol/status_messages.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double wait_s; /* s until a request may be sent */
	/*
	 * s for a request; users wait 2 s. Found with 3% of a core and 1,900 jobs asked about: an
	 * overloaded leader stands still for a second at a time, and with 0.8 s all that asked then
	 * went to the records, which cannot answer so many.
	 */
	double patience_s;
	int in_flight; /* requests to the leader at once: one that stalls must not hold up all */
} tunables = {
	.wait_s = 0.5,
	.patience_s = 1.2,
	.in_flight = FL_STATUS_REQUESTS_MAX,
};

struct fl_status_batch {
	struct fl_batch batch;
	int count;
	char refs[FL_STATUS_QUERY_MAX][FL_REF_MAX];
	struct fl_job_status_report states[FL_STATUS_QUERY_MAX];
};

static struct fl_peer *leading_peer(struct fl_node *node)
{
	struct fl_peer *leader = fl_peer_find(node, node->leader_view.leader);

	return leader && (leader->up || node->peer_count == 1) ? leader : NULL;
}

static int exchange(struct fl_node *node, struct fl_batch *batch)
{
	struct fl_status_batch *b = (struct fl_status_batch *)batch;
	struct fl_peer *leader = leading_peer(node);
	struct fl_http_reply reply;
	char *text;
	enum fl_decode_result result;
	int rc;

	if (!leader)
		return -EHOSTUNREACH;
	text = fl_status_query_encode(b->refs, b->count);
	if (!text)
		return -ENOMEM;
	rc = fl_http_call(&leader->http, "POST", FL_PATH_STATUS, text, tunables.patience_s, &reply);
	free(text);
	if (rc)
		return rc;
	if (reply.status != 200) {
		fl_buffer_free(&reply.body);
		return -EHOSTUNREACH;
	}
	result = fl_status_answer_decode(reply.body.data, reply.body.length, b->states, b->count);
	if (result == FL_DECODE_MALFORMED)
		fl_error("peers", "%s answers status queries with what is no answer", leader->name);
	fl_buffer_free(&reply.body);
	return result == FL_DECODE_OK ? 0 : -EPROTO;
}

static enum fl_query_result result_of(const struct fl_status_batch *batch, int at, int rc,
                                      struct fl_http_response *response)
{
	const struct fl_job_status_report *status = &batch->states[at];

	if (rc)
		return FL_QUERY_FAILED;
	if (!status->known)
		return FL_QUERY_NOT_IN_MEMORY;
	response->status = 200;
	response->body = fl_status_encode(batch->refs[at], status->status, status->done_count,
	                                  status->running_count);
	return FL_QUERY_ANSWERED;
}

enum fl_query_result fl_status_query(struct fl_node *node, const char *ref,
                                     struct fl_http_response *response)
{
	const struct fl_batch_policy terms = {tunables.in_flight, tunables.wait_s,
	                                      tunables.patience_s, exchange};
	struct fl_batch_queue *queue = &node->api.status_queries;
	struct fl_status_batch *batch = (struct fl_status_batch *)queue->filling;
	bool first = !batch;
	enum fl_query_result result;
	int at, rc;

	if (first) {
		if (!leading_peer(node))
			return FL_QUERY_FAILED;
		batch = calloc(1, sizeof(*batch));
		if (!batch)
			return FL_QUERY_OVERLOADED;
		fl_batch_begin(queue, &batch->batch);
	} else if (batch->count == FL_STATUS_QUERY_MAX) {
		return FL_QUERY_OVERLOADED;
	}
	at = batch->count++;
	fl_copy_string(batch->refs[at], sizeof(batch->refs[at]), ref);
	rc = fl_batch_await(node, queue, &batch->batch, first, &terms);
	result = result_of(batch, at, rc, response);
	if (fl_batch_release(&batch->batch))
		free(batch);
	return result;
}

void fl_status_query_serve(struct fl_node *node, const char *body, size_t len,
                           struct fl_http_response *response)
{
	char(*refs)[FL_REF_MAX] = calloc(FL_STATUS_QUERY_MAX, sizeof(*refs));
	struct fl_job_status_report *states = calloc(FL_STATUS_QUERY_MAX, sizeof(*states));
	enum fl_decode_result result = FL_DECODE_NO_MEMORY;
	int count = 0;

	if (refs && states)
		result = fl_status_query_decode(body, len, refs, &count);
	if (result == FL_DECODE_MALFORMED) {
		fl_error("peers", "what came as status queries are none");
		fl_respond_error(response, 400, "not status queries");
	} else if (result == FL_DECODE_NO_MEMORY) {
		fl_respond_unavailable(response, "no memory");
	} else if (!fl_is_leader(node)) {
		fl_respond_error(response, 421, "not the leader");
	} else {
		/* No wait from here on: all of it is said under the lease that was looked at. */
		for (int i = 0; i < count; i++)
			states[i] = fl_job_status_from_memory(node, refs[i]);
		response->status = 200;
		response->body = fl_status_answer_encode(states, count);
	}
	free(refs);
	free(states);
}
