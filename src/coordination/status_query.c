#include "coordination/status_query.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/answer.h"
#include "coordination/node.h"
#include "protocol/job_states.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double patience_s; /* s for a request; users wait 2 s and may need another way after it */
	int in_flight; /* requests to the leader at once: one that stalls must not hold up all */
} tunables = {
	.patience_s = 0.8,
	.in_flight = 2,
};

struct fl_status_batch {
	int users; /* routines that hold it */
	bool over;
	struct fl_signal done;
	int rc;
	int n;
	char ref[FL_STATUS_QUERY_MAX][FL_REF_MAX];
	struct fl_job_state state[FL_STATUS_QUERY_MAX];
};

static void let_go(struct fl_status_batch *b)
{
	if (--b->users == 0)
		free(b);
}

static int exchange(struct fl_peer *leader, struct fl_status_batch *b, double timeout_s)
{
	struct fl_reply reply;
	char *text = fl_status_query_encode(b->ref, b->n);
	int rc;

	if (!text)
		return -ENOMEM;
	rc = fl_http_call(&leader->http, "POST", FL_PATH_STATUS, text, timeout_s, &reply);
	free(text);
	if (rc)
		return rc;
	rc = reply.status != 200
	             ? -EHOSTUNREACH
	             : fl_status_answer_decode(reply.body.data, reply.body.len, b->state, b->n);
	if (rc == -EPROTO)
		fl_error("peers", "%s answers status queries with what is no answer", leader->name);
	fl_buf_free(&reply.body);
	return rc;
}

static struct fl_peer *leading_peer(struct fl_node *n)
{
	struct fl_peer *leader = fl_peer_find(n, n->leader);

	return leader && (leader->up || n->n_peers == 1) ? leader : NULL;
}

/* Sends the batch when a request may be sent; who comes later is in the next one. */
static void send_batch(struct fl_node *n, struct fl_status_batch *b)
{
	struct fl_status_queries *q = &n->status_queries;
	double until = fl_now() + tunables.patience_s;
	struct fl_peer *leader;

	while (q->in_flight >= tunables.in_flight && fl_now() < until)
		if (fl_signal_wait(&q->landed, until - fl_now()) == -ECANCELED)
			break;
	q->filling = NULL;
	leader = leading_peer(n);
	b->rc = -EHOSTUNREACH;
	if (leader && q->in_flight < tunables.in_flight) {
		q->in_flight++;
		b->rc = exchange(leader, b, tunables.patience_s);
		q->in_flight--;
		fl_signal_wake(&q->landed);
	}
	b->over = true;
	fl_signal_wake(&b->done);
}

static int await_batch(struct fl_status_batch *b)
{
	double until = fl_now() + 2 * tunables.patience_s;

	while (!b->over && fl_now() < until)
		if (fl_signal_wait(&b->done, until - fl_now()) == -ECANCELED)
			return -ECANCELED;
	return b->over ? b->rc : -ETIMEDOUT;
}

static enum fl_query_result result_of(const struct fl_status_batch *b, int at, int rc,
                                      struct fl_response *resp)
{
	const struct fl_job_state *s = &b->state[at];

	if (rc)
		return FL_QUERY_FAILED;
	if (!s->known)
		return FL_QUERY_UNSETTLED;
	resp->status = 200;
	resp->body = fl_status_encode(b->ref[at], s->status, s->done, s->running);
	return FL_QUERY_ANSWERED;
}

enum fl_query_result fl_status_query(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_status_batch *b = n->status_queries.filling;
	bool first = !b;
	enum fl_query_result result;
	int at, rc;

	if (first) {
		if (!leading_peer(n))
			return FL_QUERY_FAILED;
		b = calloc(1, sizeof(*b));
		if (!b)
			return FL_QUERY_OVERLOADED;
		n->status_queries.filling = b;
	} else if (b->n == FL_STATUS_QUERY_MAX) {
		return FL_QUERY_OVERLOADED;
	}
	at = b->n++;
	fl_copy_string(b->ref[at], sizeof(b->ref[at]), ref);
	b->users++;
	if (first)
		send_batch(n, b);
	rc = first ? b->rc : await_batch(b);
	result = result_of(b, at, rc, resp);
	let_go(b);
	return result;
}

void fl_status_query_serve(struct fl_node *n, const char *body, size_t len,
                           struct fl_response *resp)
{
	char(*refs)[FL_REF_MAX] = calloc(FL_STATUS_QUERY_MAX, sizeof(*refs));
	struct fl_job_state *states = calloc(FL_STATUS_QUERY_MAX, sizeof(*states));
	int count = refs && states ? fl_status_query_decode(body, len, refs) : -ENOMEM;

	if (count == -EPROTO) {
		fl_error("peers", "what came as status queries are none");
		fl_refuse(resp, 400, "not status queries");
	} else if (count < 0) {
		fl_later(resp, "no memory");
	} else if (!fl_leading(n)) {
		fl_refuse(resp, 421, "not the leader");
	} else {
		/* No wait from here on: all of it is said under the lease that was looked at. */
		for (int i = 0; i < count; i++)
			states[i] = fl_answer_from_memory(n, refs[i]);
		resp->status = 200;
		resp->body = fl_status_answer_encode(states, count);
	}
	free(refs);
	free(states);
}
