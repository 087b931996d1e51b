#include "coordination/node.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/answer.h"
#include "coordination/command.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/routine.h"
#include "transport/text.h"

static const struct {
	double retry_s, hold_s, relay_s, relay_write_s;
	int later_s;
	double down_s;
	int peer_conns;
	double finished_share;
	int peer_users, own_conns, polls_waiting;
	double user_least, idle_reports, idle_least_s;
} tunables = {
	.retry_s = 0.5,        /* s between tries at what a node needs before it can serve */
	.hold_s = 1.0,         /* s; length of a watch, whose end shows that nothing was missed */
	.relay_s = 1.2,        /* s for a relayed poll; users wait 2 s for it */
	.relay_write_s = 2.0,  /* s for a relayed cancel or submission; users wait 5 s */
	.later_s = 1,          /* s; Retry-After of a 503 */
	.down_s = 0.3,         /* s after a refusal in which the state service counts as down */
	.peer_conns = 6,       /* connections kept open to each peer */
	.finished_share = 0.1, /* share of the memory for final states kept at hand */
	.peer_users = 24,      /* users' calls and gossip under way to one peer */
	.own_conns = 48,       /* connections to state service, cloud and machines at once */
	.polls_waiting = 64,   /* polls that wait for a slow controller; answered within a second */
	.user_least = 0.6,    /* share of all connections that users and workers have in any case */
	.idle_reports = 4.0,  /* report intervals after which a silent connection is closed */
	.idle_least_s = 20.0, /* s for which it is kept in any case: users ask every 5 s */
};

void fl_refuse(struct fl_response *resp, int status, const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	free(resp->body);
	resp->status = status;
	resp->body = fl_json_error("%s", text);
}

void fl_later(struct fl_response *resp, const char *why)
{
	fl_refuse(resp, 503, "%s", why);
	resp->retry_after_s = tunables.later_s;
	/* The balancer may find a better node for the next try than this one. */
	resp->close = true;
}

/* ---- submissions ---- */

/* A bit for each zone where an allowed machine type that a task fits is offered. */
static uint32_t zones_for(const struct fl_node *n, const struct fl_job_spec *r)
{
	uint32_t zones = 0;

	for (int i = 0; i < n->cluster.machines.n_types; i++) {
		const struct fl_machine_type *k = &n->cluster.machines.types[i];
		bool named = r->n_machine_types < 0;

		for (int h = 0; h < r->n_machine_types && !named; h++)
			named = strcmp(r->machine_types[h], k->name) == 0;
		if (named && r->cpus <= k->cpus && r->gpus <= k->gpus && r->ram_gb <= k->ram_gb)
			zones |= k->zones;
	}
	return zones;
}

/* NULL, or why the job can never run. */
static const char *never(const struct fl_node *n, const struct fl_job_spec *r)
{
	int team = fl_teams_find(&n->cluster.teams, r->team), zone;
	bool at_once = r->kind != FL_ARRAY && r->n_tasks > 1;
	double tasks = at_once ? r->n_tasks : 1;
	uint32_t zones = zones_for(n, r);
	const struct fl_team *t;

	if (team < 0)
		return "Owner: unknown team";
	if (r->cpus <= 0 && r->gpus <= 0 && r->ram_gb <= 0)
		return "a task takes nothing of its machine";
	if (r->has_zone) {
		zone = fl_names_find(&n->cluster.zones, r->zone);
		if (zone < 0)
			return "Site: unknown zone";
		zones &= 1u << zone;
	}
	/* A type that is offered in no zone of ours cannot be rented. */
	if (!zones)
		return "a task fits no allowed machine type";
	/* An array's tasks can run one after the other; others would lack half of theirs for ever.
	 */
	if (at_once && r->apart && (r->together || !(zones & (zones - 1))))
		return "Apart: half of the tasks fit no allowed machine type";
	t = &n->cluster.teams.at[team];
	if (!fl_team_within_max(t, r->cpus * tasks, r->gpus * tasks))
		return "more than the team's limit";
	return NULL;
}

static bool state_is_down(const struct fl_node *n)
{
	return fl_state_in_doubt(&n->state) && fl_now() - n->state.last_refusal < tunables.down_s;
}

