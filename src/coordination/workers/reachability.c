#include "coordination/workers/reachability.h"

#include <math.h>

#include "coordination/node.h"
#include "coordination/workers/heartbeat.h"
#include "transport/log.h"

static const struct {
	int max_unacknowledged;
	double timeout_s, max_interval_factor;
} tunables = {
	.max_unacknowledged = 2,     /* replies without effect before nothing more is placed */
	.timeout_s = 4.0,            /* s that a worker waits for a reply before the next node */
	.max_interval_factor = 1.25, /* heartbeat intervals between two heartbeats at most */
};

void fl_reachability_confirm(struct fl_machine *machine)
{
	machine->outbound.unacknowledged_replies = 0;
	machine->outbound.unacknowledged_since = 0;
	machine->outbound.last_reply_timed_out = false;
}

/*
 * Whether the worker timed out on the last reply. A worker stays at a node that answers it, and
 * goes on to the next one after a timeout, so that two heartbeats to the same node show that the
 * reply arrived. Found at the size at which workers send heartbeats every 4 to 6 s: by the time
 * between two heartbeats alone nearly every machine without a command seemed unreachable, and nine
 * in ten got no new work. Where only one node is known, the time decides, if heartbeats are more
 * frequent than the timeout.
 */
static bool timed_out(const struct fl_node *node, const struct fl_machine *machine,
                      const struct fl_heartbeat *heartbeat, double since_reply_s)
{
	if (since_reply_s < tunables.timeout_s)
		return false;
	if (heartbeat->entry_node_index && machine->heartbeat.entry_node && node->peer_count > 0)
		return heartbeat->entry_node_index != machine->heartbeat.entry_node;
	return tunables.max_interval_factor * node->config->report_s < tunables.timeout_s;
}

/* Whether the heartbeat has every attempt that the last reply started, be it as refused. */
static bool reports_all_starts(const struct fl_machine *machine,
                               const struct fl_heartbeat *heartbeat)
{
	for (int i = 0; i < machine->assignment_count; i++) {
		struct fl_assignment assignment = machine->assignments[i];

		if (fl_task_find(assignment.job, assignment.task_index)->start_sent &&
		    !fl_heartbeat_reports_attempt(heartbeat, assignment))
			return false;
	}
	return true;
}

/* Whether the worker's lease ended, though it could not have by now had the last reply arrived. */
static bool incarnation_lost(const struct fl_node *node, const struct fl_machine *machine,
                             const struct fl_heartbeat *heartbeat, double since_reply_s)
{
	return heartbeat->incarnation > machine->heartbeat.incarnation &&
	       machine->heartbeat.incarnation > 0 &&
	       since_reply_s < node->config->lease_s - tunables.timeout_s;
}

/* Whether this heartbeat shows that the last reply did not arrive. */
static bool last_reply_had_no_effect(const struct fl_node *node, const struct fl_machine *machine,
                                     const struct fl_heartbeat *heartbeat, double since_reply_s)
{
	if (heartbeat->fencing_token < machine->outbound.last_reply_token)
		return true;
	if (incarnation_lost(node, machine, heartbeat, since_reply_s))
		return true;
	return machine->outbound.last_reply_had_start && !reports_all_starts(machine, heartbeat);
}

static void count_unacknowledged(struct fl_machine *machine)
{
	if (machine->outbound.unacknowledged_replies++ == 0)
		machine->outbound.unacknowledged_since = machine->outbound.last_reply_at;
	if (machine->outbound.unacknowledged_replies == tunables.max_unacknowledged)
		fl_info("workers", "machine unreachable: %s unacknowledged_replies=%d",
		        machine->name, machine->outbound.unacknowledged_replies);
}

void fl_reachability_on_heartbeat(const struct fl_node *node, struct fl_machine *machine,
                                  const struct fl_heartbeat *heartbeat, double now)
{
	bool has_replied = machine->outbound.last_reply_at > 0;
	double since_reply_s = has_replied ? now - machine->outbound.last_reply_at : 0;

	machine->outbound.last_reply_timed_out = timed_out(node, machine, heartbeat, since_reply_s);
	machine->heartbeat.entry_node = heartbeat->entry_node_index;
	if (!has_replied)
		return;
	if (last_reply_had_no_effect(node, machine, heartbeat, since_reply_s))
		count_unacknowledged(machine);
	/* A reply without a start command proves nothing, unless the worker did not time out. */
	else if (machine->outbound.last_reply_had_start || !machine->outbound.last_reply_timed_out)
		fl_reachability_confirm(machine);
}

void fl_reachability_on_reply(struct fl_machine *machine, uint64_t fencing_token,
                              enum fl_reply_kind kind, double now)
{
	machine->outbound.last_reply_at = now;
	machine->outbound.last_reply_token = fencing_token;
	machine->outbound.last_reply_had_start = kind == FL_REPLY_WITH_START;
}

bool fl_reachability_is_suspect(const struct fl_machine *machine)
{
	return machine->outbound.unacknowledged_replies >= tunables.max_unacknowledged ||
	       machine->outbound.last_reply_timed_out;
}

double fl_reachability_lost_since(const struct fl_machine *machine)
{
	return machine->outbound.unacknowledged_replies >= tunables.max_unacknowledged
	               ? machine->outbound.unacknowledged_since
	               : INFINITY;
}
