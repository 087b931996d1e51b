#include "coordination/api/submission.h"

#include <stdio.h>
#include <stdlib.h>

#include "coordination/api/admission.h"
#include "coordination/api/feasibility.h"
#include "coordination/api/job_status_response.h"
#include "coordination/api/request_forwarding.h"
#include "coordination/api/user_requests.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "storage/job_records.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double kv_down_s, log_interval_s;
} tunables = {
	.kv_down_s = 0.3, /* time for which a failed request marks the key-value store as down */
	.log_interval_s = 1.0, /* between lines about submissions without a job id */
};

/* A submission being handled. It owns nothing. */
struct submission {
	struct fl_node *node;
	const struct fl_job_spec *spec;
	enum fl_forward_hop hop;
	struct fl_http_response *response;
};

static bool kv_store_is_down(const struct fl_kv_store *kv_store)
{
	return fl_kv_is_unavailable(kv_store) &&
	       fl_now() - kv_store->last_failure_at < tunables.kv_down_s;
}

static bool job_is_known(const struct fl_cluster *cluster, const char *ref)
{
	return fl_finished_job_find(cluster, ref) || fl_job_find(cluster, ref);
}

/* ---- duplicate submissions ---- */

/* Whether a submission is a duplicate of an accepted one. */
enum duplicate_check {
	DUPLICATE_NO,       /* the job has no record */
	DUPLICATE_ANSWERED, /* a duplicate; the response has the job's status */
	DUPLICATE_UNDECIDED /* neither the store nor the leader answered */
};

/* Like respond_if_duplicate, by a status query to the leader. */
static enum duplicate_check respond_if_leader_knows_job(const struct submission *submission)
{
	const struct fl_outgoing_user_request request = {
		.kind = FL_REQUEST_STATUS,
		.ref = submission->spec->ref,
		.hop = FL_HOP_FIRST,
		.timeout_s = fl_user_request_timeout_s(FL_REQUEST_STATUS)};
	struct fl_http_reply reply;

	if (fl_leader_lease_is_valid(&submission->node->leader_lease) ||
	    !fl_user_request_forward(submission->node, &request, &reply))
		return DUPLICATE_UNDECIDED;
	if (fl_respond_with_reply(submission->response, &reply, reply.status == 200))
		return DUPLICATE_ANSWERED;
	return reply.status == 404 ? DUPLICATE_NO : DUPLICATE_UNDECIDED;
}

/* Reads whether the job has a record. */
static enum fl_record_result look_up_record(struct fl_kv_store *kv_store, const char *ref)
{
	struct fl_job_record record;
	uint64_t revision;
	cJSON *value = NULL;
	enum fl_record_result result;

	if (kv_store_is_down(kv_store))
		return FL_RECORD_UNAVAILABLE;
	result = fl_job_record_read(kv_store, ref, &record, &value, &revision);
	cJSON_Delete(value);
	return result;
}

static enum duplicate_check respond_with_job_status(const struct submission *submission,
                                                    const char *source)
{
	fl_debug("jobs", "duplicate submission job=%s source=%s", submission->spec->ref, source);
	fl_handle_status_request(submission->node, submission->spec->ref, submission->hop,
	                         submission->response);
	return DUPLICATE_ANSWERED;
}

/*
 * Answers a duplicate submission with the status of the job. If the key-value store refuses this
 * node's read, the leader is queried: otherwise a malformed submission would get 503, from this
 * node alone, and its user would retry for a minute.
 */
static enum duplicate_check respond_if_duplicate(const struct submission *submission)
{
	if (job_is_known(&submission->node->cluster, submission->spec->ref))
		return respond_with_job_status(submission, "memory");
	switch (look_up_record(&submission->node->kv_store, submission->spec->ref)) {
	case FL_RECORD_FOUND:
		return respond_with_job_status(submission, "record");
	case FL_RECORD_NOT_FOUND:
		return DUPLICATE_NO;
	case FL_RECORD_UNREADABLE:
	case FL_RECORD_UNAVAILABLE:
		break;
	}
	return submission->hop == FL_HOP_FIRST ? respond_if_leader_knows_job(submission)
	                                       : DUPLICATE_UNDECIDED;
}

