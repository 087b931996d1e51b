#include "coordination/reachability.h"

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

void fl_reachability_confirm(struct fl_machine *m)
{
	m->unacknowledged_replies = 0;
	m->unacknowledged_since = 0;
	m->last_reply_timed_out = false;
}

/*
 * Whether the worker timed out on the last answer. A worker stays at a node that answers it, and
 * goes on to the next one after a timeout, so that two reports to the same node show that the
 * answer arrived. Found at the size at which workers report every 4 to 6 s: by the time between
 * two reports alone nearly every machine without an order seemed unreachable, and nine in ten got
 * no new work. Where only one node is known, the time decides, if reports are more frequent than
 * the timeout.
 */
static bool timed_out(const struct fl_node *n, const struct fl_machine *m,
                      const struct fl_heartbeat *heartbeat, double gap)
{
	if (gap < tunables.timeout_s)
		return false;
	if (heartbeat->entry_node && m->entry_node && n->peer_count > 0)
		return heartbeat->entry_node != m->entry_node;
	return tunables.report_most * n->config->report_s < tunables.timeout_s;
}

/* Whether the report has every attempt that the last answer ordered, be it as refused. */
static bool starts_reported(const struct fl_machine *m, const struct fl_heartbeat *heartbeat)
{
	for (int i = 0; i < m->assignment_count; i++) {
		const struct fl_job *job = m->assignments[i].job;
		const struct fl_task *task = fl_task_peek(job, m->assignments[i].index);
		bool found = false;

		if (!task->start_sent)
			continue;
		for (int k = 0; k < heartbeat->task_count && !found; k++)
			found = heartbeat->tasks[k].index == m->assignments[i].index &&
			        heartbeat->tasks[k].attempt == task->attempt &&
			        strcmp(heartbeat->tasks[k].ref, job->ref) == 0;
		if (!found)
			return false;
	}
	return true;
}

void fl_reachability_on_heartbeat(struct fl_node *n, struct fl_machine *m,
                                  const struct fl_heartbeat *heartbeat, double now)
{
	bool incarnation_lost, no_effect;
	double gap = m->last_reply_at > 0 ? now - m->last_reply_at : 0;

	m->last_reply_timed_out = timed_out(n, m, heartbeat, gap);
	m->entry_node = heartbeat->entry_node;
	if (m->last_reply_at <= 0)
		return;
	/* Had the last answer arrived, the lease could not have ended by now. */
	incarnation_lost = heartbeat->incarnation > m->incarnation && m->incarnation > 0 &&
	                   gap < n->config->lease_s - tunables.timeout_s;
	no_effect = heartbeat->fencing_token < m->last_reply_token || incarnation_lost ||
	            (m->last_reply_had_start && !starts_reported(m, heartbeat));
	if (no_effect) {
		if (m->unacknowledged_replies++ == 0)
			m->unacknowledged_since = m->last_reply_at;
		if (m->unacknowledged_replies == tunables.doubts)
			fl_info("workers", "%s does not seem to hear us: nothing new is placed",
			        m->name);
		return;
	}
	/* An answer without an order proves nothing, unless the worker did not time out. */
	if (m->last_reply_had_start || !m->last_reply_timed_out)
		fl_reachability_confirm(m);
}

void fl_reachability_on_reply(struct fl_node *n, struct fl_machine *m, enum fl_reply_kind kind,
                              double now)
{
	m->last_reply_at = now;
	m->last_reply_token = n->election.fencing_token;
	m->last_reply_had_start = kind == FL_REPLY_WITH_START;
}

bool fl_reachability_is_suspect(const struct fl_machine *m)
{
	return m->unacknowledged_replies >= tunables.doubts || m->last_reply_timed_out;
}

double fl_reachability_lost_since(const struct fl_machine *m)
{
	return m->unacknowledged_replies >= tunables.doubts ? m->unacknowledged_since : INFINITY;
}
