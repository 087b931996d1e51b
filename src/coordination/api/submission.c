#include "coordination/api/submission.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/api/admission.h"
#include "coordination/node.h"
#include "coordination/follower/isolation.h"
#include "coordination/responses.h"
#include "coordination/api/user_requests.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double down_s;
} tunables = {
	.down_s = 0.3, /* s after a refusal in which the state service counts as down */
};

/* A bit for each zone where an allowed machine type that a task fits is offered. */
static uint32_t zones_for(const struct fl_node *node, const struct fl_job_spec *spec)
{
	uint32_t zones = 0;

	for (int i = 0; i < node->cluster.machines.type_count; i++) {
		const struct fl_machine_type *machine_type = &node->cluster.machines.types[i];
		bool named = spec->machine_type_count < 0;

		for (int h = 0; h < spec->machine_type_count && !named; h++)
			named = strcmp(spec->machine_types[h], machine_type->name) == 0;
		if (named && spec->cpus <= machine_type->cpus && spec->gpus <= machine_type->gpus &&
		    spec->ram_gb <= machine_type->ram_gb)
			zones |= machine_type->zones;
	}
	return zones;
}

/* NULL, or why the job can never run. */
static const char *infeasible_reason(const struct fl_node *node, const struct fl_job_spec *spec)
{
	int team = fl_teams_find(&node->cluster.teams, spec->team), zone;
	bool at_once = spec->kind != FL_ARRAY && spec->task_count > 1;
	double tasks = at_once ? spec->task_count : 1;
	uint32_t zones = zones_for(node, spec);
	const struct fl_team *t;

	if (team < 0)
		return "Owner: unknown team";
	if (spec->cpus <= 0 && spec->gpus <= 0 && spec->ram_gb <= 0)
		return "a task takes nothing of its machine";
	if (spec->has_zone) {
		zone = fl_symbol_find(&node->cluster.zones, spec->zone);
		if (zone < 0)
			return "Site: unknown zone";
		zones &= 1u << zone;
	}
	/* A type that is offered in no zone of ours cannot be rented. */
	if (!zones)
		return "a task fits no allowed machine type";
	/* An array's tasks can run one after the other; others would lack half of theirs for ever.
	 */
	if (at_once && spec->spread_zones && (spec->same_zone || !(zones & (zones - 1))))
		return "Apart: half of the tasks fit no allowed machine type";
	t = &node->cluster.teams.by_index[team];
	if (!fl_team_within_maximum(t, spec->cpus * tasks, spec->gpus * tasks))
		return "more than the team's limit";
	return NULL;
}

static bool kv_store_is_down(const struct fl_node *node)
{
	return fl_kv_is_unavailable(&node->kv_store) &&
	       fl_now() - node->kv_store.last_failure_at < tunables.down_s;
}

/* Whether a submission is a duplicate of one that was accepted. */
enum duplicate {
	DUPLICATE_NO,       /* the job is not known */
	DUPLICATE_ANSWERED, /* it is, and the response has its state */
	DUPLICATE_UNDECIDED /* neither the store nor the leader can tell now */
};

/* Like respond_if_duplicate, by asking the leader. */
static enum duplicate ask_leader_if_duplicate(struct fl_node *node, const char *ref,
                                              struct fl_http_response *response)
{
	struct fl_http_reply reply;

	if (fl_leader_lease_is_valid(node) ||
	    fl_user_request_forward(node, FL_USER_REQUEST_STATUS, ref, NULL, FL_HOP_FIRST,
	                            fl_user_request_timeout_s(FL_USER_REQUEST_STATUS),
	                            &reply) != FL_FORWARD_ANSWERED)
		return DUPLICATE_UNDECIDED;
	if (reply.status == 200) {
		response->status = 200;
		response->body = reply.body.data;
		return DUPLICATE_ANSWERED;
	}
	fl_buffer_free(&reply.body);
	return reply.status == 404 ? DUPLICATE_NO : DUPLICATE_UNDECIDED;
}

