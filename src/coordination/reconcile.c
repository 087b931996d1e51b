#include "coordination/reconcile.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#include "coordination/reachability.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double refused_s, backoff_s, backoff_most_s;
	uint32_t doublings_most, consecutive_failures;
	int faults, unproven_faults, blamed_failures;
	double avoid_s, checkpoint_margin_s;
} tunables = {
	.refused_s = 1.0,           /* s before a refused start is tried again */
	.backoff_s = 2.0,           /* s after the first failure of a task, doubled each time */
	.backoff_most_s = 60.0,     /* s; the most that a failing task waits */
	.doublings_most = 16,       /* failures counted: far beyond backoff_most_s */
	.consecutive_failures = 4,  /* failures of a job in a row before all of it waits */
	.faults = 2,                /* failures on a machine before it is avoided */
	.unproven_faults = 3,       /* the same, of a job no task of which ever completed */
	.blamed_failures = 4,       /* failures of a job in a row that still blame the machine */
	.avoid_s = 120.0,           /* s for which it is avoided */
	.checkpoint_margin_s = 1.0, /* s that a stop may take beside the checkpoint itself */
};

/* Newer by session, then sequence number; the first report received is always newer. */
static bool newer(const struct fl_machine *m, const struct fl_report *report)
{
	if (m->heard <= 0)
		return true;
	return report->incarnation > m->incarnation ||
	       (report->incarnation == m->incarnation && report->sequence > m->sequence);
}

/*
 * Whether the absence of an attempt from this report proves that it is not on the machine. Not if
 * the report may have been sent before an older leader's answer was executed, nor if a direct
 * launch may still arrive: both are ruled out once the worker has seen a higher epoch than they
 * carry. Nor if the report replies to a command and an answer has ordered the launch: the reply may
 * overtake the answer, which may be under way until the worker sends its next report of its own.
 */
static bool absence_proves(const struct fl_machine *m, const struct fl_task *task,
                           const struct fl_report *report, enum fl_report_source source)
{
	if (task->launch_sent && source == FL_SOURCE_COMMAND)
		return false;
	/* The launch of an answer is executed before the worker's next report or never. */
	return m->direct_start_token == 0 || report->fencing_token > m->direct_start_token;
}

/*
 * A finished entry may be dropped by the worker only when no late launch can restart it. One of an
 * older leader cannot: a report that counts carries this leadership's epoch.
 */
static bool may_forget(const struct fl_machine *m, const struct fl_report *report)
{
	return report->fencing_token > m->direct_start_token;
}

/* Whether the attempt is to run on, rather than be stopped. */
static bool should_run(const struct fl_job *job, const struct fl_task *task)
{
	return !job->cancelled && task->stop == FL_STOP_NONE;
}

/* Time that a stopped attempt gets to write its checkpoint. */
static double stop_grace_s(const struct fl_job *job, const struct fl_task *task)
{
	if (job->cancelled || job->checkpoint_every_s <= 0 ||
	    task->observed == FL_OBSERVED_FLUSHING)
		return 0;
	return job->checkpoint_cost_s + tunables.checkpoint_margin_s;
}

/* Time before the next attempt after so many failures. */
static double backoff(uint32_t failures)
{
	return fmin(tunables.backoff_most_s,
	            tunables.backoff_s * pow(2, fmin(failures, tunables.doublings_most) - 1));
}

static void record_failure(struct fl_machine *m, struct fl_job *job, struct fl_task *task,
                           double now)
{
	int faults;

	if (task->fails < tunables.doublings_most)
		task->fails++;
	job->consecutive_failures++;
	m->faults++;
	/* A job submitted with a mistake fails everywhere, each of its tasks for the first time. */
	if (job->consecutive_failures > tunables.consecutive_failures)
		job->not_before =
			now + backoff(job->consecutive_failures - tunables.consecutive_failures);
	/*
	 * A job that fails everywhere must not make machines look faulty: two of its tasks on one
	 * machine are no evidence, unless others of them have completed.
	 */
	faults = job->n_done > 0 ? tunables.faults : tunables.unproven_faults;
	if (m->faults >= faults && job->consecutive_failures <= (uint32_t)tunables.blamed_failures)
		m->avoid_until = now + tunables.avoid_s;
	fl_info("workers", "%s failed on %s (machine faults %d, job consecutive failures %u)",
	        job->ref, m->name, m->faults, job->consecutive_failures);
}