/* ---- rejection, permanent or temporary ---- */

/* Rejects with this status, unless it is a duplicate; 503 if that cannot be decided. */
static void reject_permanently(const struct submission *submission, int status, const char *reason)
{
	switch (respond_if_duplicate(submission)) {
	case DUPLICATE_ANSWERED:
		break;
	case DUPLICATE_UNDECIDED:
		fl_respond_unavailable(submission->response,
		                       "the submission cannot be validated yet");
		break;
	case DUPLICATE_NO:
		fl_respond_error(submission->response, status, "%s", reason);
		fl_info("jobs", "job rejected job=%s reason=\"%s\"", submission->spec->ref, reason);
		break;
	}
}

/* Responds 503 and returns true; false if the submission was answered as a duplicate. */
static bool reject_temporarily(const struct submission *submission, const char *reason)
{
	if (respond_if_duplicate(submission) == DUPLICATE_ANSWERED)
		return false;
	fl_respond_unavailable(submission->response, reason);
	return true;
}

/* ---- acceptance ---- */

/*
 * Adds the stored job to the cluster state, unless a watch has already added it. A leader whose job
 * list was read at this revision or a later one has the job already if it is still live.
 */
static void add_stored_job(struct fl_node *node, const struct fl_job_spec *spec,
                           double submitted_wall, uint64_t revision)
{
	bool already_finished =
		node->cluster.has_leader_state && revision <= node->cluster.job_list_revision;

	if (job_is_known(&node->cluster, spec->ref) || already_finished)
		return;
	if (fl_job_add(&node->cluster, spec, submitted_wall, revision) && node->leadership.active) {
		node->leadership.cycle_due = true;
		fl_condition_broadcast(&node->leadership.work_available);
	}
}

/* Writes the job's live record, if the job has neither a live nor a final record. */
static enum fl_kv_result store_job(struct fl_node *node, const struct fl_job_spec *spec)
{
	double submitted_wall = fl_wall_time();
	struct fl_kv_txn txn;
	char key[FL_KEY_MAX];
	uint64_t revision;
	enum fl_kv_result result;

	fl_kv_txn_init(&txn);
	fl_key_finished(key, spec->ref);
	fl_kv_txn_expect_revision(&txn, key, 0);
	fl_key_job(key, spec->ref);
	fl_kv_txn_expect_revision(&txn, key, 0);
	fl_kv_txn_put(&txn, key, fl_job_record_encode_live(spec, submitted_wall), 0);
	result = fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
	if (result == FL_KV_OK)
		add_stored_job(node, spec, submitted_wall, revision);
	return result;
}

/*
 * Forwards the submission to the leader, which may reach the key-value store when the store refuses
 * this node's requests or is partitioned from this node. If the leader cannot be reached directly,
 * a third controller receives the submission and stores the job itself. Returns whether the job was
 * accepted or a duplicate answered. The decoded submission is sent and not the body, since a large
 * body would exceed 64 KiB when it is escaped once more.
 */
static bool submit_through_leader(const struct submission *submission)
{
	struct fl_outgoing_user_request request = {
		.kind = FL_REQUEST_SUBMIT,
		.hop = FL_HOP_FIRST,
		.timeout_s = fl_user_request_timeout_s(FL_REQUEST_SUBMIT)};
	struct fl_http_reply reply;
	char *text;
	bool answered;

	if (fl_leader_lease_is_valid(&submission->node->leader_lease))
		return false;
	text = fl_json_print_and_delete(fl_job_spec_encode(submission->spec));
	request.body = text;
	answered = fl_user_request_forward(submission->node, &request, &reply);
	free(text);
	return answered && fl_respond_with_reply(submission->response, &reply,
	                                         reply.status == 200 || reply.status == 201);
}

