#include "coordination/persistence/finished_jobs_loader.h"

#include <stdio.h>
#include <string.h>

#include "coordination/node.h"
#include "storage/job_records.h"
#include "storage/keys.h"

static const struct {
	double list_interval_s;
} tunables = {
	.list_interval_s = 0.5, /* pause between two lists */
};

static void on_finished_job(void *context, const struct fl_kv_event *event)
{
	struct fl_cluster *cluster = context;
	const char *ref = event->key + strlen(FL_PREFIX_FINISHED);
	struct fl_job_record record;

	if (strlen(ref) >= FL_REF_MAX || !event->value ||
	    fl_job_record_decode(event->value, ref, &record) != FL_DECODE_OK ||
	    record.status != FL_DONE)
		return;
	if (!cluster->finished_max || HASH_COUNT(cluster->finished) < cluster->finished_max)
		fl_finished_job_add(cluster, ref, record.status, record.task_count, 0);
}

void fl_finished_jobs_loader_run(struct fl_node *node)
{
	char prefix[FL_KEY_MAX];
	uint64_t revision;
	int digit = 0;

	while (fl_sleep(tunables.list_interval_s) == 0) {
		if (digit > 9 || !fl_is_leader(node))
			continue;
		snprintf(prefix, sizeof(prefix), FL_PREFIX_FINISHED FL_JOB_REF_PREFIX "%d", digit);
		if (fl_kv_list(&node->kv_store, prefix, on_finished_job, &node->cluster,
		               &revision) == FL_KV_OK)
			digit++;
	}
}