static void handle_ended(struct fl_node *n, struct fl_machine *m, struct fl_job *job,
                         uint32_t index, struct fl_task *task, const struct fl_task_report *entry,
                         double now)
{
	double pause = 0;

	switch (entry->exit) {
	case FL_EXIT_DONE:
		fl_debug("workers", "%s/%u done on %s after %.1f s of %.1f", job->ref, index,
		         m->name, now - task->since, job->expected_s);
		job->consecutive_failures = 0;
		job->not_before = 0;
		m->faults = 0;
		fl_task_done(&n->cluster, job, index);
		fl_signal_wake(&n->leadership.work_available);
		return;
	case FL_EXIT_STOPPED:
	case FL_EXIT_MATES_GONE:
	case FL_EXIT_ALONE:
		break;
	case FL_EXIT_NO_ROOM:
	case FL_EXIT_BUSY:
		pause = tunables.refused_s;
		fl_info("workers", "%s refused %s/%u (%s)", m->name, job->ref, index,
		        entry->exit == FL_EXIT_BUSY ? "busy" : "no room");
		break;
	default:
		record_failure(m, job, task, now);
		pause = backoff(task->fails);
		break;
	}
	fl_task_release(&n->cluster, job, index, pause > 0 ? now + pause : 0);
	fl_signal_wake(&n->leadership.work_available);
}

static enum fl_observed_state observed_of(enum fl_task_state s)
{
	switch (s) {
	case FL_PULLING:
	case FL_GATHERING:
		return FL_OBSERVED_PULLING;
	case FL_FLUSHING:
		return FL_OBSERVED_FLUSHING;
	default:
		return FL_OBSERVED_RUNNING;
	}
}

/*
 * An entry that is not a current attempt: it is stopped if it runs, and forgotten by the worker
 * when that is safe.
 */
static void handle_stale(struct fl_node *n, struct fl_machine *m, struct fl_job *job,
                         const struct fl_task_report *entry, const struct fl_report *report,
                         struct fl_orders *orders)
{
	if (entry->state != FL_ENDED) {
		m->foreign++;
		if (orders)
			fl_orders_add(orders, FL_KILL, entry->ref, entry->index, entry->attempt, 0);
		return;
	}
	/* Completed is completed, whichever attempt it was. */
	if (entry->exit == FL_EXIT_DONE && job && !job->cancelled && entry->index < job->n_tasks &&
	    job->kind == FL_ARRAY) {
		struct fl_task *task = fl_task_get(job, entry->index);

		if (task && task->phase == FL_TASK_WAITING) {
			fl_task_done(&n->cluster, job, entry->index);
			fl_signal_wake(&n->leadership.work_available);
		}
	}
	if (!may_forget(m, report))
		n->leadership.retained_exit_count++;
	else if (orders &&
	         (!job || entry->index >= job->n_tasks || fl_task_durable(job, entry->index)))
		fl_orders_add(orders, FL_FORGET, entry->ref, entry->index, entry->attempt, 0);
}

static void handle_reported(struct fl_node *n, struct fl_machine *m,
                            const struct fl_task_report *entry, const struct fl_report *report,
                            struct fl_orders *orders, double now)
{
	struct fl_job *job = fl_job_find(&n->cluster, entry->ref);
	struct fl_task *task =
		job && entry->index < job->n_tasks ? fl_task_peek(job, entry->index) : NULL;

