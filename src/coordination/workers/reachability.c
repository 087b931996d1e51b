#include "coordination/workers/reachability.h"

#include <math.h>
#include <string.h>

#include "coordination/node.h"
#include "transport/log.h"

static const struct {
	int doubts;
	double timeout_s, report_most;
} tunables = {
	.doubts = 2,         /* answers without effect before nothing more is placed */
	.timeout_s = 4.0,    /* s that a worker waits for an answer before it tries another node */
	.report_most = 1.25, /* report intervals between two reports at most */
};

void fl_reachability_confirm(struct fl_machine *machine)
{
	machine->outbound.unacknowledged_replies = 0;
	machine->outbound.unacknowledged_since = 0;
	machine->outbound.last_reply_timed_out = false;
}

/*
 * Whether the worker timed out on the last answer. A worker stays at a node that answers it, and
 * goes on to the next one after a timeout, so that two reports to the same node show that the
 * answer arrived. Found at the size at which workers report every 4 to 6 s: by the time between
 * two reports alone nearly every machine without an order seemed unreachable, and nine in ten got
 * no new work. Where only one node is known, the time decides, if reports are more frequent than
 * the timeout.
 */
static bool timed_out(const struct fl_node *node, const struct fl_machine *machine,
                      const struct fl_heartbeat *heartbeat, double gap)
{
	if (gap < tunables.timeout_s)
		return false;
	if (heartbeat->entry_node && machine->heartbeat.entry_node && node->peer_count > 0)
		return heartbeat->entry_node != machine->heartbeat.entry_node;
	return tunables.report_most * node->config->report_s < tunables.timeout_s;
}

/* Whether the report has every attempt that the last answer ordered, be it as refused. */
static bool starts_reported(const struct fl_machine *machine, const struct fl_heartbeat *heartbeat)
{
	for (int i = 0; i < machine->assignment_count; i++) {
		const struct fl_job *job = machine->assignments[i].job;
		const struct fl_task *task = fl_task_peek(job, machine->assignments[i].index);
		bool found = false;

		if (!task->start_sent)
			continue;
		for (int k = 0; k < heartbeat->task_count && !found; k++)
			found = heartbeat->tasks[k].index == machine->assignments[i].index &&
			        heartbeat->tasks[k].attempt == task->attempt &&
			        strcmp(heartbeat->tasks[k].ref, job->ref) == 0;
		if (!found)
			return false;
	}
	return true;
}

void fl_reachability_on_heartbeat(struct fl_node *node, struct fl_machine *machine,
                                  const struct fl_heartbeat *heartbeat, double now)
{
	bool incarnation_lost, no_effect;
	double gap =
		machine->outbound.last_reply_at > 0 ? now - machine->outbound.last_reply_at : 0;

	machine->outbound.last_reply_timed_out = timed_out(node, machine, heartbeat, gap);
	machine->heartbeat.entry_node = heartbeat->entry_node;
	if (machine->outbound.last_reply_at <= 0)
		return;
	/* Had the last answer arrived, the lease could not have ended by now. */
	incarnation_lost = heartbeat->incarnation > machine->heartbeat.incarnation &&
	                   machine->heartbeat.incarnation > 0 &&
	                   gap < node->config->lease_s - tunables.timeout_s;
	no_effect =
		heartbeat->fencing_token < machine->outbound.last_reply_token || incarnation_lost ||
		(machine->outbound.last_reply_had_start && !starts_reported(machine, heartbeat));
	if (no_effect) {
		if (machine->outbound.unacknowledged_replies++ == 0)
			machine->outbound.unacknowledged_since = machine->outbound.last_reply_at;
		if (machine->outbound.unacknowledged_replies == tunables.doubts)
			fl_info("workers", "%s does not seem to hear us: nothing new is placed",
			        machine->name);
		return;
	}
	/* An answer without an order proves nothing, unless the worker did not time out. */
	if (machine->outbound.last_reply_had_start || !machine->outbound.last_reply_timed_out)
		fl_reachability_confirm(machine);
}

void fl_reachability_on_reply(struct fl_node *node, struct fl_machine *machine,
                              enum fl_reply_kind kind, double now)
{
	machine->outbound.last_reply_at = now;
	machine->outbound.last_reply_token = node->leader_lease.fencing_token;
	machine->outbound.last_reply_had_start = kind == FL_REPLY_WITH_START;
}

bool fl_reachability_is_suspect(const struct fl_machine *machine)
{
	return machine->outbound.unacknowledged_replies >= tunables.doubts ||
	       machine->outbound.last_reply_timed_out;
}

double fl_reachability_lost_since(const struct fl_machine *machine)
{
	return machine->outbound.unacknowledged_replies >= tunables.doubts
	               ? machine->outbound.unacknowledged_since
	               : INFINITY;
}
