#include "coordination/job_watch.h"

#include <math.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/workers/command.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double retry_s, watch_s;
} tunables = {
	.retry_s = 0.5, /* s after a failed read */
	.watch_s = 1.0, /* s; length of a watch, whose end shows that nothing was missed */
};

/* ---- what every node knows ---- */

static void on_job_event(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	const char *ref = event->key + strlen(FL_PREFIX_JOBS);
	struct fl_job *job;
	bool known;

	if (strlen(ref) >= FL_REF_MAX)
		return;
	job = fl_job_find(&node->cluster, ref);
	known = job && job->cancelled;
	job = fl_cluster_apply_job_record(&node->cluster, ref, event->value, event->mod_revision);
	if (!job || !node->leadership.active)
		return;
	if (job->cancelled && !known) {
		fl_info("jobs", "%s is cancelled, says its record", ref);
		fl_command_stop_job(node, job);
	}
	node->leadership.cycle_due = true;
	fl_condition_broadcast(&node->leadership.work_available);
}

static void job_watch_coroutine(void *arg)
{
	struct fl_node *node = arg;
	uint64_t revision = 0;

	while (!node->machine_types_known)
		if (fl_sleep(tunables.retry_s / 5) != 0)
			return;
	while (!fl_coroutine_cancelled()) {
		double sent = fl_now();
		enum fl_kv_result result;

		if (revision == 0) {
			if (!node->cluster.leading)
				fl_cluster_list_begin(&node->cluster);
			result = fl_kv_list(&node->kv_store, FL_PREFIX_JOBS, on_job_event, node,
			                    &revision);
			if (result == FL_KV_OK && !node->cluster.leading)
				fl_cluster_list_end(&node->cluster, revision);
		} else {
			result = fl_kv_watch(&node->kv_store, FL_PREFIX_JOBS, &revision,
			                     tunables.watch_s, on_job_event, node);
		}
		if (result == FL_KV_OK)
			node->cancellation_watermark = fmax(node->cancellation_watermark, sent);
		if (result == FL_KV_OK && !node->jobs_known) {
			node->jobs_known = true;
			fl_condition_broadcast(&node->jobs_listed);
			fl_info("node", "%s is ready", node->config->node);
		}
		if (result == FL_KV_COMPACTED)
			revision = 0;
		if (result != FL_KV_OK && fl_sleep(tunables.retry_s) != 0)
			return;
	}
}

void fl_job_watch_start(struct fl_node *node) { fl_coroutine_spawn(job_watch_coroutine, node); }