	if (!task || task->phase != FL_TASK_PLACED || task->machine != m->id ||
	    task->attempt != entry->attempt) {
		handle_stale(n, m, job, entry, report, orders);
		return;
	}
	fl_machine_note_image(m, job->image);
	if (entry->state == FL_ENDED) {
		handle_ended(n, m, job, entry->index, task, entry, now);
		return;
	}
	if (task->observed != observed_of(entry->state)) {
		fl_debug("workers", "%s/%u is %s on %s after %.1f s", job->ref, entry->index,
		         observed_of(entry->state) == FL_OBSERVED_RUNNING   ? "running"
		         : observed_of(entry->state) == FL_OBSERVED_PULLING ? "pulling"
		                                                            : "saving",
		         m->name, now - task->since);
		fl_task_observe(job, task, observed_of(entry->state), now);
		fl_signal_wake(&n->leadership.work_available);
	}
	if (!should_run(job, task) && orders)
		fl_orders_add(orders, FL_KILL, entry->ref, entry->index, entry->attempt,
		              stop_grace_s(job, task));
}

static bool in_report(const struct fl_report *report, const struct fl_job *job, uint32_t index,
                      uint32_t attempt)
{
	for (int i = 0; i < report->n_tasks; i++)
		if (report->tasks[i].index == index && report->tasks[i].attempt == attempt &&
		    strcmp(report->tasks[i].ref, job->ref) == 0)
			return true;
	return false;
}

/*
 * The attempts that are placed on the machine and were not reported: each is launched, or concluded
 * to be gone.
 */
static enum fl_answer_kind handle_missing(struct fl_node *n, struct fl_machine *m,
                                          const struct fl_report *report, struct fl_orders *orders,
                                          enum fl_report_source source, double now)
{
	enum fl_answer_kind kind = FL_ANSWER_WITHOUT_LAUNCH;

	for (int i = m->n_slots - 1; i >= 0; i--) {
		struct fl_job *job = m->slots[i].job;
		uint32_t index = m->slots[i].index;
		struct fl_task *task = fl_task_peek(job, index);

		if (in_report(report, job, index, task->attempt))
			continue;
		if (task->incarnation < report->incarnation) {
			/* The session in which it was placed is over, and so is the attempt. */
			fl_info("workers", "%s/%u lost: %s began a new session", job->ref, index,
			        m->name);
			fl_task_release(&n->cluster, job, index, 0);
			fl_signal_wake(&n->leadership.work_available);
			continue;
		}
		if (task->observed != FL_OBSERVED_NONE) {
			/* Was seen in this session, was never forgotten, and is no more. */
			fl_error("workers", "%s/%u vanished from %s", job->ref, index, m->name);
			fl_task_observe(job, task, FL_OBSERVED_NONE, now);
		}
		if (!should_run(job, task)) {
			if (absence_proves(m, task, report, source)) {
				fl_task_release(&n->cluster, job, index, 0);
				fl_signal_wake(&n->leadership.work_available);
			} else if (m->direct_start_token >= report->fencing_token &&
			           m->direct_start_token > 0) {
				n->election.token_raise_wanted = true;
			}
		} else if (orders && fl_task_durable(job, index)) {
			fl_orders_add(orders, FL_LAUNCH, job->ref, index, task->attempt, 0);
			task->launch_sent = true;
			kind = FL_ANSWER_WITH_LAUNCH;
		}
	}
	return kind;
}

static void describe(struct fl_node *n, struct fl_machine *m, const struct fl_report *report)
{
	int type = fl_machine_type_find(&n->cluster.machines, report->type);
	int zone = fl_names_find(&n->cluster.zones, report->zone);

	fl_cluster_describe(&n->cluster, m, type, zone, report->spot, report->endpoint);
}

/*
 * Whether a report was sent before its worker knew of this leadership, maybe long before: after a
 * takeover nothing is known yet that would show a late copy to be old. Such a report is answered,
 * and does not count as contact. A worker that receives the answer reports again at once, with the
 * epoch.
 */
