#include "coordination/workers/reachability.h"

#include <math.h>

#include "coordination/node.h"
#include "coordination/workers/heartbeat.h"
#include "transport/log.h"

static const struct {
	int max_unacknowledged_replies;
	double worker_reply_timeout_s, max_heartbeat_interval_factor;
} tunables = {
	.max_unacknowledged_replies = 2,       /* then the machine gets no new task */
	.worker_reply_timeout_s = 4.0,         /* then the worker tries the next node */
	.max_heartbeat_interval_factor = 1.25, /* of report_s: the longest heartbeat interval */
};

void fl_reachability_confirm(struct fl_machine *machine)
{
	machine->outbound.unacknowledged_replies = 0;
	machine->outbound.unacknowledged_since = 0;
	machine->outbound.last_reply_timed_out = false;
}

/*
 * Returns whether the worker timed out while waiting for the last reply. A worker keeps sending to
 * a node that replies and changes to the next node after a timeout, so two heartbeats to the same
 * node show that the reply arrived. The time between two heartbeats is not enough: with heartbeats
 * every 4 to 6 s nearly every machine without a command seemed unreachable, and nine in ten got no
 * new work. That time decides only if there is no other node or an entry node is not known, and if
 * heartbeats are more frequent than the timeout.
 */
static bool worker_timed_out(const struct fl_node *node, const struct fl_machine *machine,
                             const struct fl_heartbeat *heartbeat, double since_reply_s)
{
	if (since_reply_s < tunables.worker_reply_timeout_s)
		return false;
	if (heartbeat->entry_node_index && machine->heartbeat.last_entry_node_index &&
	    node->peer_count > 0)
		return heartbeat->entry_node_index != machine->heartbeat.last_entry_node_index;
	return tunables.max_heartbeat_interval_factor * node->config->report_s <
	       tunables.worker_reply_timeout_s;
}

/* Returns whether the heartbeat reports every attempt with a start command, even if refused. */
static bool reports_all_started_attempts(const struct fl_machine *machine,
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

/* Returns whether the worker's lease ended although the last reply should have renewed it. */
static bool incarnation_ended_early(const struct fl_node *node, const struct fl_machine *machine,
                                    const struct fl_heartbeat *heartbeat, double since_reply_s)
{
	return heartbeat->incarnation > machine->heartbeat.incarnation &&
	       machine->heartbeat.incarnation > 0 &&
	       since_reply_s < node->config->lease_s - tunables.worker_reply_timeout_s;
}

/* Returns whether the heartbeat shows that the last reply did not arrive. */
static bool last_reply_had_no_effect(const struct fl_node *node, const struct fl_machine *machine,
                                     const struct fl_heartbeat *heartbeat, double since_reply_s)
{
	if (heartbeat->fencing_token < machine->outbound.last_reply_token)
		return true;
	if (incarnation_ended_early(node, machine, heartbeat, since_reply_s))
		return true;
	return machine->outbound.last_reply_had_start &&
	       !reports_all_started_attempts(machine, heartbeat);
}

static void count_unacknowledged_reply(struct fl_machine *machine)
{
	if (machine->outbound.unacknowledged_replies++ == 0)
		machine->outbound.unacknowledged_since = machine->outbound.last_reply_at;
	if (machine->outbound.unacknowledged_replies == tunables.max_unacknowledged_replies)
		fl_info("workers", "machine unreachable machine=%s unacknowledged_replies=%d",
		        machine->name, machine->outbound.unacknowledged_replies);
}

void fl_reachability_on_heartbeat(const struct fl_node *node, struct fl_machine *machine,
                                  const struct fl_heartbeat *heartbeat, double now)
{
	bool has_replied = machine->outbound.last_reply_at > 0;
	double since_reply_s = has_replied ? now - machine->outbound.last_reply_at : 0;

	machine->outbound.last_reply_timed_out =
		worker_timed_out(node, machine, heartbeat, since_reply_s);
	machine->heartbeat.last_entry_node_index = heartbeat->entry_node_index;
	if (!has_replied)
		return;
	if (last_reply_had_no_effect(node, machine, heartbeat, since_reply_s))
		count_unacknowledged_reply(machine);
	/* A reply without a start command is acknowledged if the worker did not time out. */
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
	return machine->outbound.unacknowledged_replies >= tunables.max_unacknowledged_replies ||
	       machine->outbound.last_reply_timed_out;
}

double fl_reachability_lost_since(const struct fl_machine *machine)
{
	return machine->outbound.unacknowledged_replies >= tunables.max_unacknowledged_replies
	               ? machine->outbound.unacknowledged_since
	               : INFINITY;
}