/*
 * Answers a duplicate submission with the state of the job. What the key-value store refuses to
 * this node alone the leader can tell: else a malformed submission would be told to come again,
 * here only, and its user would do so for a minute.
 */
static enum duplicate respond_if_duplicate(struct fl_node *node, const char *ref,
                                           enum fl_forward_hop hop,
                                           struct fl_http_response *response)
{
	struct fl_job_record record;
	uint64_t revision;
	cJSON *value = NULL;
	enum fl_record_result result = FL_RECORD_UNAVAILABLE;

	if (!fl_finished_job_find(&node->cluster, ref) && !fl_job_find(&node->cluster, ref)) {
		if (!kv_store_is_down(node))
			result = fl_job_record_read(&node->kv_store, ref, &record, &value,
			                            &revision);
		cJSON_Delete(value);
		if (result == FL_RECORD_NOT_FOUND)
			return DUPLICATE_NO;
		if (result != FL_RECORD_FOUND)
			return hop == FL_HOP_FIRST ? ask_leader_if_duplicate(node, ref, response)
			                           : DUPLICATE_UNDECIDED;
	}
	fl_respond_status_or_cancel(node, FL_USER_REQUEST_STATUS, ref, hop, response);
	return DUPLICATE_ANSWERED;
}

static enum fl_kv_result store_job(struct fl_node *node, const struct fl_job_spec *spec)
{
	double submitted = fl_wall();
	struct fl_kv_txn txn;
	struct fl_job *job;
	char key[FL_KEY_MAX];
	uint64_t revision;
	enum fl_kv_result result;

	fl_kv_txn_init(&txn);
	fl_key_finished(key, spec->ref);
	fl_kv_txn_expect_revision(&txn, key, 0);
	fl_key_job(key, spec->ref);
	fl_kv_txn_expect_revision(&txn, key, 0);
	fl_kv_txn_put(&txn, key, fl_job_record_live(spec, submitted), 0);
	result = fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
	if (result != FL_KV_OK)
		return result;
	if (!fl_finished_job_find(&node->cluster, spec->ref) &&
	    !fl_job_find(&node->cluster, spec->ref) &&
	    !(node->cluster.leading && revision <= node->cluster.list_revision)) {
		job = fl_job_add(&node->cluster, spec, submitted, revision);
		if (job && node->leadership.active) {
			node->leadership.cycle_due = true;
			fl_condition_broadcast(&node->leadership.work_available);
		}
	}
	return FL_KV_OK;
}

/*
 * The state service may refuse this node alone, or be cut from it: the leader has it. What was
 * read is sent, and not the body: a large one, escaped once more, would be over 64 KiB.
 */
static bool submit_through_leader(struct fl_node *node, const struct fl_job_spec *spec,
                                  struct fl_http_response *response)
{
	struct fl_http_reply reply;
	enum fl_forward_result result;
	char *text;

	if (fl_leader_lease_is_valid(node))
		return false;
	text = fl_json_print_and_delete(fl_job_spec_encode(spec));
	result = fl_user_request_forward(node, FL_USER_REQUEST_SUBMIT, NULL, text, FL_HOP_FIRST,
	                                 fl_user_request_timeout_s(FL_USER_REQUEST_SUBMIT), &reply);
	free(text);
	if (result != FL_FORWARD_ANSWERED)
		return false;
	if (reply.status == 200 || reply.status == 201) {
		response->status = reply.status;
		response->body = reply.body.data;
		return true;
	}
	fl_buffer_free(&reply.body);
	return false;
}

/*
 * Before the rest of a submission is judged: a known job is answered with its state, and what
 * cannot be read is refused for `bad`, the field. False: to be judged on.
 */
static bool respond_early(struct fl_node *node, const struct fl_job_spec *spec, const char *bad,
                          enum fl_forward_hop hop, struct fl_http_response *response)
{
	enum duplicate duplicate;

