/*
 * The invariants on replies to users: a final status stays, no accepted job is lost, and no invalid
 * job is accepted. Also checks that a fencing token or rental name is used by one process only.
 */
#include "sim.h"

#include <stdio.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

enum { IDS_MAX = 512 };

/* ---- the job's state ---- */

struct reported_status {
	char ref[FL_REF_MAX], status[32];
	bool is_cancelled, is_done;
};

static struct reported_status decode_status(const char *body)
{
	struct reported_status reported = {0};
	cJSON *object = fl_json_parse(body, strlen(body));

	fl_json_get_string(object, "Status", reported.status, sizeof(reported.status));
	fl_json_get_string(object, "Ref", reported.ref, sizeof(reported.ref));
	cJSON_Delete(object);
	reported.is_cancelled = strcmp(reported.status, "aborted") == 0;
	reported.is_done = strcmp(reported.status, "done") == 0;
	return reported;
}

/* Checks only requests that were sent after a reply had reported the final status. */
static void check_final_status(const struct sim_job *job, double sent_at,
                               const struct reported_status *reported, const char *request)
{
	if (job->reported_done_at > 0 && sent_at > job->reported_done_at && !reported->is_done)
		sim_violation("status_reverted",
		              "job no longer done job=%s status=%s request=\"%s\"", job->spec.ref,
		              reported->status, request);
	if (job->reported_cancelled_at > 0 && sent_at > job->reported_cancelled_at &&
	    !reported->is_cancelled)
		sim_violation("status_reverted",
		              "job no longer cancelled job=%s status=%s request=\"%s\"",
		              job->spec.ref, reported->status, request);
}

static void check_status(struct sim_job *job, double sent_at, const char *body, const char *request)
{
	struct reported_status reported = decode_status(body);

	if (strcmp(reported.ref, job->spec.ref) != 0)
		sim_violation("wrong_job",
		              "reply names another job request=\"%s\" job=%s reply_job=%s", request,
		              job->spec.ref, reported.ref);
	check_final_status(job, sent_at, &reported, request);
	if (reported.is_cancelled && job->cancel_sent_at == 0)
		sim_violation("unrequested_cancellation",
		              "job cancelled without a cancellation request job=%s", job->spec.ref);
	if (reported.is_done && !sim_job_is_completed(job))
		sim_violation("not_done",
		              "job reported done before its completion job=%s request=\"%s\"",
		              job->spec.ref, request);
	if (reported.is_cancelled && job->reported_cancelled_at == 0)
		job->reported_cancelled_at = fl_now();
	if (reported.is_done && job->reported_done_at == 0)
		job->reported_done_at = fl_now();
}

/* ---- replies ---- */

static void check_accepted(struct sim_job *job, double sent_at, int status, const char *body)
{
	if (job->invalid)
		sim_violation("invalid_accepted", "invalid job accepted job=%s", job->spec.ref);
	if (job->accepted_at > 0 && status == 201 && sent_at > job->accepted_at)
		sim_violation("accepted_twice", "resubmitted job accepted as a new one job=%s",
		              job->spec.ref);
	if (job->accepted_at == 0)
		job->accepted_at = job->last_answered_at = fl_now();
	check_status(job, sent_at, body, "submission");
}

static void check_rejected(struct sim_job *job, int status, const char *body)
{
	if (job->accepted_at > 0)
		sim_violation("job_lost", "accepted job rejected when resubmitted job=%s status=%d",
		              job->spec.ref, status);
	else if (!job->invalid)
		sim_violation("valid_rejected", "valid job rejected job=%s status=%d body=\"%s\"",
		              job->spec.ref, status, body);
	job->rejected_at = fl_now();
}

void sim_check_submit_reply(struct sim_job *job, double sent_at, int status, const char *body)
{
	if (status == 200 || status == 201)
		check_accepted(job, sent_at, status, body);
	else if (status == 400 || status == 422)
		check_rejected(job, status, body);
}

void sim_check_query_reply(struct sim_job *job, double sent_at, int status, const char *body)
{
	if (status == 404 && sent_at > job->accepted_at)
		sim_violation("job_lost",
		              "accepted job not found by status query job=%s status=404",
		              job->spec.ref);
	if (status != 200)
		return;
	job->last_answered_at = fl_now();
	check_status(job, sent_at, body, "status query");
}

void sim_check_cancel_reply(struct sim_job *job, double sent_at, int status, const char *body)
{
	if (status == 404)
		sim_violation("job_lost",
		              "accepted job not found by cancellation job=%s status=404",
		              job->spec.ref);
	if (status == 200)
		check_status(job, sent_at, body, "cancellation");
}

/* ---- fencing tokens and rental names ---- */

static struct {
	char rental_names[IDS_MAX][64];
	int rental_processes[IDS_MAX], rental_count;
	uint64_t tokens[IDS_MAX];
	int token_processes[IDS_MAX], token_count;
} seen_ids;

void sim_check_unique_ids_begin(void) { memset(&seen_ids, 0, sizeof(seen_ids)); }

void sim_check_fencing_token(uint64_t fencing_token, int process)
{
	for (int i = 0; i < seen_ids.token_count; i++)
		if (seen_ids.tokens[i] == fencing_token) {
			if (seen_ids.token_processes[i] != process)
				sim_violation(
					"fencing_token",
					"fencing token used by two processes fencing_token=%llu",
					(unsigned long long)fencing_token);
			return;
		}
	if (seen_ids.token_count == IDS_MAX)
		return;
	seen_ids.tokens[seen_ids.token_count] = fencing_token;
	seen_ids.token_processes[seen_ids.token_count++] = process;
}

void sim_check_rental_name(const char *name, int process)
{
	for (int i = 0; i < seen_ids.rental_count; i++)
		if (strcmp(seen_ids.rental_names[i], name) == 0) {
			if (seen_ids.rental_processes[i] != process)
				sim_violation("rental_name",
				              "rental name used by two processes rental_name=%s",
				              name);
			return;
		}
	if (seen_ids.rental_count == IDS_MAX)
		return;
	snprintf(seen_ids.rental_names[seen_ids.rental_count], sizeof(seen_ids.rental_names[0]),
	         "%s", name);
	seen_ids.rental_processes[seen_ids.rental_count++] = process;
}
