#include "coordination/report_relay.h"

#include <errno.h>
#include <stdlib.h>

#include "coordination/node.h"
#include "protocol/peer_reports.h"
#include "transport/log.h"

static const struct {
	double wait_s, patience_s;
	int in_flight;
} tunables = {
	.wait_s = 0.75,    /* s until a message is sent; then the worker is renewed from here */
	.patience_s = 1.5, /* s for the leader's answers; the worker gives up after 4 */
	.in_flight = FL_REPORT_REQUESTS_MAX, /* one that stalls must not hold up all */
};

/* The reports of one message, and their answers. */
struct report_batch {
	struct fl_batch batch;
	cJSON *reports;
	size_t bytes;
	int n;
	struct fl_report_answer answer[FL_PEER_REPORTS_MAX];
};

/* What a message is made of, for fl_relay. */
struct message {
	cJSON *reports;
	const char *via;
};

static char *encode(const void *ctx, bool last_hop, bool disconnected)
{
	const struct message *m = ctx;

	return fl_peer_reports_encode(m->reports, m->via, last_hop, disconnected);
}

static int exchange(struct fl_node *n, struct fl_batch *batch)
{
	struct report_batch *b = (struct report_batch *)batch;
	struct message m = {b->reports, n->config->node};
	struct fl_reply reply;
	int rc =
		fl_relay(n, FL_PATH_REPORTS, encode, &m, FL_FIRST_HOP, tunables.patience_s, &reply);

	if (rc)
		return rc;
	rc = reply.status != 200
	             ? -EHOSTUNREACH
	             : fl_report_answers_decode(reply.body.data, reply.body.len, b->answer, b->n);
	if (rc == -EPROTO)
		fl_error("peers", "%s answers reports with what is no answer", n->leader_name);
	fl_buf_free(&reply.body);
	return rc;
}

static void free_batch(struct report_batch *b)
{
	for (int i = 0; i < b->n; i++)
		free(b->answer[i].body);
	cJSON_Delete(b->reports);
	free(b);
}

/* The batch that this report goes into: the one being filled, or a new one. NULL: no memory. */
static struct report_batch *batch_for(struct fl_batch_queue *q, size_t len, bool *began)
{
	struct report_batch *b = (struct report_batch *)q->filling;

	if (b && (b->n == FL_PEER_REPORTS_MAX || b->bytes + len > FL_PEER_REPORTS_BYTES)) {
		fl_batch_close(q);
		b = NULL;
	}
	*began = !b;
	if (b)
		return b;
	b = calloc(1, sizeof(*b));
	if (!b)
		return NULL;
	b->reports = fl_report_list_begin();
	fl_batch_begin(q, &b->batch);
	return b;
}

static int take_answer(struct fl_report_answer *answer, struct fl_response *resp)
{
	if (answer->status != 200)
		return -EHOSTUNREACH;
	resp->status = answer->status;
	resp->body = answer->body;
	answer->body = NULL;
	return 0;
}

int fl_report_relay(struct fl_node *n, const char *body, size_t len, struct fl_response *resp)
{
	const struct fl_batch_terms terms = {tunables.in_flight, tunables.wait_s,
	                                     tunables.patience_s, exchange};
	struct fl_batch_queue *q = &n->report_relays;
	struct report_batch *b;
	bool began;
	int at, rc;

	if (len > FL_PEER_REPORTS_BYTES)
		return -EMSGSIZE;
	b = batch_for(q, len, &began);
	if (!b)
		return -ENOMEM;
	at = b->n++;
	b->bytes += len;
	fl_report_list_add(b->reports, body);
	rc = fl_batch_settle(n, q, &b->batch, began, &terms);
	if (!rc)
		rc = take_answer(&b->answer[at], resp);
	if (fl_batch_release(&b->batch))
		free_batch(b);
	return rc;
}

/* ---- for another controller ---- */

/* No wait from here on: all of them are answered under the lease that was looked at. */
static void answer_all(struct fl_node *n, const struct fl_peer_reports *m, struct fl_response *resp)
{
	struct fl_report_answer answers[FL_PEER_REPORTS_MAX] = {0};
	int via = fl_node_index(n, m->via), count = 0;
	const cJSON *e;

	cJSON_ArrayForEach (e, m->list) {
		struct fl_response one = {.status = 500};
		struct fl_report r;

		if (fl_report_decode_tree(e, &r) == 0) {
			r.via = via;
			fl_standby_answer_leading(n, &r, &one);
			fl_report_free(&r);
		} else {
			fl_error("peers", "what came by %s is no report", m->via);
			fl_refuse(&one, 400, "not a report");
		}
		answers[count++] = (struct fl_report_answer){one.status, one.body};
	}
	resp->status = 200;
	resp->body = fl_report_answers_encode(answers, count);
	for (int i = 0; i < count; i++)
		free(answers[i].body);
}

/* The sender is cut from the state service too: its reports go with our digest. */
static void cache_all(struct fl_node *n, const struct fl_peer_reports *m)
{
	const cJSON *e;

	cJSON_ArrayForEach (e, m->list) {
		struct fl_report r;

		if (fl_report_decode_tree(e, &r) != 0)
			continue;
		fl_report_cache(n, &r);
		fl_report_free(&r);
	}
}

static void pass_on(struct fl_node *n, const struct fl_peer_reports *m, struct fl_response *resp)
{
	struct message again = {(cJSON *)m->list, m->via};
	struct fl_reply reply;
	int rc = fl_relay(n, FL_PATH_REPORTS, encode, &again, FL_LAST_HOP, tunables.patience_s,
	                  &reply);

	if (rc == 0 && reply.status == 200) {
		resp->status = 200;
		resp->body = reply.body.data;
		return;
	}
	if (rc == 0)
		fl_buf_free(&reply.body);
	if (m->disconnected)
		cache_all(n, m);
	fl_refuse(resp, 421, "not the leader");
}

void fl_report_relay_serve(struct fl_node *n, const char *body, size_t len,
                           struct fl_response *resp)
{
	struct fl_peer_reports m;

	if (fl_peer_reports_decode(body, len, &m) != 0) {
		fl_error("peers", "what came as reports is none");
		fl_refuse(resp, 400, "not reports");
		return;
	}
	if (fl_is_leader(n))
		answer_all(n, &m, resp);
	else if (fl_relay_ends_here(n, m.last_hop))
		fl_refuse(resp, 421, "not the leader");
	else
		pass_on(n, &m, resp);
	fl_peer_reports_free(&m);
}
