#include "coordination/reachability.h"

#include <math.h>
#include <string.h>

#include "coordination/node.h"
#include "transport/log.h"

static const struct {
	int doubts;
	double patience_s, report_most;
} tunables = {
	.doubts = 2,         /* answers without effect before nothing more is placed */
	.patience_s = 4.0,   /* s that a worker waits for an answer before it tries another node */
	.report_most = 1.25, /* report intervals between two reports at most */
};

void fl_reachability_proven(struct fl_machine *m)
{
	m->unheard = 0;
	m->unheard_since = 0;
	m->waited = false;
}

/*
 * A worker stays at a node that answers it, and goes on to the next one when it has waited an
 * answer out. So the same node twice shows that the answer came. Found at the size at which
 * workers report every 4 to 6 s: the time between two reports alone made nearly every machine that
 * nothing was ordered on look deaf, and nine in ten got no new work. Where only one node is known,
 * the time tells if reports come sooner than patience ends.
 */
static bool waited_out(const struct fl_node *n, const struct fl_machine *m,
                       const struct fl_report *r, double gap)
{
	if (gap < tunables.patience_s)
		return false;
	if (r->via && m->via && n->n_peers > 0)
		return r->via != m->via;
	return tunables.report_most * n->config->report_s < tunables.patience_s;
}

/* An attempt that the last answer ordered must show, be it as refused. */
static bool launch_shows(const struct fl_machine *m, const struct fl_report *r)
{
	for (int i = 0; i < m->n_slots; i++) {
		const struct fl_job *job = m->slots[i].job;
		const struct fl_task *t = fl_task_peek(job, m->slots[i].index);
		bool there = false;

		if (!t->launch_sent)
			continue;
		for (int k = 0; k < r->n_tasks && !there; k++)
			there = r->tasks[k].index == m->slots[i].index &&
			        r->tasks[k].attempt == t->attempt &&
			        strcmp(r->tasks[k].ref, job->ref) == 0;
		if (!there)
			return false;
	}
	return true;
}

void fl_reachability_report(struct fl_node *n, struct fl_machine *m, const struct fl_report *r,
                            double now)
{
	bool session_lost, missed;
	double gap;

	gap = m->answered > 0 ? now - m->answered : 0;
	m->waited = waited_out(n, m, r, gap);
	m->via = r->via;
	if (m->answered <= 0)
		return;
	/* Had it heard the last answer, its lease could not have ended by now. */
	session_lost = r->session > m->session && m->session > 0 &&
	               gap < n->config->lease_s - tunables.patience_s;
	missed = r->epoch < m->answered_epoch || session_lost ||
	         (m->answered_launch && !launch_shows(m, r));
	if (missed) {
		if (m->unheard++ == 0)
			m->unheard_since = m->answered;
		if (m->unheard == tunables.doubts)
			fl_info("workers", "%s does not seem to hear us: nothing new is placed",
			        m->name);
		return;
	}
	/* An answer with nothing to show proves nothing, unless it was not waited out. */
	if (m->answered_launch || !m->waited)
		fl_reachability_proven(m);
}

void fl_reachability_answered(struct fl_node *n, struct fl_machine *m, bool launch, double now)
{
	m->answered = now;
	m->answered_epoch = n->lease.epoch;
	m->answered_launch = launch;
}

bool fl_reachability_doubted(const struct fl_machine *m)
{
	return m->unheard >= tunables.doubts || m->waited;
}

double fl_reachability_lost_at(const struct fl_machine *m)
{
	return m->unheard >= tunables.doubts ? m->unheard_since : INFINITY;
}
