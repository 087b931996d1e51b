/* Recognises stale heartbeats, and updates the state of the machine itself from the others. */
#include "coordination/node.h"
#include "coordination/workers/heartbeat.h"
#include "coordination/workers/reconciliation_internal.h"
#include "transport/log.h"

bool fl_reconcile_heartbeat_is_newer(const struct fl_machine *machine,
                                     const struct fl_heartbeat *heartbeat)
{
	if (machine->heartbeat.last_received_at <= 0)
		return true;
	return fl_heartbeat_is_newer_than(heartbeat, machine->heartbeat.incarnation,
	                                  machine->heartbeat.sequence);
}

/*
 * A heartbeat with an older fencing token may be a late copy: after a failover the leader has no
 * incarnation and sequence number to compare it with. It gets a reply, but does not count as
 * contact. A worker that receives the reply sends another heartbeat at once, with the new fencing
 * token.
 */
bool fl_reconcile_predates_leadership(const struct fl_node *node,
                                      const struct fl_heartbeat *heartbeat)
{
	return heartbeat->fencing_token < node->leadership.first_fencing_token;
}

static void describe_machine(struct fl_node *node, struct fl_machine *machine,
                             const struct fl_heartbeat *heartbeat)
{
	int type = fl_machine_type_find(&node->cluster.machines, heartbeat->type);
	int zone = fl_symbol_find(&node->cluster.zones, heartbeat->zone);

	fl_cluster_describe_machine(machine, type, zone, heartbeat->spot, heartbeat->endpoint);
}

/* Records the interruption notice of a spot machine; returns whether the notice is new. */
static bool record_interruption_notice(struct fl_machine *machine,
                                       const struct fl_heartbeat *heartbeat, double now)
{
	if (heartbeat->interruption_in_s < 0 || machine->lifecycle.interruption_at != 0)
		return false;
	machine->lifecycle.interruption_at = now + heartbeat->interruption_in_s;
	fl_info("cloud", "interruption notice received machine=%s in_s=%.0f", machine->name,
	        heartbeat->interruption_in_s);
	return true;
}

static int count_exited_tasks(const struct fl_heartbeat *heartbeat)
{
	int count = 0;

	for (int i = 0; i < heartbeat->task_count; i++)
		count += heartbeat->tasks[i].state == FL_TASK_STATE_EXITED;
	return count;
}

/* Drops the direct starts that the worker, as it shows itself in the heartbeat, rejects. */
static void drop_rejected_starts(struct fl_machine *machine, const struct fl_heartbeat *heartbeat)
{
	struct fl_direct_starts *starts = &machine->outbound.direct_starts;

	if (heartbeat->incarnation > machine->heartbeat.incarnation)
		fl_direct_starts_clear(starts);
	else
		fl_direct_starts_drop_below(starts, heartbeat->fencing_token);
}

void fl_reconcile_record_contact(const struct fl_heartbeat_context *context)
{
	const struct fl_heartbeat *heartbeat = context->heartbeat;
	struct fl_machine *machine = context->machine;
	struct fl_node *node = context->node;
	bool came_up = !machine->lifecycle.up, interrupted;

	describe_machine(node, machine, heartbeat);
	drop_rejected_starts(machine, heartbeat);
	machine->heartbeat.incarnation = heartbeat->incarnation;
	machine->heartbeat.sequence = heartbeat->sequence;
	machine->heartbeat.last_received_at = context->now;
	machine->lifecycle.up = true;
	machine->heartbeat.orphan_task_count = 0;
	if (!heartbeat->tasks_omitted)
		machine->heartbeat.exited_task_count = count_exited_tasks(heartbeat);
	interrupted = record_interruption_notice(machine, heartbeat, context->now);
	if (came_up || interrupted)
		fl_condition_broadcast(&node->leadership.work_available);
	if (context->source != FL_HEARTBEAT_FROM_DIGEST)
		machine->outbound.last_reachable_at = context->now;
}
