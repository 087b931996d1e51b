#include "coordination/leadership/leadership.h"

#include <errno.h>
#include <string.h>

#include "coordination/api/cancellation_retry.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/leadership/failover.h"
#include "coordination/node.h"
#include "coordination/persistence/finished_jobs_loader.h"
#include "coordination/persistence/record_txn.h"
#include "coordination/persistence/record_writer.h"
#include "coordination/scheduling/scheduling_cycle.h"
#include "coordination/workers/command.h"
#include "coordination/workers/digest_reader.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double end_check_interval_s;
} tunables = {
	.end_check_interval_s = 1.0, /* between checks whether the coroutines have ended */
};

static void run_leader_coroutine(void *arg)
{
	struct fl_leader_coroutine *leader_coroutine = arg;
	struct fl_node *node = leader_coroutine->node;

	leader_coroutine->run(node);
	node->leadership.coroutines_running--;
	fl_condition_broadcast(&node->leadership.coroutine_ended);
}

/* Starts a coroutine that is cancelled when the leadership ends. */
static void start_leader_coroutine(struct fl_node *node, void (*run)(struct fl_node *))
{
	struct fl_leadership *leadership = &node->leadership;
	struct fl_leader_coroutine *slot = &leadership->coroutines[leadership->coroutine_count];

	*slot = (struct fl_leader_coroutine){.node = node, .run = run};
	slot->coroutine = fl_coroutine_spawn(run_leader_coroutine, slot);
	if (!slot->coroutine) {
		fl_error("leadership", "leader coroutine not started: out of memory; leadership "
		                       "continues without it");
		return;
	}
	leadership->coroutine_count++;
	leadership->coroutines_running++;
}

/* Starts the leader's coroutines; from then on this node makes decisions and responds. */
static void activate_leadership(struct fl_node *node)
{
	struct fl_leadership *leadership = &node->leadership;

	leadership->first_fencing_token = node->leader_lease.fencing_token;
	leadership->heartbeats_receivable_since = fl_now();
	leadership->active = true;
	leadership->cycle_due = true;
	fl_record_write_budget_init(node);
	fl_autoscaler_reset(node);
	start_leader_coroutine(node, fl_scheduling_cycle_run);
	start_leader_coroutine(node, fl_record_writer_run);
	start_leader_coroutine(node, fl_digest_reader_run);
	start_leader_coroutine(node, fl_cancellation_enforcement_run);
	start_leader_coroutine(node, fl_cancellation_retry_run);
	start_leader_coroutine(node, fl_autoscaler_run);
	start_leader_coroutine(node, fl_finished_jobs_loader_run);
}

/* Loads the cluster state and, if the lease is still valid, activates the leadership. */
static void load_and_activate_coroutine(void *arg)
{
	struct fl_node *node = arg;
	uint64_t lease_id = node->leader_lease.lease_id;
	enum fl_failover_result result = fl_failover_load_cluster(node);

	node->leadership.loading = false;
	if (result == FL_FAILOVER_LOADED && fl_leader_lease_is_valid(&node->leader_lease) &&
	    node->leader_lease.lease_id == lease_id) {
		activate_leadership(node);
		return;
	}
	fl_cluster_free_leader_state(&node->cluster);
	node->cluster.has_leader_state = false;
}

void fl_leadership_begin(struct fl_node *node)
{
	fl_record_writer_reset(&node->record_writer);
	memset(&node->leadership, 0, sizeof(node->leadership));
	node->leadership.loading = fl_coroutine_spawn(load_and_activate_coroutine, node) != NULL;
	if (!node->leadership.loading)
		fl_error("leadership", "failover not started: out of memory; retried");
}

void fl_leadership_end(struct fl_node *node)
{
	struct fl_leadership *leadership = &node->leadership;

	leadership->active = false;
	for (int i = 0; i < leadership->coroutine_count; i++)
		fl_coroutine_cancel(leadership->coroutines[i].coroutine);
	leadership->coroutine_count = 0;
	while (leadership->coroutines_running > 0 &&
	       fl_condition_wait(&leadership->coroutine_ended, tunables.end_check_interval_s) !=
	               -ECANCELED)
		;
	fl_cluster_free_leader_state(&node->cluster);
	node->cluster.has_leader_state = false;
	fl_info("leadership", "leadership ended node=%s", node->config->node);
}