/* Polls leave half of the places to cancellations and submissions. */
static bool may_relay(const struct fl_node *n, enum fl_user_call call)
{
	int most = call == FL_CALL_POLL ? tunables.peer_users / 2 : tunables.peer_users;

	return n->relayed_calls < most;
}

static int relay_call(struct fl_node *n, enum fl_user_call call, const char *ref, const char *body,
                      enum fl_hop hop, double patience_s, struct fl_reply *reply)
{
	int rc;

	if (!may_relay(n, call))
		return -EBUSY;
	n->relayed_calls++;
	rc = fl_relay(n, call, ref, NULL, body, hop, patience_s, reply);
	n->relayed_calls--;
	return rc;
}

/* Likewise, by the leader. */
static int known_to_leader(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_reply reply;

	if (fl_lease_valid(n) ||
	    relay_call(n, FL_CALL_POLL, ref, NULL, FL_FIRST_HOP, tunables.relay_s, &reply) != 0)
		return -EAGAIN;
	if (reply.status == 200) {
		resp->status = 200;
		resp->body = reply.body.data;
		return 1;
	}
	fl_buf_free(&reply.body);
	return reply.status == 404 ? 0 : -EAGAIN;
}

/*
 * 1: known, and answered; 0: not known; <0: cannot be told now. What the state service refuses to
 * this node alone the leader can tell: else a bad submission would be told to come again, here
 * only, and its user would do so for a minute.
 */
static int answer_known(struct fl_node *n, const char *ref, enum fl_hop hop,
                        struct fl_response *resp)
{
	struct fl_job_record rec;
	uint64_t rev;
	cJSON *v = NULL;
	int rc;

	if (!fl_finished_find(&n->cluster, ref) && !fl_job_find(&n->cluster, ref)) {
		rc = state_is_down(n) ? -EAGAIN : fl_records_read(&n->state, ref, &rec, &v, &rev);
		cJSON_Delete(v);
		if (rc && rc != -ENOENT && !hop)
			return known_to_leader(n, ref, resp);
		if (rc)
			return rc == -ENOENT ? 0 : rc;
	}
	fl_node_user_call(n, FL_CALL_POLL, ref, NULL, 0, hop, resp);
	return 1;
}

static int store_job(struct fl_node *n, const struct fl_job_spec *run)
{
	double submitted = fl_wall();
	struct fl_multi m;
	struct fl_job *job;
	char key[FL_KEY_MAX];
	uint64_t rev;
	int rc;

	fl_multi_init(&m);
	fl_key_finished(key, run->ref);
	fl_multi_when(&m, key, 0);
	fl_key_job(key, run->ref);
	fl_multi_when(&m, key, 0);
	fl_multi_put(&m, key, fl_job_record_live(run, submitted), 0);
	rc = fl_state_multi(&n->state, &m, &rev, NULL);
	if (rc)
		return rc;
	if (!fl_finished_find(&n->cluster, run->ref) && !fl_job_find(&n->cluster, run->ref) &&
	    !(n->cluster.leading && rev <= n->cluster.list_rev)) {
		job = fl_job_add(&n->cluster, run, submitted, rev);
		if (job && n->lead.active) {
			n->lead.due = true;
			fl_signal_wake(&n->lead.work);
		}
	}
	return 0;
}

/*
 * The state service may refuse this node alone, or be cut from it: the leader has it. What was
 * read is sent, and not the body: a large one, escaped once more, would be over 64 KiB.
 */
static bool submit_by_leader(struct fl_node *n, const struct fl_job_spec *run,
                             struct fl_response *resp)
{
	struct fl_reply reply;
	char *text;
	int rc;

	if (fl_lease_valid(n))
		return false;
	text = fl_json_take(fl_job_spec_encode(run));
	rc = relay_call(n, FL_CALL_SUBMIT, NULL, text, FL_FIRST_HOP, tunables.relay_write_s,
	                &reply);
	free(text);
	if (rc != 0)
		return false;
	if (reply.status == 200 || reply.status == 201) {
		resp->status = reply.status;
		resp->body = reply.body.data;
		return true;
	}
	fl_buf_free(&reply.body);
	return false;
}

/*
 * Before the rest of a submission is judged: a known job is answered with its state, and what
 * cannot be read is refused for `bad`, the field. False: to be judged on.
 */