/* Stores a feasible job, by this node or through the leader. */
static void accept_job(const struct submission *submission)
{
	const struct fl_job_spec *spec = submission->spec;
	bool may_forward = submission->hop == FL_HOP_FIRST;
	enum fl_kv_result result = FL_KV_UNAVAILABLE;

	/* In a network partition, this node's write would time out and cost the user a second. */
	if (may_forward && fl_kv_is_unavailable(&submission->node->kv_store)) {
		if (submit_through_leader(submission))
			return;
		may_forward = false;
	}
	if (!kv_store_is_down(&submission->node->kv_store))
		result = store_job(submission->node, spec);
	if (result == FL_KV_OK) {
		fl_info("jobs", "job accepted job=%s class=%s team=%s tasks=%u cpus=%g gpus=%g",
		        spec->ref, spec->job_class, spec->team, spec->task_count, spec->cpus,
		        spec->gpus);
		fl_respond_job_accepted(submission->response, spec->ref);
		return;
	}
	if (result == FL_KV_COMPARE_FAILED) {
		if (respond_if_duplicate(submission) == DUPLICATE_ANSWERED)
			return;
	} else if (may_forward && submit_through_leader(submission)) {
		return;
	}
	fl_respond_unavailable(submission->response, "the job could not be stored");
}

/* ---- validation ---- */

/* Handles a submission whose fields are all valid. */
static void handle_valid_submission(const struct submission *submission)
{
	struct fl_node *node = submission->node;
	enum fl_infeasibility infeasibility;

	if (job_is_known(&node->cluster, submission->spec->ref)) {
		respond_with_job_status(submission, "memory");
		return;
	}
	if (!node->machine_types_loaded) {
		reject_temporarily(submission, "the submission cannot be validated yet");
		return;
	}
	infeasibility = fl_job_infeasibility(&node->cluster, submission->spec);
	if (infeasibility != FL_FEASIBLE)
		reject_permanently(submission, 422, fl_infeasibility_text(infeasibility));
	else if (fl_admission_has_memory(node->config))
		accept_job(submission);
	else if (reject_temporarily(submission, "memory is low"))
		fl_info("jobs", "job not admitted job=%s reason=\"memory is low\"",
		        submission->spec->ref);
}

/* Without a job id, a submission cannot be a duplicate. */
static void reject_without_ref(struct fl_http_response *response, const char *reason)
{
	static struct fl_log_limit limit;
	unsigned suppressed;

	fl_respond_error(response, 400, "%s", reason);
	if (fl_log_limit_take(&limit, tunables.log_interval_s, fl_now(), &suppressed))
		fl_info("jobs", "job rejected job=unknown reason=\"%s\" suppressed=%u", reason,
		        suppressed);
}

void fl_handle_submission(struct fl_node *node, const char *body, size_t len,
                          enum fl_forward_hop hop, struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(body, len);
	struct fl_job_spec spec;
	const struct submission submission = {node, &spec, hop, response};
	const char *bad_field;
	char reason[FL_NAME_MAX];

	if (!cJSON_IsObject(object)) {
		cJSON_Delete(object);
		reject_without_ref(response, "the body must be a JSON object");
		return;
	}
	bad_field = fl_job_spec_decode(object, &spec);
	cJSON_Delete(object);
	if (!spec.ref[0]) {
		reject_without_ref(response, FL_FIELD_REF ": missing or invalid");
		return;
	}
	if (fl_respond_if_isolated(node, response))
		return;
	if (!bad_field) {
		handle_valid_submission(&submission);
		return;
	}
	snprintf(reason, sizeof(reason), "%s: missing or invalid", bad_field);
	reject_permanently(&submission, 400, reason);
}
