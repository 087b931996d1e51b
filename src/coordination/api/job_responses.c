#include "coordination/api/job_responses.h"

#include <errno.h>
#include <stdlib.h>

#include "coordination/workers/command.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/persistence/job_record_refresh.h"
#include "transport/clock.h"
#include "transport/log.h"

static void respond_finished_job(struct fl_http_response *response,
                                 const struct fl_finished_job *finished, bool counts)
{
	response->status = 200;
	response->body =
		fl_status_encode(finished->ref, finished->status,
	                         !counts                       ? -1
	                         : finished->status == FL_DONE ? (int64_t)finished->task_count
	                                                       : 0,
	                         0);
}

static void respond_cancelled(struct fl_http_response *response, const char *ref)
{
	response->status = 200;
	response->body = fl_status_encode(ref, FL_CANCELLED, -1, 0);
}

/* The record decides: for what this leader has not heard of, or has written and not confirmed. */
static void respond_status_from_record(struct fl_node *node, const char *ref,
                                       struct fl_http_response *response)
{
	struct fl_job_record record;
	struct fl_job *job;
	uint64_t revision;
	cJSON *value = NULL;
	enum fl_record_result result = fl_job_lookup_read(node, ref, &record, &value, &revision);
	const struct fl_finished_job *finished = fl_finished_job_find(&node->cluster, ref);

	if (finished) {
		/* It came to its end while the record was on its way here. */
		respond_finished_job(response, finished, true);
	} else if (result == FL_RECORD_NOT_FOUND) {
		fl_respond_error(response, 404, "no such job");
	} else if (result != FL_RECORD_FOUND) {
		fl_respond_unavailable(response, "the state service does not answer");
	} else if (record.final) {
		job = node->leadership.active ? fl_job_find(&node->cluster, ref) : NULL;
		if (job && value && revision > job->record.mod_revision)
			fl_job_record_refresh_apply(node, job, &record, revision);
		else if (!job && value)
			fl_finished_job_add(&node->cluster, ref, record.status, record.task_count,
			                    fl_since(record.cancelled_wall));
		response->status = 200;
		response->body = fl_status_encode(
			ref, record.status, record.status == FL_DONE ? record.task_count : 0, 0);
	} else {
		job = fl_cluster_apply_job_record(&node->cluster, ref, value, revision);
		response->status = 200;
		response->body =
			fl_status_encode(ref, job ? fl_job_current_status(job) : FL_PENDING,
		                         job ? job->counts.done : 0, job ? job->counts.running : 0);
	}
	cJSON_Delete(value);
}

struct fl_job_status_report fl_job_status_from_memory(const struct fl_node *node, const char *ref)
{
	const struct fl_finished_job *finished = fl_finished_job_find(&node->cluster, ref);
	const struct fl_job *job = finished ? NULL : fl_job_find(&node->cluster, ref);

	if (finished)
		return (struct fl_job_status_report){
			.known = true,
			.status = finished->status,
			.done_count = finished->status == FL_DONE ? finished->task_count : 0};
	/* While a final write is under way, another node may already know its outcome. */
	if (!job || job->record.final_write_in_flight || job->record.final_write_unknown)
		return (struct fl_job_status_report){0};
	return (struct fl_job_status_report){.known = true,
	                                     .status = fl_job_current_status(job),
	                                     .done_count = job->counts.done,
	                                     .running_count = job->counts.running};
}

void fl_respond_job_status(struct fl_node *node, const char *ref, struct fl_http_response *response)
{
	struct fl_job_status_report state = fl_job_status_from_memory(node, ref);

	if (!state.known) {
		respond_status_from_record(node, ref, response);
		return;
	}
	response->status = 200;
	response->body = fl_status_encode(ref, state.status, state.done_count, state.running_count);
}

static enum fl_kv_result store_cancellation(struct fl_node *node, struct fl_job *job,
                                            double cancelled, uint64_t *revision)
{
	struct fl_kv_txn txn;
	struct fl_job_spec spec;
	char key[FL_KEY_MAX];

	fl_key_job(key, job->ref);
	fl_job_describe(&node->cluster, job, &spec);
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, node->leader_lease.leader_mod_revision);
	fl_kv_txn_expect_revision(&txn, key, job->record.mod_revision);
	fl_kv_txn_put(&txn, key, fl_job_record_cancelled(&spec, job->submitted_wall, cancelled), 0);
	return fl_kv_txn_commit(&node->kv_store, &txn, revision, NULL);
}

void fl_respond_cancel(struct fl_node *node, const char *ref, struct fl_http_response *response)
{
	struct fl_finished_job *finished = fl_finished_job_find(&node->cluster, ref);
	struct fl_job *job = finished ? NULL : fl_job_find(&node->cluster, ref);
	struct fl_job_record record = {.final = true, .cancelled_wall = fl_wall()};
	uint64_t revision;
	enum fl_kv_result result;
	struct fl_refreshed_job refreshed;

	if (!finished && !job) {
		respond_status_from_record(node, ref, response);
		job = fl_job_find(&node->cluster, ref);
		if (response->status != 200 || !job)
			return;
		free(response->body);
		response->body = NULL;
	}
	if (finished) {
		respond_finished_job(response, finished, false);
		return;
	}
	if (job->record.final_write_unknown && !job->record.final_write_in_flight)
		fl_job_record_refresh(node, ref, &refreshed);
	job = fl_is_leader(node) ? fl_job_find(&node->cluster, ref) : NULL;
	if (job && job->cancelled) {
		respond_cancelled(response, ref);
		return;
	}
	if (!job || job->record.final_write_in_flight || job->record.final_write_unknown) {
		fl_respond_unavailable(response, "the job's state is being written");
		return;
	}
	/* Till this is answered, only the record knows: see fl_respond_job_status. */
	job->record.final_write_unknown = true;
	result = store_cancellation(node, job, record.cancelled_wall, &revision);
	job = node->leadership.active ? fl_job_find(&node->cluster, ref) : NULL;
	if (job && result == FL_KV_OK) {
		fl_cluster_apply_cancellation(&node->cluster, job, &record, revision);
		fl_command_stop_job(node, job);
		fl_info("jobs", "%s is cancelled", ref);
	} else if (job && result == FL_KV_UNAVAILABLE) {
		job->record.final_write_unknown = false;
	} else if (job) {
		fl_job_record_refresh(node, ref, &refreshed);
	} else if (result == FL_KV_OK) {
		fl_cluster_learn_cancelled(&node->cluster, ref, fl_since(record.cancelled_wall));
	}
	finished = fl_finished_job_find(&node->cluster, ref);
	if (finished)
		respond_finished_job(response, finished, false);
	else if (result == FL_KV_OK)
		/* Stored, though this node leads no more: the next leader stops its tasks. */
		respond_cancelled(response, ref);
	else
		fl_respond_unavailable(response, "the cancellation could not be stored");
}
