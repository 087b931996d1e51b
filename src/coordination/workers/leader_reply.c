#include "coordination/workers/leader_reply.h"

#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/workers/reconciliation.h"
#include "coordination/workers/renewal_rules.h"

void fl_heartbeat_reply_as_leader(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                                  struct fl_http_response *response)
{
	struct fl_command_list commands;
	int rc;

	fl_command_list_init(&commands, node->leader_lease.fencing_token);
	rc = fl_reconcile_heartbeat(node, heartbeat, &commands, FL_HEARTBEAT_FROM_WORKER);
	/* What is only answered, not taken in, gets no stop either: see holds_overdue. */
	if (rc == 0 && fl_renewal_watermark_is_fresh(node) &&
	    (commands.count > 0 || !fl_renewal_holds_overdue_task(node, heartbeat))) {
		/* The same report relayed twice, or from before this leadership. */
		if (commands.count == 0)
			fl_renewal_stop_cancelled(node, heartbeat, &commands);
		response->status = 200;
		response->body = fl_command_list_take(&commands);
	} else {
		cJSON_Delete(commands.root);
		fl_respond_error(response, 503,
		                 rc ? "this machine is not known any more"
		                 : !fl_renewal_watermark_is_fresh(node)
		                         ? "the jobs have not been heard of for too long"
		                         : "a cancelled job's task is there");
	}
}
