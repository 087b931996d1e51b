#include "coordination/election/leadership.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "coordination/workers/command.h"
#include "coordination/node.h"
#include "coordination/scheduling/scheduling_cycle.h"
#include "coordination/workers/reconciliation.h"
#include "coordination/persistence/record_writer.h"
#include "coordination/election/failover.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double write_share, retry_s, watch_s, finished_s, end_wait_s;
} tunables = {
	.write_share = 0.7, /* share of the state service's writes that the leader's records use */
	.retry_s = 0.2,     /* s after a failed read */
	.watch_s = 10.0,    /* s; length of a watch */
	.finished_s = 0.5,  /* s between two lists of jobs done before */
	.end_wait_s = 1.0,  /* s between two looks whether the routines have ended */
};

bool fl_is_leader(const struct fl_node *node)
{
	return node->leadership.active && fl_election_lease_valid(node);
}

/* ---- reports that other nodes cached and could not relay ---- */

static void on_digest(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	const cJSON *item;

	if (!event->value || !fl_is_leader(node))
		return;
	cJSON_ArrayForEach (item, fl_digest_heartbeats(event->value)) {
		struct fl_heartbeat heartbeat;

		if (fl_cached_heartbeat_decode(item, &heartbeat) != 0) {
			fl_error("standby", "%s holds what is no report", event->key);
			continue;
		}
		/* The machine is alive, but not reachable from here: it gets no new task. */
		fl_reconcile_heartbeat(node, &heartbeat, NULL, FL_HEARTBEAT_FROM_DIGEST);
		fl_heartbeat_free(&heartbeat);
	}
}

static void digest_coroutine(void *arg)
{
	struct fl_node *node = arg;
	uint64_t revision = 0;

	while (!fl_coroutine_cancelled()) {
		int rc = revision == 0 ? fl_kv_list(&node->kv_store, FL_PREFIX_HEARTBEAT_DIGESTS,
		                                    on_digest, node, &revision)
		                       : fl_kv_watch(&node->kv_store, FL_PREFIX_HEARTBEAT_DIGESTS,
		                                     &revision, tunables.watch_s, on_digest, node);
		if (rc == -ERANGE)
			revision = 0;
		if (rc && fl_sleep(tunables.retry_s) != 0)
			break;
	}
	node->leadership.coroutines_running--;
	fl_condition_broadcast(&node->leadership.coroutine_ended);
}

/* ---- jobs that were done before this leadership ---- */

static void on_finished_job(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	const char *ref = event->key + strlen(FL_PREFIX_FINISHED);
	struct fl_job_record record;

	if (strlen(ref) >= FL_REF_MAX || !event->value ||
	    fl_job_record_decode(event->value, ref, &record) != 0 || record.status != FL_DONE)
		return;
	if (!node->cluster.finished_max ||
	    HASH_COUNT(node->cluster.finished) < node->cluster.finished_max)
		fl_finished_job_add(&node->cluster, ref, record.status, record.task_count, 0);
}

/*
 * Lists the finished jobs. Found with thousands of jobs of one task and an outage of all
 * controllers: each user of a job that was done before asked until it was read from its record, two
 * requests a job, and for many that took longer than a minute. A list returns a thousand in one
 * request; there are ten lists, by the first digit, with a pause in between, so that however many
 * jobs there are, others are served meanwhile.
 */
static void finished_jobs_coroutine(void *arg)
{
	struct fl_node *node = arg;
	char prefix[FL_KEY_MAX];
	uint64_t revision;
	int digit = 0;

	while (fl_sleep(tunables.finished_s) == 0) {
		if (digit > 9 || !fl_is_leader(node))
			continue;
		snprintf(prefix, sizeof(prefix), FL_PREFIX_FINISHED FL_REF_BEGIN "%d", digit);
		if (fl_kv_list(&node->kv_store, prefix, on_finished_job, node, &revision) == 0)
			digit++;
	}
	node->leadership.coroutines_running--;
	fl_condition_broadcast(&node->leadership.coroutine_ended);
}

/* ---- start and end ---- */

/* Starts one of the leader's routines, which are ended with the leadership. */
static void start_coroutine(struct fl_node *node, void (*fn)(void *))
{
	struct fl_coroutine *coroutine = fl_coroutine_spawn(fn, node);

	if (!coroutine) {
		fl_error("leader", "no room for a routine");
		return;
	}
	node->leadership.coroutines[node->leadership.coroutine_count++] = coroutine;
	node->leadership.coroutines_running++;
}

/* The routine that loads the cluster state and starts the others. */
static void leadership_coroutine(void *arg)
{
	struct fl_node *node = arg;
	double rate = node->config->state_write_rps * tunables.write_share;
	uint64_t lease_id = node->election.lease_id;
	int rc = fl_failover_load(node);

	node->leadership.loading = false;
	if (rc != 0 || !fl_election_lease_valid(node) || node->election.lease_id != lease_id) {
		fl_cluster_forget_tasks(&node->cluster);
		node->cluster.leading = false;
		return;
	}
	node->leadership.first_fencing_token = node->election.fencing_token;
	node->leadership.heartbeats_since = fl_now();
	node->leadership.active = true;
	node->leadership.cycle_due = true;
	fl_token_bucket_init(&node->leadership.write_budget, rate, rate, fl_now());
	start_coroutine(node, fl_scheduling_cycle_coroutine);
	start_coroutine(node, fl_record_writer_coroutine);
	start_coroutine(node, digest_coroutine);
	start_coroutine(node, fl_command_enforce_coroutine);
	fl_autoscaler_begin(node);
	start_coroutine(node, fl_autoscaler_coroutine);
	start_coroutine(node, finished_jobs_coroutine);
}

void fl_leadership_begin(struct fl_node *node)
{
	fl_record_writer_free_pending(node);
	memset(&node->leadership, 0, sizeof(node->leadership));
	node->leadership.loading = fl_coroutine_spawn(leadership_coroutine, node) != NULL;
	if (!node->leadership.loading)
		fl_error("leader", "no room for a routine");
}

void fl_leadership_end(struct fl_node *node)
{
	node->leadership.active = false;
	for (int i = 0; i < node->leadership.coroutine_count; i++)
		fl_coroutine_cancel(node->leadership.coroutines[i]);
	node->leadership.coroutine_count = 0;
	while (node->leadership.coroutines_running > 0 &&
	       fl_condition_wait(&node->leadership.coroutine_ended, tunables.end_wait_s) !=
	               -ECANCELED)
		;
	fl_cluster_forget_tasks(&node->cluster);
	node->cluster.leading = false;
	fl_info("leader", "%s has laid down the lead", node->config->node);
}
