#include "coordination/persistence/job_record_refresh.h"

#include "coordination/node.h"
#include "coordination/workers/command.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "transport/log.h"

void fl_job_record_apply_cancellation(struct fl_node *node, struct fl_job *job,
                                      const struct fl_job_record *record, uint64_t revision)
{
	if (!fl_cluster_update_live_job(&node->cluster, job, record, revision))
		return;
	fl_command_stop_cancelled_job(node, job);
	fl_info("jobs", "job cancelled job=%s source=record", job->ref);
}

enum fl_record_result fl_job_record_refresh(struct fl_node *node, const char *ref,
                                            struct fl_refreshed_job *out)
{
	struct fl_job_record record;
	cJSON *value = NULL;
	uint64_t revision;
	struct fl_job *job;
	enum fl_record_result result =
		fl_job_record_read(&node->kv_store, ref, &record, &value, &revision);

	if (result == FL_RECORD_FOUND) {
		*out = (struct fl_refreshed_job){.is_finished = !value, .status = record.status};
		job = node->leadership.active ? fl_job_find(&node->cluster, ref) : NULL;
		fl_info("jobs", "job record read again job=%s revision=%llu final=%d", ref,
		        (unsigned long long)revision, record.final);
		if (value && job)
			fl_job_record_apply_cancellation(node, job, &record, revision);
	}
	cJSON_Delete(value);
	return result;
}
