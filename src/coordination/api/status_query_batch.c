#include "coordination/api/status_query_batch.h"

#include <stdlib.h>

#include "coordination/api/status_from_leader.h"
#include "coordination/api/job_status_response.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "protocol/status_messages.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double send_timeout_s; /* maximum wait of a batch until it may be sent */
	/*
	 * For one request; users wait 2 s. An overloaded leader (3% of a core, 1,900 jobs queried)
	 * does not respond for a second at a time: with 0.8 s, all queries of such a second fell
	 * back to the records, and the key-value store cannot serve that many reads.
	 */
	double request_timeout_s;
	int max_in_flight; /* more than one, so that a stalled request does not block the rest */
} tunables = {
	.send_timeout_s = 0.5,
	.request_timeout_s = 1.2,
	.max_in_flight = FL_STATUS_REQUESTS_MAX,
};

/* Queries that share a request. */
struct status_batch {
	struct fl_batch base; /* must be first: see fl_batch */
	int count;
	char refs[FL_STATUS_QUERY_JOBS_MAX][FL_REF_MAX];
	struct fl_job_status_report reports[FL_STATUS_QUERY_JOBS_MAX];
};

static char *encode_queries(const void *context, const struct fl_forward_flags *flags)
{
	const struct status_batch *batch = context;

	(void)flags;
	return fl_status_query_encode(batch->refs, batch->count);
}

static enum fl_decode_result decode_answers(void *decode_context, const char *body, size_t len)
{
	struct status_batch *batch = decode_context;

	return fl_status_answer_decode(body, len, batch->reports, batch->count);
}

/*
 * Sends a batch to the leader directly. Queries that have to pass through a third controller are
 * forwarded one by one instead.
 */
static enum fl_forward_result exchange_batch(struct fl_node *node, struct fl_batch *base)
{
	struct status_batch *batch = (struct status_batch *)base;
	const struct fl_forward_request request = {.path = FL_PATH_STATUS,
	                                           .encode = encode_queries,
	                                           .context = batch,
	                                           .hop = FL_HOP_LAST,
	                                           .timeout_s = tunables.request_timeout_s};

	return fl_forward_and_decode(node, &request, decode_answers, batch);
}

/* Returns the open batch, begun if there is none; NULL if it is full or memory is exhausted. */
static struct status_batch *find_batch(struct fl_batch_queue *queue)
{
	struct status_batch *batch = (struct status_batch *)queue->open_batch;

	if (batch)
		return batch->count < FL_STATUS_QUERY_JOBS_MAX ? batch : NULL;
	batch = calloc(1, sizeof(*batch));
	if (batch)
		fl_batch_begin(queue, &batch->base);
	return batch;
}

/* Answers one query of a batch whose exchange has succeeded. */
static enum fl_query_result respond_from_batch(const struct status_batch *batch, int index,
                                               struct fl_http_response *response)
{
	if (!batch->reports[index].status_known)
		return FL_QUERY_NOT_IN_MEMORY;
	fl_respond_job_status(response, batch->refs[index], &batch->reports[index]);
	return FL_QUERY_ANSWERED;
}

enum fl_query_result fl_status_query_send(struct fl_node *node, const char *ref,
                                          struct fl_http_response *response)
{
	const struct fl_batch_policy policy = {tunables.max_in_flight, tunables.send_timeout_s,
	                                       tunables.request_timeout_s, exchange_batch};
	struct fl_batch_queue *queue = &node->api.status_queries;
	enum fl_query_result result = FL_QUERY_FAILED;
	struct status_batch *batch;
	int index;

	if (!queue->open_batch && !fl_forward_leader_is_reachable(node))
		return FL_QUERY_FAILED;
	batch = find_batch(queue);
	if (!batch)
		return FL_QUERY_OVERLOADED;
	index = batch->count++;
	fl_copy_string(batch->refs[index], sizeof(batch->refs[index]), ref);
	if (fl_batch_await(node, queue, &batch->base, &policy) == FL_FORWARD_ANSWERED)
		result = respond_from_batch(batch, index, response);
	if (fl_batch_release(&batch->base))
		free(batch);
	return result;
}

void fl_status_query_serve(struct fl_node *node, const char *body, size_t len,
                           struct fl_http_response *response)
{
	char(*refs)[FL_REF_MAX] = calloc(FL_STATUS_QUERY_JOBS_MAX, sizeof(*refs));
	struct fl_job_status_report *reports = calloc(FL_STATUS_QUERY_JOBS_MAX, sizeof(*reports));
	enum fl_decode_result result = FL_DECODE_NO_MEMORY;
	int count = 0;

	if (refs && reports)
		result = fl_status_query_decode(body, len, refs, &count);
	if (result == FL_DECODE_NO_MEMORY) {
		fl_respond_unavailable(response, "memory is low");
	} else if (result == FL_DECODE_MALFORMED) {
		fl_error("peers", "status queries malformed; request rejected");
		fl_respond_error(response, 400, "malformed status queries");
	} else if (!fl_is_leader(node)) {
		fl_respond_error(response, 421, "not the leader");
	} else {
		/* Nothing below waits, so the lease just checked covers every report. */
		for (int i = 0; i < count; i++)
			reports[i] = fl_job_status_from_memory(&node->cluster, refs[i]);
		response->status = 200;
		response->body = fl_status_answer_encode(reports, count);
	}
	free(refs);
	free(reports);
}