static bool predates_leadership(const struct fl_node *n, const struct fl_report *report)
{
	return report->fencing_token < n->leadership.first_fencing_token;
}

static void record_contact(struct fl_node *n, struct fl_machine *m, const struct fl_report *report,
                           double now)
{
	bool changed = !m->up;

	describe(n, m, report);
	m->incarnation = report->incarnation;
	m->sequence = report->sequence;
	m->heard = now;
	m->up = true;
	m->foreign = 0;
	if (report->reclaim_in_s >= 0 && m->reclaim_at == 0) {
		m->reclaim_at = now + report->reclaim_in_s;
		fl_info("cloud", "%s will be taken back in %.0f s", m->name, report->reclaim_in_s);
		changed = true;
	}
	if (changed)
		fl_signal_wake(&n->leadership.work_available);
}

int fl_reconcile_report(struct fl_node *n, const struct fl_report *report, struct fl_orders *orders,
                        enum fl_report_source source)
{
	double now = fl_now();
	struct fl_machine *m = fl_machine_find(&n->cluster.machines, report->host);
	enum fl_answer_kind kind;

	if (m && m->gone)
		return -ENOENT;
	if (report->fencing_token > n->election.fencing_token)
		return -ENOENT; /* our own epoch, being raised: the next report is taken */
	if (predates_leadership(n, report))
		return 0;
	if (!m)
		m = fl_machine_get(&n->cluster.machines, report->host, now);
	if (!m)
		return -ENOENT;
	if (!newer(m, report))
		return 0;
	if (source == FL_SOURCE_COMMAND)
		fl_reachability_proven(m);
	else if (source == FL_SOURCE_REPORT)
		fl_reachability_report(n, m, report, now);
	record_contact(n, m, report, now);
	if (source != FL_SOURCE_FORWARDED)
		m->reached = now;
	for (int i = 0; i < report->n_tasks; i++)
		handle_reported(n, m, &report->tasks[i], report, orders, now);
	kind = handle_missing(n, m, report, orders, source, now);
	if (source == FL_SOURCE_REPORT)
		fl_reachability_answered(n, m, kind, now);
	return 0;
}

void fl_reconcile_renewed(struct fl_node *n, const struct fl_report *report)
{
	struct fl_machine *m = fl_machine_find(&n->cluster.machines, report->host);

	if (m && m->up && newer(m, report))
		fl_reachability_answered(n, m, FL_ANSWER_WITHOUT_LAUNCH, fl_now());
}

bool fl_reconcile_direct(struct fl_node *n, struct fl_machine *m, struct fl_orders *orders)
{
	bool launches = false;

	for (int i = 0; i < m->n_slots; i++) {
		struct fl_job *job = m->slots[i].job;
		uint32_t index = m->slots[i].index;
		struct fl_task *task = fl_task_peek(job, index);

		if (!should_run(job, task)) {
			fl_orders_add(orders, FL_KILL, job->ref, index, task->attempt,
			              stop_grace_s(job, task));
		} else if (task->observed == FL_OBSERVED_NONE && fl_task_durable(job, index)) {
			fl_orders_add(orders, FL_LAUNCH, job->ref, index, task->attempt, 0);
			launches = true;
		}
	}
	if (launches)
		m->direct_start_token = n->election.fencing_token;
	return orders->n > 0;
}

void fl_reconcile_gone(struct fl_node *n, struct fl_machine *m, const char *why)
{
	if (m->gone)
		return;
	fl_info("cloud", "%s is gone: %s (%d tasks on it)", m->name, why, m->n_slots);
	m->gone = true;
	m->gone_at = fl_now();
	m->up = false;
	while (m->n_slots > 0)
		fl_task_release(&n->cluster, m->slots[0].job, m->slots[0].index, 0);
	fl_signal_wake(&n->leadership.work_available);
}
