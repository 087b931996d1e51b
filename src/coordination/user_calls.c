#include "coordination/user_calls.h"

#include <errno.h>
#include <stdio.h>

#include "coordination/answer.h"
#include "coordination/node.h"
#include "coordination/status_query.h"
#include "transport/clock.h"

static const struct {
	double relay_s, relay_write_s;
} tunables = {
	.relay_s = 1.2,       /* s for a relayed poll; users wait 2 s for it */
	.relay_write_s = 2.0, /* s for a relayed cancel or submission; users wait 5 s */
};

double fl_user_call_patience_s(enum fl_user_call call)
{
	return call == FL_CALL_POLL ? tunables.relay_s : tunables.relay_write_s;
}

/* Polls leave half of the places to cancellations and submissions. */
static bool may_relay(const struct fl_node *n, enum fl_user_call call)
{
	int most = call == FL_CALL_POLL ? FL_PEER_CALLS_MAX / 2 : FL_PEER_CALLS_MAX;

	return n->forwarded_requests < most;
}

struct forwarded_call {
	enum fl_user_call call;
	const char *ref, *body;
};

static char *encode_call(const void *ctx, bool last_hop, bool disconnected)
{
	const struct forwarded_call *c = ctx;

	(void)disconnected;
	return fl_forwarded_request_encode(c->call, last_hop, c->ref, c->body);
}

int fl_user_call_relay(struct fl_node *n, enum fl_user_call call, const char *ref, const char *body,
                       enum fl_hop hop, double patience_s, struct fl_reply *reply)
{
	struct forwarded_call relayed = {call, ref, body};
	int rc;

	if (!may_relay(n, call))
		return -EBUSY;
	n->forwarded_requests++;
	rc = fl_forward(n, FL_PATH_FORWARD, encode_call, &relayed, hop, patience_s, reply);
	n->forwarded_requests--;
	return rc;
}

/* Tasks of a job, summed over its progress records. */
struct progress {
	uint32_t done, placed;
};

static void count_progress(void *ctx, const struct fl_kv_event *event)
{
	struct progress *p = ctx;

	fl_task_block_count(event->value, &p->done, &p->placed);
}

/* Without a leader in reach, the records themselves answer: never older than what was told. */
static void poll_records(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_job_record record;
	struct progress p = {0};
	char key[FL_KEY_MAX];
	uint64_t revision;
	cJSON *v = NULL;
	int rc = fl_job_lookup_read(n, ref, &record, &v, &revision);

	/* What a user is told here, the other controllers must hear from here. */
	if (rc == 0 && record.final && v)
		fl_cluster_learn_cancelled(&n->cluster, ref, fl_since(record.cancelled_wall));
	cJSON_Delete(v);
	if (rc == -ENOENT) {
		fl_refuse(resp, 404, "no such job");
		return;
	}
	if (rc) {
		fl_later(resp, "neither the leader nor the state service answers");
		return;
	}
	if (record.final) {
		resp->status = 200;
		resp->body = fl_status_encode(ref, record.status,
		                              record.status == FL_DONE ? record.task_count : 0, 0);
		return;
	}
	if (!fl_job_lookup_affords(n, 1)) {
		fl_later(resp, "there are too many questions at the moment");
		return;
	}
	snprintf(key, sizeof(key), FL_PREFIX_PROGRESS "%s/", ref);
	fl_kv_list(&n->kv_store, key, count_progress, &p, &revision);
	resp->status = 200;
	resp->body = fl_status_encode(ref, p.placed ? FL_RUNNING : FL_PENDING, p.done, p.placed);
}

/* Takes a relayed call's answer over; false if there is none that a user can be given. */
static bool take_reply(int rc, struct fl_reply *reply, struct fl_response *resp)
{
	if (rc != 0)
		return false;
	if (reply->status == 200 || reply->status == 404) {
		resp->status = reply->status;
		resp->body = reply->body.data;
		return true;
	}
	fl_buf_free(&reply->body);
	return false;
}

static void answer_relayed_poll(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	double came = fl_now(), left;
	struct fl_reply reply;

	switch (fl_status_query(n, ref, resp)) {
	case FL_QUERY_ANSWERED:
		return;
	case FL_QUERY_OVERLOADED:
		fl_later(resp, "there are too many questions at the moment");
		return;
	case FL_QUERY_UNSETTLED:
	case FL_QUERY_FAILED:
		break;
	}
	left = came + tunables.relay_s - fl_now();
	if (left <= 0 ||
	    !take_reply(fl_user_call_relay(n, FL_CALL_POLL, ref, NULL, FL_FIRST_HOP, left, &reply),
	                &reply, resp))
		poll_records(n, ref, resp);
}

/* For another controller: only the leader answers, so this is passed on once at most. */
static void answer_for_peer(struct fl_node *n, enum fl_user_call call, const char *ref,
                            enum fl_hop hop, struct fl_response *resp)
{
	double patience = fl_user_call_patience_s(call);
	struct fl_reply reply;

	if (!take_reply(fl_user_call_relay(n, call, ref, NULL, hop, patience, &reply), &reply,
	                resp))
		fl_refuse(resp, 421, "not the leader");
}

static void answer_relayed_cancel(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_reply reply;
	int rc = fl_user_call_relay(n, FL_CALL_CANCEL, ref, NULL, FL_FIRST_HOP,
	                            tunables.relay_write_s, &reply);

	if (!take_reply(rc, &reply, resp))
		fl_later(resp, "there is no leader at the moment");
}

void fl_poll_or_cancel(struct fl_node *n, enum fl_user_call call, const char *ref, enum fl_hop hop,
                       struct fl_response *resp)
{
	struct fl_finished_job *finished;

	if (!ref[0]) {
		fl_refuse(resp, 404, "no such job");
		return;
	}
	finished = fl_finished_job_find(&n->cluster, ref);
	if (finished) {
		resp->status = 200;
		resp->body = fl_status_encode(ref, (enum fl_job_status)finished->status,
		                              call == FL_CALL_CANCEL ? -1
		                              : finished->status == FL_DONE
		                                      ? (int64_t)finished->task_count
		                                      : 0,
		                              0);
		return;
	}
	if (fl_is_leader(n)) {
		if (call == FL_CALL_POLL)
			fl_answer_poll(n, ref, resp);
		else
			fl_answer_cancel(n, ref, resp);
		return;
	}
	if (fl_follower_is_isolated(n)) {
		fl_later(resp, "neither the state service nor another controller answers");
		return;
	}
	if (hop)
		answer_for_peer(n, call, ref, hop, resp);
	else if (call == FL_CALL_POLL)
		answer_relayed_poll(n, ref, resp);
	else
		answer_relayed_cancel(n, ref, resp);
}
