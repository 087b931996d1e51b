#include "coordination/job_watch.h"

#include <math.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/workers/command.h"
#include "protocol/kv_follow.h"
#include "storage/job_updates.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double types_check_interval_s, retry_s, watch_timeout_s;
} tunables = {
	.types_check_interval_s = 0.1, /* between checks whether machine types are loaded */
	.retry_s = 0.5,                /* delay after a failed read */
	/* Duration of one watch request, whose completion shows that no change was missed. */
	.watch_timeout_s = 1.0,
};

static void on_job_event(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	const char *ref = event->key + strlen(FL_PREFIX_JOBS);
	struct fl_job *job;
	bool was_cancelled;

	if (strlen(ref) >= FL_REF_MAX)
		return;
	job = fl_job_find(&node->cluster, ref);
	was_cancelled = job && job->cancelled;
	job = fl_cluster_apply_job_record(&node->cluster, ref, event->value, event->mod_revision);
	if (!job || !node->leadership.active)
		return;
	if (job->cancelled && !was_cancelled) {
		fl_info("jobs", "job cancelled job=%s source=record", ref);
		fl_command_stop_cancelled_job(node, job);
	}
	node->leadership.cycle_due = true;
	fl_condition_broadcast(&node->leadership.work_available);
}

/* Lists the live jobs. A watch can continue from `*revision`, the revision of the list. */
static enum fl_kv_result list_jobs(void *context, uint64_t *revision)
{
	struct fl_node *node = context;
	enum fl_kv_result result;

	/* While a node leads, its failover lists the jobs: see fl_failover_load_cluster. */
	if (!node->cluster.has_leader_state)
		fl_cluster_begin_job_list(&node->cluster);
	result = fl_kv_list(&node->kv_store, FL_PREFIX_JOBS, on_job_event, node, revision);
	if (result == FL_KV_OK && !node->cluster.has_leader_state)
		fl_cluster_end_job_list(&node->cluster, *revision);
	return result;
}

/*
 * Handles the success of a list or watch that was sent at `sent_at` (monotonic clock, s): no change
 * before then was missed.
 */
static void on_jobs_read(void *context, double sent_at)
{
	struct fl_node *node = context;

	node->cancellation_watermark = fmax(node->cancellation_watermark, sent_at);
	if (node->live_jobs_loaded)
		return;
	node->live_jobs_loaded = true;
	fl_condition_broadcast(&node->jobs_listed);
	fl_info("node", "controller ready node=%s", node->config->node);
}

static void job_watch_coroutine(void *arg)
{
	struct fl_node *node = arg;
	const struct fl_kv_follow follow = {.watch = {.prefix = FL_PREFIX_JOBS,
	                                              .timeout_s = tunables.watch_timeout_s,
	                                              .on_event = on_job_event,
	                                              .context = node},
	                                    .retry_s = tunables.retry_s,
	                                    .list = list_jobs,
	                                    .on_read = on_jobs_read};

	while (!node->machine_types_loaded)
		if (fl_sleep(tunables.types_check_interval_s) != 0)
			return;
	fl_kv_follow(&node->kv_store, &follow);
}

void fl_job_watch_start(struct fl_node *node) { fl_coroutine_spawn(job_watch_coroutine, node); }
