#include "coordination/workers/reconciliation.h"

#include "coordination/node.h"
#include "coordination/workers/reachability.h"
#include "coordination/workers/reconciliation_internal.h"
#include "transport/clock.h"
#include "transport/log.h"

bool fl_reconcile_is_rejection(enum fl_reconcile_result result)
{
	switch (result) {
	case FL_RECONCILE_APPLIED:
	case FL_RECONCILE_IGNORED_STALE:
	case FL_RECONCILE_IGNORED_BEFORE_LEADERSHIP:
		return false;
	case FL_RECONCILE_DECOMMISSIONED:
	case FL_RECONCILE_HIGHER_TOKEN:
	case FL_RECONCILE_OUT_OF_MEMORY:
		return true;
	}
	return true;
}

/* Logs how many exited attempts the worker has to keep in its heartbeats. */
static void log_retained_exits(const struct fl_heartbeat_context *context, int retained)
{
	if (retained > 0)
		fl_debug("workers",
		         "exits retained machine=%s reported=%d retained=%d fencing_token=%llu "
		         "direct_starts=%d",
		         context->machine->name, context->heartbeat->task_count, retained,
		         (unsigned long long)context->heartbeat->fencing_token,
		         context->machine->outbound.direct_starts.count);
}

/* Applies a heartbeat. Reachability is checked first, against the unchanged cluster state. */
static void apply_heartbeat(const struct fl_heartbeat_context *context)
{
	const struct fl_heartbeat *heartbeat = context->heartbeat;
	struct fl_machine *machine = context->machine;
	struct fl_node *node = context->node;
	int retained_before = node->leadership.retained_exit_count;
	enum fl_reply_kind kind;

	switch (context->source) {
	case FL_HEARTBEAT_FROM_WORKER:
		fl_reachability_on_heartbeat(node, machine, heartbeat, context->now);
		break;
	case FL_HEARTBEAT_FROM_COMMAND:
		fl_reachability_confirm(machine);
		break;
	case FL_HEARTBEAT_FROM_DIGEST:
		break;
	}
	fl_reconcile_record_contact(context);
	/* The absence of a task from such a heartbeat proves nothing. */
	if (heartbeat->tasks_omitted)
		return;
	for (int i = 0; i < heartbeat->task_count; i++)
		fl_reconcile_reported_attempt(context, &heartbeat->tasks[i]);
	log_retained_exits(context, node->leadership.retained_exit_count - retained_before);
	kind = fl_reconcile_unreported_attempts(context);
	if (context->source == FL_HEARTBEAT_FROM_WORKER)
		fl_reachability_on_reply(machine, node->leader_lease.fencing_token, kind,
		                         context->now);
}

enum fl_reconcile_result fl_reconcile_heartbeat(struct fl_node *node,
                                                const struct fl_heartbeat *heartbeat,
                                                struct fl_command_list *commands,
                                                enum fl_heartbeat_source source)
{
	struct fl_heartbeat_context context = {
		.node = node,
		.machine = fl_machine_find(&node->cluster.machines, heartbeat->host),
		.heartbeat = heartbeat,
		.commands = commands,
		.source = source,
		.now = fl_now(),
	};

	if (context.machine && context.machine->lifecycle.decommissioned)
		return FL_RECONCILE_DECOMMISSIONED;
	/*
	 * The higher token is this leader's own, whose raise is not confirmed yet. The leader
	 * adopts it within a read of the election keys, and then applies the worker's next
	 * heartbeat.
	 */
	if (heartbeat->fencing_token > node->leader_lease.fencing_token)
		return FL_RECONCILE_HIGHER_TOKEN;
	if (fl_reconcile_predates_leadership(node, heartbeat))
		return FL_RECONCILE_IGNORED_BEFORE_LEADERSHIP;
	if (!context.machine)
		context.machine = fl_machine_get_or_add(&node->cluster.machines, heartbeat->host,
		                                        context.now);
	if (!context.machine)
		return FL_RECONCILE_OUT_OF_MEMORY;
	if (!fl_reconcile_heartbeat_is_newer(context.machine, heartbeat))
		return FL_RECONCILE_IGNORED_STALE;
	apply_heartbeat(&context);
	return FL_RECONCILE_APPLIED;
}

void fl_reconcile_record_renewal(struct fl_node *node, const struct fl_heartbeat *heartbeat)
{
	struct fl_machine *machine = fl_machine_find(&node->cluster.machines, heartbeat->host);

	if (machine && machine->lifecycle.up && fl_reconcile_heartbeat_is_newer(machine, heartbeat))
		fl_reachability_on_reply(machine, node->leader_lease.fencing_token,
		                         FL_REPLY_WITHOUT_START, fl_now());
}

void fl_reconcile_decommission(struct fl_node *node, struct fl_machine *machine, const char *reason)
{
	if (machine->lifecycle.decommissioned)
		return;
	fl_info("cloud", "machine decommissioned machine=%s reason=\"%s\" attempts=%d",
	        machine->name, reason, machine->assignment_count);
	machine->lifecycle.decommissioned = true;
	machine->lifecycle.decommissioned_at = fl_now();
	machine->lifecycle.up = false;
	while (machine->assignment_count > 0)
		fl_task_release(&node->cluster, machine->assignments[0].job,
		                machine->assignments[0].task_index, 0);
	fl_condition_broadcast(&node->leadership.work_available);
}
