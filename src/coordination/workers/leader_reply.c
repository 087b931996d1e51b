#include "coordination/workers/leader_reply.h"

#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/workers/reconciliation.h"
#include "coordination/workers/renewal_rules.h"

/* Returns why the reply must not renew the worker's lease; NULL if it may. */
static const char *rejection_reason(const struct fl_node *node,
                                    const struct fl_heartbeat *heartbeat,
                                    enum fl_reconcile_result result, int command_count)
{
	if (fl_reconcile_is_rejection(result))
		return "machine unknown";
	if (!fl_renewal_watermark_is_fresh(node))
		return "cancellation watermark too old";
	/*
	 * The reconciliation adds no stop command for an ignored heartbeat, so a worker with an
	 * overdue task must not have its lease renewed: see fl_renewal_heartbeat_has_overdue_task.
	 */
	if (command_count == 0 && fl_renewal_heartbeat_has_overdue_task(node, heartbeat))
		return "task of a cancelled job overdue";
	return NULL;
}

void fl_leader_reply_respond(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                             struct fl_http_response *response)
{
	enum fl_reconcile_result result;
	struct fl_command_list commands;
	const char *reason;

	fl_command_list_init(&commands, node->leader_lease.fencing_token);
	result = fl_reconcile_heartbeat(node, heartbeat, &commands, FL_HEARTBEAT_FROM_WORKER);
	reason = rejection_reason(node, heartbeat, result, commands.count);
	if (reason) {
		cJSON_Delete(commands.root);
		fl_respond_error(response, 503, "%s", reason);
		return;
	}
	/* A duplicate heartbeat, or one from before this leadership, has no commands yet. */
	if (commands.count == 0)
		fl_renewal_add_stop_commands(&node->cluster, heartbeat, &commands);
	response->status = 200;
	response->body = fl_command_list_take_body(&commands);
}
