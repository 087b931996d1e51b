#include "coordination/api/status_from_records.h"

#include <stdio.h>

#include "coordination/api/job_lookup.h"
#include "coordination/api/job_status_response.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "storage/job_records.h"
#include "storage/keys.h"
#include "storage/progress_records.h"
#include "transport/clock.h"

/* Task counts of a job, summed over its progress records. */
struct progress {
	uint32_t done_count, placed_count;
};

static void add_task_block_counts(void *context, const struct fl_kv_event *event)
{
	struct progress *progress = context;

	fl_progress_record_add_counts(event->value, &progress->done_count, &progress->placed_count);
}

static struct fl_job_status_report read_progress_report(struct fl_kv_store *kv_store,
                                                        const char *ref)
{
	struct progress progress = {0};
	char key[FL_KEY_MAX];
	uint64_t revision;

	snprintf(key, sizeof(key), FL_PREFIX_PROGRESS "%s/", ref);
	fl_kv_list(kv_store, key, add_task_block_counts, &progress, &revision);
	return (struct fl_job_status_report){.status_known = true,
	                                     .status = progress.placed_count ? FL_RUNNING
	                                                                     : FL_PENDING,
	                                     .done_count = progress.done_count,
	                                     .running_count = progress.placed_count};
}

/* Reads the job's record; a cancellation found there is added to the cluster state. */
static enum fl_record_result read_record(struct fl_node *node, const char *ref,
                                         struct fl_job_record *record)
{
	uint64_t revision;
	cJSON *value = NULL;
	enum fl_record_result result = fl_job_lookup_read(node, ref, record, &value, &revision);

	/* The user will know of the cancellation, so this node's gossip must contain it. */
	if (result == FL_RECORD_FOUND && record->final && value)
		fl_cluster_mark_cancelled(&node->cluster, ref,
		                          fl_monotonic_from_wall(record->cancelled_wall));
	cJSON_Delete(value);
	return result;
}

static void respond_status_of_record(struct fl_node *node, const char *ref,
                                     const struct fl_job_record *record,
                                     struct fl_http_response *response)
{
	struct fl_job_status_report report;

	if (record->final) {
		report = fl_final_job_report(record->status, record->task_count);
	} else if (fl_job_lookup_take_budget(node, 1)) {
		report = read_progress_report(&node->kv_store, ref);
	} else {
		fl_respond_unavailable(response, "too many status queries");
		return;
	}
	fl_respond_job_status(response, ref, &report);
}

void fl_respond_status_from_records(struct fl_node *node, const char *ref,
                                    struct fl_http_response *response)
{
	struct fl_job_record record;

	switch (read_record(node, ref, &record)) {
	case FL_RECORD_FOUND:
		respond_status_of_record(node, ref, &record, response);
		break;
	case FL_RECORD_NOT_FOUND:
		fl_respond_no_such_job(response, ref, "records");
		break;
	case FL_RECORD_UNREADABLE:
	case FL_RECORD_UNAVAILABLE:
		fl_respond_unavailable(response,
		                       "neither the leader nor the key-value store answers");
		break;
	}
}