static bool answer_first(struct fl_node *n, const struct fl_job_spec *run, const char *bad,
                         enum fl_hop hop, struct fl_response *resp)
{
	int rc;

	if (!bad && n->types_known && !fl_finished_find(&n->cluster, run->ref) &&
	    !fl_job_find(&n->cluster, run->ref))
		return false;
	rc = answer_known(n, run->ref, hop, resp);
	if (rc == 1)
		return true;
	if (rc < 0 || !bad) {
		fl_later(resp, "cannot decide yet");
	} else {
		fl_refuse(resp, 400, "%s: missing or invalid", bad);
		fl_info("jobs", "%s refused: %s", run->ref, bad);
	}
	return true;
}

/* Refuses a job that can never run, for the reason `why`, unless it is known. */
static void refuse_never(struct fl_node *n, const struct fl_job_spec *run, const char *why,
                         enum fl_hop hop, struct fl_response *resp)
{
	int rc = answer_known(n, run->ref, hop, resp);

	if (rc < 0) {
		fl_later(resp, "cannot decide yet");
	} else if (rc == 0) {
		fl_refuse(resp, 422, "%s", why);
		fl_info("jobs", "%s refused: %s", run->ref, why);
	}
}

/* Stores a job that may run, here or by the leader. */
static void accept_job(struct fl_node *n, const struct fl_job_spec *run, enum fl_hop hop,
                       struct fl_response *resp)
{
	/* A cut is silent: to try here first would cost the user a second. */
	bool relayed_first = !hop && fl_state_in_doubt(&n->state);
	int rc;

	if (relayed_first && submit_by_leader(n, run, resp))
		return;
	rc = state_is_down(n) ? -EAGAIN : store_job(n, run);
	if (rc == 0) {
		fl_info("jobs", "%s accepted: %s of %s, %u x %g cpus %g gpus", run->ref,
		        run->job_class, run->team, run->n_tasks, run->cpus, run->gpus);
		resp->status = 201;
		resp->body = fl_status_encode(run->ref, FL_PENDING, -1, 0);
		return;
	}
	if (rc == -ESTALE && answer_known(n, run->ref, hop, resp) == 1)
		return;
	if (rc != -ESTALE && !hop && !relayed_first && submit_by_leader(n, run, resp))
		return;
	fl_later(resp, "the job could not be stored");
}

static void submit(struct fl_node *n, const char *body, size_t len, enum fl_hop hop,
                   struct fl_response *resp)
{
	cJSON *o = fl_json_parse(body, len);
	const char *bad, *why;
	struct fl_job_spec run;

	if (!cJSON_IsObject(o)) {
		cJSON_Delete(o);
		fl_refuse(resp, 400, "the body must be a JSON object");
		return;
	}
	bad = fl_job_spec_decode(o, &run);
	cJSON_Delete(o);
	if (!run.ref[0]) {
		fl_refuse(resp, 400, "Ref: missing or invalid");
		return;
	}
	if (fl_standby_alone(n)) {
		/* At once: every try at either would cost the user seconds in vain. */
		fl_later(resp, "neither the state service nor another controller answers");
		return;
	}
	if (answer_first(n, &run, bad, hop, resp))
		return;
	why = never(n, &run);
	if (why)
		refuse_never(n, &run, why, hop, resp);
	else
		accept_job(n, &run, hop, resp);
}

/* ---- polls and cancellations ---- */

struct progress {
	uint32_t done, placed;
};

static void count_progress(void *ctx, const struct fl_change *ch)
{
	struct progress *p = ctx;

	fl_chunk_count(ch->value, &p->done, &p->placed);
}

