#include "coordination/api/status_from_leader.h"

#include "coordination/api/job_lookup.h"
#include "coordination/api/job_status_response.h"
#include "coordination/node.h"
#include "coordination/persistence/job_record_refresh.h"
#include "coordination/responses.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "transport/clock.h"

struct fl_job_status_report fl_job_status_from_memory(const struct fl_cluster *cluster,
                                                      const char *ref)
{
	const struct fl_finished_job *finished = fl_finished_job_find(cluster, ref);
	const struct fl_job *job = finished ? NULL : fl_job_find(cluster, ref);

	if (finished)
		return fl_final_job_report(finished->status, finished->task_count);
	/* Another node may already have read a final record whose write is not confirmed here. */
	if (!job || job->record.final_write_in_flight || job->record.unresolved_writes > 0)
		return (struct fl_job_status_report){0};
	return fl_live_job_report(job);
}

/* Applies the final record to the cluster state, unless the state there is newer. */
static void apply_final_record(struct fl_node *node, const char *ref,
                               const struct fl_job_record *record, uint64_t revision)
{
	struct fl_job *job = node->leadership.active ? fl_job_find(&node->cluster, ref) : NULL;

	if (!job)
		fl_finished_job_add(&node->cluster, ref, record->status, record->task_count,
		                    fl_monotonic_from_wall(record->cancelled_wall));
	else if (revision > job->record.mod_revision)
		fl_job_record_apply_cancellation(node, job, record, revision);
}

/* Applies a live record; a job that the cluster state does not accept is reported pending. */
static struct fl_job_status_report apply_live_record(struct fl_node *node, const char *ref,
                                                     const cJSON *value, uint64_t revision)
{
	const struct fl_job *job =
		fl_cluster_apply_job_record(&node->cluster, ref, value, revision);

	if (job)
		return fl_live_job_report(job);
	return (struct fl_job_status_report){.status_known = true, .status = FL_PENDING};
}

enum fl_record_result fl_job_status_from_record(struct fl_node *node, const char *ref,
                                                struct fl_job_status_report *report)
{
	struct fl_job_record record;
	uint64_t revision;
	cJSON *value = NULL;
	enum fl_record_result result = fl_job_lookup_read(node, ref, &record, &value, &revision);
	const struct fl_finished_job *finished = fl_finished_job_find(&node->cluster, ref);

	if (finished) {
		/* The job finished while the record was being read. */
		*report = fl_final_job_report(finished->status, finished->task_count);
		result = FL_RECORD_FOUND;
	} else if (result == FL_RECORD_FOUND && record.final) {
		/* Without a value, the record is that of a finished job: nothing to apply. */
		if (value)
			apply_final_record(node, ref, &record, revision);
		*report = fl_final_job_report(record.status, record.task_count);
	} else if (result == FL_RECORD_FOUND) {
		*report = apply_live_record(node, ref, value, revision);
	}
	cJSON_Delete(value);
	return result;
}

void fl_respond_record_status(struct fl_http_response *response, const char *ref,
                              enum fl_record_result result,
                              const struct fl_job_status_report *report)
{
	switch (result) {
	case FL_RECORD_FOUND:
		fl_respond_job_status(response, ref, report);
		break;
	case FL_RECORD_NOT_FOUND:
		fl_respond_no_such_job(response, ref, "record, read by the leader");
		break;
	case FL_RECORD_UNREADABLE:
	case FL_RECORD_UNAVAILABLE:
		fl_respond_unavailable(response, "the key-value store does not answer");
		break;
	}
}

void fl_leader_respond_job_status(struct fl_node *node, const char *ref,
                                  struct fl_http_response *response)
{
	struct fl_job_status_report report = fl_job_status_from_memory(&node->cluster, ref);
	enum fl_record_result result;

	if (report.status_known) {
		fl_respond_job_status(response, ref, &report);
		return;
	}
	result = fl_job_status_from_record(node, ref, &report);
	fl_respond_record_status(response, ref, result, &report);
}
