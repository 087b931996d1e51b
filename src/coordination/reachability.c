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

void fl_reachability_proven(struct fl_machine *m)
{
	m->unheard = 0;
	m->unheard_since = 0;
	m->waited = false;
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
                      const struct fl_report *report, double gap)
{
	if (gap < tunables.timeout_s)
		return false;
	if (report->via && m->via && n->n_peers > 0)
		return report->via != m->via;
	return tunables.report_most * n->config->report_s < tunables.timeout_s;
}

/* Whether the report has every attempt that the last answer ordered, be it as refused. */
static bool launches_reported(const struct fl_machine *m, const struct fl_report *report)
{
	for (int i = 0; i < m->n_slots; i++) {
		const struct fl_job *job = m->slots[i].job;
		const struct fl_task *task = fl_task_peek(job, m->slots[i].index);
		bool found = false;

		if (!task->launch_sent)
			continue;
		for (int k = 0; k < report->n_tasks && !found; k++)
			found = report->tasks[k].index == m->slots[i].index &&
			        report->tasks[k].attempt == task->attempt &&
			        strcmp(report->tasks[k].ref, job->ref) == 0;
		if (!found)
			return false;
	}
	return true;
}

void fl_reachability_report(struct fl_node *n, struct fl_machine *m, const struct fl_report *report,
                            double now)
{
	bool incarnation_lost, no_effect;
	double gap = m->answered > 0 ? now - m->answered : 0;

	m->waited = timed_out(n, m, report, gap);
	m->via = report->via;
	if (m->answered <= 0)
		return;
	/* Had the last answer arrived, the lease could not have ended by now. */
	incarnation_lost = report->incarnation > m->incarnation && m->incarnation > 0 &&
	                   gap < n->config->lease_s - tunables.timeout_s;
	no_effect = report->fencing_token < m->last_reply_token || incarnation_lost ||
	            (m->answered_launch && !launches_reported(m, report));
	if (no_effect) {
		if (m->unheard++ == 0)
			m->unheard_since = m->answered;
		if (m->unheard == tunables.doubts)
			fl_info("workers", "%s does not seem to hear us: nothing new is placed",
			        m->name);
		return;
	}
	/* An answer without an order proves nothing, unless the worker did not time out. */
	if (m->answered_launch || !m->waited)
		fl_reachability_proven(m);
}

void fl_reachability_answered(struct fl_node *n, struct fl_machine *m, enum fl_answer_kind kind,
                              double now)
{
	m->answered = now;
	m->last_reply_token = n->election.fencing_token;
	m->answered_launch = kind == FL_ANSWER_WITH_LAUNCH;
}

bool fl_reachability_doubted(const struct fl_machine *m)
{
	return m->unheard >= tunables.doubts || m->waited;
}

double fl_reachability_lost_at(const struct fl_machine *m)
{
	return m->unheard >= tunables.doubts ? m->unheard_since : INFINITY;
}