/* Without a leader in reach, the records themselves answer: never older than what was told. */
static void poll_records(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_job_record rec;
	struct progress p = {0};
	char key[FL_KEY_MAX];
	uint64_t rev;
	cJSON *v = NULL;
	int rc = fl_job_lookup_read(n, ref, &rec, &v, &rev);

	/* What a user is told here, the other controllers must hear from here. */
	if (rc == 0 && rec.final && v)
		fl_cluster_learn_cancelled(&n->cluster, ref, fl_since(rec.cancelled));
	cJSON_Delete(v);
	if (rc == -ENOENT) {
		fl_refuse(resp, 404, "no such job");
		return;
	}
	if (rc) {
		fl_later(resp, "neither the leader nor the state service answers");
		return;
	}
	if (rec.final) {
		resp->status = 200;
		resp->body = fl_status_encode(ref, rec.status,
		                              rec.status == FL_DONE ? rec.n_tasks : 0, 0);
		return;
	}
	if (!fl_job_lookup_affords(n, 1)) {
		fl_later(resp, "there are too many questions at the moment");
		return;
	}
	snprintf(key, sizeof(key), FL_PREFIX_PROGRESS "%s/", ref);
	fl_state_list(&n->state, key, count_progress, &p, &rev);
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
	    !take_reply(relay_call(n, FL_CALL_POLL, ref, NULL, FL_FIRST_HOP, left, &reply), &reply,
	                resp))
		poll_records(n, ref, resp);
}

/* For another controller: only the leader answers, so this is passed on once at most. */
static void answer_for_peer(struct fl_node *n, enum fl_user_call call, const char *ref,
                            enum fl_hop hop, struct fl_response *resp)
{
	double patience = call == FL_CALL_POLL ? tunables.relay_s : tunables.relay_write_s;
	struct fl_reply reply;

	if (!take_reply(relay_call(n, call, ref, NULL, hop, patience, &reply), &reply, resp))
		fl_refuse(resp, 421, "not the leader");
}

static void answer_relayed_cancel(struct fl_node *n, const char *ref, struct fl_response *resp)
{
	struct fl_reply reply;
	int rc = relay_call(n, FL_CALL_CANCEL, ref, NULL, FL_FIRST_HOP, tunables.relay_write_s,
	                    &reply);

	if (!take_reply(rc, &reply, resp))
		fl_later(resp, "there is no leader at the moment");
}

static void poll_or_cancel(struct fl_node *n, enum fl_user_call call, const char *ref,
                           enum fl_hop hop, struct fl_response *resp)
{
	struct fl_finished_job *f;

