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

static char *encode_queries(const void *context, bool last_hop, bool disconnected)
{
	const struct fl_status_batch *batch = context;

	(void)last_hop, (void)disconnected;
	return fl_status_query_encode(batch->refs, batch->count);
}

static int decode_answers(void *into, const char *body, size_t len)
{
	struct fl_status_batch *batch = into;

	return fl_status_answer_decode(body, len, batch->states, batch->count);
}

/* Directly only: a query that must go through a third controller goes by itself. */
static enum fl_forward_result exchange(struct fl_node *node, struct fl_batch *shared)
{
	struct fl_status_batch *batch = (struct fl_status_batch *)shared;
	const struct fl_forward_request request = {.path = FL_PATH_STATUS,
	                                           .encode = encode_queries,
	                                           .context = batch,
	                                           .hop = FL_HOP_LAST,
	                                           .timeout_s = tunables.patience_s};

	return fl_forward_and_decode(node, &request, decode_answers, batch);
}

static enum fl_query_result result_of(const struct fl_status_batch *batch, int at,
                                      enum fl_forward_result forwarded,
                                      struct fl_http_response *response)
{
	const struct fl_job_status_report *status = &batch->states[at];

	if (forwarded != FL_FORWARD_ANSWERED)
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
	enum fl_forward_result forwarded;
	int at;

	if (first) {
		if (!fl_forward_leader_is_reachable(node))
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
	forwarded = fl_batch_await(node, queue, &batch->batch, first, &terms);
	result = result_of(batch, at, forwarded, response);
	if (fl_batch_release(&batch->batch))
		free(batch);
	return result;
}

void fl_status_query_serve(struct fl_node *node, const char *body, size_t len,
                           struct fl_http_response *response)
{
	char(*refs)[FL_REF_MAX] = calloc(FL_STATUS_QUERY_MAX, sizeof(*refs));
	struct fl_job_status_report *states = calloc(FL_STATUS_QUERY_MAX, sizeof(*states));
	int count = refs && states ? fl_status_query_decode(body, len, refs) : -ENOMEM;

	if (count == -EPROTO) {
		fl_error("peers", "what came as status queries are none");
		fl_respond_error(response, 400, "not status queries");
	} else if (count < 0) {
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
