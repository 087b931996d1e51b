#include "coordination/api/cancellation.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/api/status_from_leader.h"
#include "coordination/api/job_status_response.h"
#include "coordination/election/fencing_token.h"
#include "coordination/node.h"
#include "coordination/persistence/job_record_refresh.h"
#include "coordination/persistence/job_record_txn.h"
#include "coordination/responses.h"
#include "coordination/workers/command.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	int token_raises_max;
} tunables = {
	.token_raises_max = 3, /* starts may be sent while a raise is being stored */
};

/*
 * Loads the job from its record unless the cluster state has it. Returns false if the job is not
 * live or its record cannot be read; the response is then that of a status query, so that a job
 * whose end is found only in its record is answered with its task counts.
 */
static bool load_job(struct fl_node *node, const char *ref, struct fl_http_response *response)
{
	struct fl_job_status_report report;
	enum fl_record_result result;

	if (fl_job_find(&node->cluster, ref))
		return true;
	result = fl_job_status_from_record(node, ref, &report);
	if (result == FL_RECORD_FOUND && fl_job_find(&node->cluster, ref))
		return true;
	fl_respond_record_status(response, ref, result, &report);
	return false;
}

/* Returns the live job if it can be cancelled now, else NULL with the response filled in. */
static struct fl_job *find_cancellable_job(struct fl_node *node, const char *ref,
                                           struct fl_http_response *response)
{
	struct fl_job *job = fl_is_leader(node) ? fl_job_find(&node->cluster, ref) : NULL;

	if (job && job->cancelled) {
		fl_respond_cancellation(response, ref, FL_CANCELLED);
		return NULL;
	}
	if (!job || job->record.final_write_in_flight) {
		fl_respond_unavailable(response, "the job's state is being written");
		return NULL;
	}
	return job;
}

/*
 * Returns the cancelled record as text, which the caller frees. It keeps the job's description, of
 * which a job that starts no more tasks does not need the machine types and the zone: they are left
 * out if the record would be larger than a value, since it may be larger than the live record, and
 * the store may have taken larger values when that was stored.
 */
static char *encode_cancelled_record(const struct fl_node *node, const struct fl_job *job,
                                     double cancelled_wall)
{
	struct fl_job_spec spec;
	char *text;

	fl_job_to_spec(&node->cluster, job, &spec);
	text = fl_json_print_and_delete(
		fl_job_record_encode_cancelled(&spec, job->submitted_wall, cancelled_wall));
	if (!text || strlen(text) <= node->kv_store.limits.in_force.value_bytes)
		return text;
	free(text);
	spec.machine_type_count = FL_ANY_MACHINE_TYPE;
	spec.has_zone = false;
	return fl_json_print_and_delete(
		fl_job_record_encode_cancelled(&spec, job->submitted_wall, cancelled_wall));
}

/* Stores the cancelled record if this node is still the leader and the record is unchanged. */
static enum fl_kv_result store_cancellation(struct fl_node *node, const struct fl_job *job,
                                            double cancelled_wall, uint64_t *revision)
{
	char *record = encode_cancelled_record(node, job, cancelled_wall), key[FL_KEY_MAX];
	struct fl_job_record_txn txn;

	if (!record)
		return FL_KV_UNAVAILABLE; /* out of memory */
	fl_key_job(key, job->ref);
	fl_job_record_txn_begin(node, job, &txn);
	fl_kv_txn_put_text(&txn.txn, key, record, 0);
	free(record);
	return fl_job_record_txn_commit(node, &txn, revision);
}

/* Applies the result of the write; the job or the leadership may have ended during the write. */
static void apply_write_result(struct fl_node *node, const char *ref, enum fl_kv_result result,
                               double cancelled_wall, uint64_t revision)
{
	const struct fl_job_record record = {.final = true, .cancelled_wall = cancelled_wall};
	struct fl_job *job = node->leadership.active ? fl_job_find(&node->cluster, ref) : NULL;
	struct fl_refreshed_job refreshed;

	if (!job) {
		if (result == FL_KV_OK)
			fl_cluster_mark_cancelled(&node->cluster, ref,
			                          fl_monotonic_from_wall(cancelled_wall));
	} else if (result == FL_KV_OK) {
		fl_cluster_update_live_job(&node->cluster, job, &record, revision);
		fl_command_stop_cancelled_job(node, job);
		fl_info("jobs", "job cancelled job=%s", ref);
	} else if (!fl_kv_write_was_refused(result)) {
		fl_job_record_refresh(node, ref, &refreshed);
	}
}

/*
 * Raises the fencing token if a direct start command for a task of the job may still arrive: it
 * could come after cancel_s, and if the key-value store fails meanwhile, no token could be raised
 * then. Returns the job, or NULL if the token could not be raised or the job has ended.
 */
static const struct fl_job *rule_out_late_starts(struct fl_node *node, const char *ref)
{
	const struct fl_job *job = fl_job_find(&node->cluster, ref);

	for (int i = 0; job && fl_command_start_may_arrive_late(node, job); i++) {
		if (i == tunables.token_raises_max ||
		    !fl_fencing_token_raise_above(node, node->leader_lease.fencing_token))
			return NULL;
		job = fl_is_leader(node) ? fl_job_find(&node->cluster, ref) : NULL;
	}
	/* Another request may have cancelled or finished the job during the wait. */
	if (!job || job->cancelled || job->record.final_write_in_flight)
		return NULL;
	return job;
}

enum fl_kv_result fl_cancellation_write(struct fl_node *node, const struct fl_job *job)
{
	double cancelled_wall;
	enum fl_kv_result result;
	char ref[FL_REF_MAX];
	uint64_t revision = 0;

	fl_copy_string(ref, sizeof(ref), job->ref);
	job = rule_out_late_starts(node, ref);
	if (!job)
		return FL_KV_UNAVAILABLE;
	cancelled_wall = fl_wall_time();
	result = store_cancellation(node, job, cancelled_wall, &revision);
	job = fl_is_leader(node) ? fl_job_find(&node->cluster, ref) : NULL;
	/* The limits are lower now, so the record is built in its smallest form. */
	if (result == FL_KV_TOO_LARGE && job)
		result = store_cancellation(node, job, cancelled_wall, &revision);
	apply_write_result(node, ref, result, cancelled_wall, revision);
	return result;
}

void fl_leader_cancel_job(struct fl_node *node, const char *ref, struct fl_http_response *response)
{
	const struct fl_finished_job *finished = fl_finished_job_find(&node->cluster, ref);
	enum fl_kv_result result;
	struct fl_job *job;

	if (finished) {
		fl_respond_cancellation(response, ref, finished->status);
		return;
	}
	if (!load_job(node, ref, response))
		return;
	job = find_cancellable_job(node, ref, response);
	if (!job)
		return;
	result = fl_cancellation_write(node, job);
	finished = fl_finished_job_find(&node->cluster, ref);
	if (finished)
		fl_respond_cancellation(response, ref, finished->status);
	else if (result == FL_KV_OK)
		/* Stored; if this node has lost its lease, the next leader stops the tasks. */
		fl_respond_cancellation(response, ref, FL_CANCELLED);
	else
		fl_respond_unavailable(response, "the cancellation could not be stored");
}