	if (!ref[0]) {
		fl_refuse(resp, 404, "no such job");
		return;
	}
	f = fl_finished_find(&n->cluster, ref);
	if (f) {
		resp->status = 200;
		resp->body = fl_status_encode(ref, (enum fl_status)f->status,
		                              call == FL_CALL_CANCEL ? -1
		                              : f->status == FL_DONE ? (int64_t)f->n_tasks
		                                                     : 0,
		                              0);
		return;
	}
	if (fl_leading(n)) {
		if (call == FL_CALL_POLL)
			fl_answer_poll(n, ref, resp);
		else
			fl_answer_cancel(n, ref, resp);
		return;
	}
	if (fl_standby_alone(n)) {
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

void fl_node_user_call(struct fl_node *n, enum fl_user_call call, const char *ref, const char *body,
                       size_t len, enum fl_hop hop, struct fl_response *resp)
{
	switch (call) {
	case FL_CALL_SUBMIT:
		submit(n, body, len, hop, resp);
		break;
	case FL_CALL_POLL:
	case FL_CALL_CANCEL:
		poll_or_cancel(n, call, ref, hop, resp);
		break;
	case FL_CALL_REPORT:
		fl_standby_report(n, body, len, hop, n->config->node, resp);
		break;
	case FL_CALL_READY:
		n->probed_at = fl_now();
		resp->status = n->types_known && n->jobs_known && !fl_standby_alone(n) ? 200 : 503;
		break;
	default:
		fl_refuse(resp, 404, "no such path");
	}
}

static void on_public(void *ctx, const struct fl_request *req, struct fl_response *resp)
{
	char ref[FL_REF_MAX];
	enum fl_user_call call = fl_user_route(req->path, ref);
	enum http_method want =
		call == FL_CALL_POLL || call == FL_CALL_READY ? HTTP_GET : HTTP_POST;

	if (call != FL_CALL_NONE && req->method != want) {
		fl_refuse(resp, 405, "wrong method");
		/* After a HEAD the body would be taken for the next answer. */
		resp->close = true;
		return;
	}
	/*
	 * A controller that is behind answers probes, submissions, cancellations and reports first.
	 * A poll comes again in any case, and one that is turned away at once may find a better
	 * node. Where enough are answered, none goes without for long: one a turn always is.
	 */
	if (call == FL_CALL_POLL && !fl_defer(tunables.polls_waiting)) {
		fl_later(resp, "there are too many questions at the moment");
		return;
	}
	fl_node_user_call(ctx, call, ref, req->body, req->body_len, FL_FIRST_HOP, resp);
}

static void on_peer(void *ctx, const struct fl_request *req, struct fl_response *resp)
{
	struct fl_node *n = ctx;
	struct fl_relay r;
	bool leads = fl_leading(n);
	enum fl_hop hop;
	size_t len;

	if (strcmp(req->path, "/gossip") == 0) {
		fl_standby_gossip(n, req->body, req->body_len, resp);
		return;
	}
	if (strcmp(req->path, FL_PATH_STATUS) == 0) {
		fl_status_query_serve(n, req->body, req->body_len, resp);
		return;
	}
	if (strcmp(req->path, "/relay") != 0) {
		fl_refuse(resp, 404, "no such path");
		return;
	}
	if (fl_relay_decode(req->body, req->body_len, &r) != 0) {
		fl_error("peers", "what came as a relayed call is none");
		fl_refuse(resp, 400, "not a relayed call");
		return;
	}
	hop = r.disconnected ? FL_LAST_HOP_DISCONNECTED : FL_LAST_HOP;
	len = r.body ? strlen(r.body) : 0;
	/* Only a leader answers; one hop further, if the sender could not reach it itself. */
	if (!leads && (r.last_hop || strcmp(n->leader, n->config->node) == 0))
		fl_refuse(resp, 421, "not the leader");
	else if (r.call == FL_CALL_REPORT)
		fl_standby_report(n, r.body, len, hop, r.via, resp);
	else
		fl_node_user_call(n, r.call, r.ref, r.body, len, hop, resp);
	fl_relay_free(&r);
}

/* ---- what every node knows ---- */

static void on_job(void *ctx, const struct fl_change *ch)
{
	struct fl_node *n = ctx;
	const char *ref = ch->key + strlen(FL_PREFIX_JOBS);
	struct fl_job *job;
	bool known;

	if (strlen(ref) >= FL_REF_MAX)
		return;
	job = fl_job_find(&n->cluster, ref);
	known = job && job->cancelled;
	job = fl_cluster_apply(&n->cluster, ref, ch->value, ch->rev);
	if (!job || !n->lead.active)
		return;
	if (job->cancelled && !known) {
		fl_info("jobs", "%s is cancelled, says its record", ref);
		fl_command_stop_job(n, job);
	}
	n->lead.due = true;
	fl_signal_wake(&n->lead.work);
}

static void jobs_duty(void *arg)
{
	struct fl_node *n = arg;
	uint64_t rev = 0;

	while (!n->types_known)
		if (fl_sleep(tunables.retry_s / 5) != 0)
			return;
	while (!fl_cancelled()) {
		double sent = fl_now();
		int rc;

		if (rev == 0) {
			if (!n->cluster.leading)
				fl_cluster_list_begin(&n->cluster);
			rc = fl_state_list(&n->state, FL_PREFIX_JOBS, on_job, n, &rev);
			if (rc == 0 && !n->cluster.leading)
				fl_cluster_list_end(&n->cluster, rev);
		} else {
			rc = fl_state_follow(&n->state, FL_PREFIX_JOBS, &rev, tunables.hold_s,
			                     on_job, n);
		}
		if (rc == 0)
			n->cancellations_known_until = fmax(n->cancellations_known_until, sent);
		if (rc == 0 && !n->jobs_known) {
			n->jobs_known = true;
			fl_signal_wake(&n->jobs_listed);
			fl_info("node", "%s is ready", n->config->node);
		}
		if (rc == -ERANGE)
			rev = 0;
		if (rc && fl_sleep(tunables.retry_s) != 0)
			return;
	}
}

/*
 * From the record that a leader keeps of them, else from the cloud. Found on a day of our own: all
 * controllers ended while the cloud was out, and none of them could serve until it was back.
 */
static int read_types(struct fl_node *n, struct fl_offered_type **types, int *count)
{
	uint64_t rev;
	cJSON *v = NULL;
	int rc = fl_state_get(&n->state, FL_KEY_MACHINE_TYPES, &v, &rev, NULL);

	if (!rc)
		rc = fl_machine_types_decode(v, types, count);
	cJSON_Delete(v);
	return rc ? fl_cloud_machine_types(&n->cloud, types, count) : 0;
}

static void types_duty(void *arg)
{
	struct fl_node *n = arg;

	while (!n->types_known) {
		struct fl_offered_type *types;
		int count, rc = read_types(n, &types, &count);

		if (rc == -EPROTO)
			fl_error("cloud", "its machine types cannot be read");
		if (rc == 0) {
			fl_machine_types_set(&n->cluster.machines, &n->cluster.zones, types, count);
			free(types);
			n->types_known = true;
			return;
		}
		if (fl_sleep(tunables.retry_s) != 0)
			return;
	}
}

static int set_up(struct fl_node *n, const struct fl_config *c)
{
	n->config = c;
	n->cluster.finished_lost_at = -1e9;
	n->cluster.finished_max = (unsigned)(c->ram_mb * 1024 * 1024 * tunables.finished_share /
	                                     sizeof(struct fl_finished_job));
	snprintf(n->boot, sizeof(n->boot), "%s-%.6f", c->node, fl_wall());
	for (int i = 0; i < c->n_zones; i++)
		if (fl_names_add(&n->cluster.zones, c->zones[i]) < 0)
			return -ENOMEM;
	for (int i = 0; i < c->n_objectives; i++)
		if (c->objectives[i].job_class[0] &&
		    fl_names_add(&n->cluster.classes, c->objectives[i].job_class) < 0)
			return -ENOMEM;
	n->n_expected_classes = n->cluster.classes.n;
	for (int i = 0; i < c->n_teams; i++) {
		struct fl_team *t = &n->cluster.teams.at[n->cluster.teams.n++];

		fl_copy_string(t->name, sizeof(t->name), c->teams[i].name);
		t->cpus = c->teams[i].cpus;
		t->gpus = c->teams[i].gpus;
		t->cpus_max = c->teams[i].cpus_max;
		t->gpus_max = c->teams[i].gpus_max;
	}
	for (int i = 0; i < c->n_peers; i++) {
		struct fl_peer *p = &n->peers[n->n_peers++];

		p->node = n;
		fl_copy_string(p->name, sizeof(p->name), c->peers[i].node);
		fl_copy_string(p->location, sizeof(p->location), c->peers[i].location);
		if (fl_http_client_init(&p->http, c->peers[i].addr, tunables.peer_conns) != 0)
			return -EINVAL;
	}
	fl_job_lookups_init(n);
	if (fl_state_init(&n->state, c->state) != 0)
		return -EINVAL;
	return fl_http_client_init(&n->cloud.http, c->cloud, 2);
}

/*
 * Found with 2,000 workers on one controller: the fifth of all sockets that was set aside for the
 * peers was missing for users. What peers need does not grow with the machines.
 */
int fl_node_public_conns(const struct fl_config *c)
{
	int peer = FL_RELAYS_MAX + tunables.peer_users;
	int rest = c->max_connections - (c->n_peers + 1) * peer - tunables.own_conns;
	int least = (int)(c->max_connections * tunables.user_least);

	return rest > least ? rest : least;
}

int fl_node_start(const struct fl_config *config)
{
	struct fl_node *n = calloc(1, sizeof(*n));
	int conns = fl_node_public_conns(config);
	double idle_s = fmax(tunables.idle_least_s, tunables.idle_reports * config->report_s);
	int allowed = fl_sockets_allow(config->max_connections + tunables.own_conns);

	if (allowed < config->max_connections)
		fl_error("node", "max_connections is %d, but the system allows %d open files",
		         config->max_connections, allowed);
	if (!n || set_up(n, config) != 0 ||
	    !fl_http_serve(config->bind, conns, idle_s, on_public, n) ||
	    !fl_http_serve(config->cluster_listen, config->max_connections - conns, idle_s, on_peer,
	                   n)) {
		free(n);
		return -1;
	}
	fl_lease_start(n);
	fl_standby_start(n);
	fl_spawn(types_duty, n);
	fl_spawn(jobs_duty, n);
	fl_info("node", "%s (%s) listens on %s", config->node, config->location, config->bind);
	return 0;
}
