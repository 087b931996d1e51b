/* Which heartbeats count, and what they show of the machine itself. */
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
 * It may have been sent long before: after a failover nothing is known yet that would show a late
 * copy to be old. Such a heartbeat is answered, and does not count as contact. A worker that
 * receives the reply sends another heartbeat at once, with the fencing token.
 */
bool fl_reconcile_predates_leadership(const struct fl_node *node,
                                      const struct fl_heartbeat *heartbeat)
{
	return heartbeat->fencing_token < node->leadership.first_fencing_token;
}

static void describe(struct fl_node *node, struct fl_machine *machine,
                     const struct fl_heartbeat *heartbeat)
{
	int type = fl_machine_type_find(&node->cluster.machines, heartbeat->type);
	int zone = fl_symbol_find(&node->cluster.zones, heartbeat->zone);

	fl_cluster_describe_machine(machine, type, zone, heartbeat->spot, heartbeat->endpoint);
}

/* Records the notice of a spot machine's interruption; whether it is new. */
static bool record_interruption(struct fl_machine *machine, const struct fl_heartbeat *heartbeat,
                                double now)
{
	if (heartbeat->interruption_in_s < 0 || machine->lifecycle.interruption_at != 0)
		return false;
	machine->lifecycle.interruption_at = now + heartbeat->interruption_in_s;
	fl_info("cloud", "interruption notice: %s in_s=%.0f", machine->name,
	        heartbeat->interruption_in_s);
	return true;
}

void fl_reconcile_record_contact(const struct fl_heartbeat_context *context)
{
	const struct fl_heartbeat *heartbeat = context->heartbeat;
	struct fl_machine *machine = context->machine;
	struct fl_node *node = context->node;
	bool came_up = !machine->lifecycle.up, interrupted;

	describe(node, machine, heartbeat);
	machine->heartbeat.incarnation = heartbeat->incarnation;
	machine->heartbeat.sequence = heartbeat->sequence;
	machine->heartbeat.last_received_at = context->now;
	machine->lifecycle.up = true;
	machine->heartbeat.orphan_task_count = 0;
	interrupted = record_interruption(machine, heartbeat, context->now);
	if (came_up || interrupted)
		fl_condition_broadcast(&node->leadership.work_available);
	if (context->source != FL_HEARTBEAT_FROM_DIGEST)
		machine->outbound.last_reachable_at = context->now;
}