	if (!bad && node->machine_types_known && !fl_finished_job_find(&node->cluster, spec->ref) &&
	    !fl_job_find(&node->cluster, spec->ref))
		return false;
	duplicate = respond_if_duplicate(node, spec->ref, hop, response);
	if (duplicate == DUPLICATE_ANSWERED)
		return true;
	if (duplicate == DUPLICATE_UNDECIDED || !bad) {
		fl_respond_unavailable(response, "cannot decide yet");
	} else {
		fl_respond_error(response, 400, "%s: missing or invalid", bad);
		fl_info("jobs", "%s refused: %s", spec->ref, bad);
	}
	return true;
}

/* Refuses a job that can never run, for the reason `why`, unless it is known. */
static void reject_infeasible(struct fl_node *node, const struct fl_job_spec *spec, const char *why,
                              enum fl_forward_hop hop, struct fl_http_response *response)
{
	switch (respond_if_duplicate(node, spec->ref, hop, response)) {
	case DUPLICATE_ANSWERED:
		return;
	case DUPLICATE_UNDECIDED:
		fl_respond_unavailable(response, "cannot decide yet");
		return;
	case DUPLICATE_NO:
		fl_respond_error(response, 422, "%s", why);
		fl_info("jobs", "%s refused: %s", spec->ref, why);
		return;
	}
}

/* For want of memory: a repeat of an accepted job is answered all the same. */
static void reject_for_memory(struct fl_node *node, const struct fl_job_spec *spec,
                              enum fl_forward_hop hop, struct fl_http_response *response)
{
	if (respond_if_duplicate(node, spec->ref, hop, response) == DUPLICATE_ANSWERED)
		return;
	fl_respond_unavailable(response, "memory is short at the moment");
	fl_info("jobs", "%s turned away: memory is short", spec->ref);
}

/* Stores a job that may run, here or by the leader. */
static void accept_job(struct fl_node *node, const struct fl_job_spec *spec,
                       enum fl_forward_hop hop, struct fl_http_response *response)
{
	/* A cut is silent: to try here first would cost the user a second. */
	bool forwarded_first = hop == FL_HOP_FIRST && fl_kv_is_unavailable(&node->kv_store);
	enum fl_kv_result result = FL_KV_UNAVAILABLE;

	if (forwarded_first && submit_through_leader(node, spec, response))
		return;
	if (!kv_store_is_down(node))
		result = store_job(node, spec);
	if (result == FL_KV_OK) {
		fl_info("jobs", "%s accepted: %s of %s, %u x %g cpus %g gpus", spec->ref,
		        spec->job_class, spec->team, spec->task_count, spec->cpus, spec->gpus);
		response->status = 201;
		response->body = fl_status_encode(spec->ref, FL_PENDING, -1, 0);
		return;
	}
	if (result == FL_KV_COMPARE_FAILED &&
	    respond_if_duplicate(node, spec->ref, hop, response) == DUPLICATE_ANSWERED)
		return;
	if (result != FL_KV_COMPARE_FAILED && hop == FL_HOP_FIRST && !forwarded_first &&
	    submit_through_leader(node, spec, response))
		return;
	fl_respond_unavailable(response, "the job could not be stored");
}

void fl_submit(struct fl_node *node, const char *body, size_t len, enum fl_forward_hop hop,
               struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(body, len);
	const char *bad, *why;
	struct fl_job_spec spec;

	if (!cJSON_IsObject(object)) {
		cJSON_Delete(object);
		fl_respond_error(response, 400, "the body must be a JSON object");
		return;
	}
	bad = fl_job_spec_decode(object, &spec);
	cJSON_Delete(object);
	if (!spec.ref[0]) {
		fl_respond_error(response, 400, "Ref: missing or invalid");
		return;
	}
	if (fl_node_is_isolated(node)) {
		/* At once: every try at either would cost the user seconds in vain. */
		fl_respond_unavailable(response,
		                       "neither the state service nor another controller answers");
		return;
	}
	if (respond_early(node, &spec, bad, hop, response))
		return;
	why = infeasible_reason(node, &spec);
	if (why)
		reject_infeasible(node, &spec, why, hop, response);
	else if (!fl_admission_has_memory(node->config))
		reject_for_memory(node, &spec, hop, response);
	else
		accept_job(node, &spec, hop, response);
}
