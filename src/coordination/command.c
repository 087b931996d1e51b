#include "coordination/command.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	int concurrent_most;
	double timeout_s, cancel_share, enforce_s;
} tunables = {
	.concurrent_most = 24, /* direct commands under way; reports bring the other orders */
	.timeout_s = 2.0,      /* s for a direct command */
	.cancel_share = 0.45,  /* share of cancel_s after which a machine is returned for a task */
	.enforce_s = 1.0,      /* s between two looks for tasks of cancelled jobs */
};

/* The argument of a routine that sends commands to one machine. */
struct push {
	struct fl_node *n;
	struct fl_machine *m;
};

/* Sends one command, and takes in the report that answers it. */
static void push_once(struct fl_node *n, struct fl_machine *m)
{
	struct fl_orders orders;
	struct fl_report report;
	char *body;
	int rc;

	m->want_push = false;
	if (!fl_is_leader(n) || !m->up || m->gone || !m->endpoint[0])
		return;
	fl_orders_init(&orders, n->election.fencing_token);
	fl_orders_session(&orders, m->incarnation);
	if (!fl_reconcile_direct(n, m, &orders)) {
		cJSON_Delete(orders.root);
		return;
	}
	body = fl_orders_take(&orders);
	rc = fl_worker_command(m->endpoint, body, tunables.timeout_s, &report);
	free(body);
	if (rc == 200 || rc == 409) {
		if (fl_is_leader(n))
			fl_reconcile_report(n, &report, NULL, FL_SOURCE_COMMAND);
		fl_report_free(&report);
	}
}

static void push_routine(void *arg)
{
	struct push *push = arg;
	struct fl_node *n = push->n;

	while (push->m->want_push && !fl_cancelled())
		push_once(n, push->m);
	push->m->pushing = false;
	n->leadership.commands_in_flight--;
	n->leadership.coroutines_running--;
	fl_signal_wake(&n->leadership.coroutine_ended);
	free(push);
}

void fl_command_push(struct fl_node *n, struct fl_machine *m)
{
	struct push *push;

	m->want_push = true;
	if (m->pushing || n->leadership.commands_in_flight >= tunables.concurrent_most)
		return; /* the worker's next report brings the orders all the same */
	push = malloc(sizeof(*push));
	if (!push)
		return;
	*push = (struct push){n, m};
	if (!fl_spawn(push_routine, push)) {
		free(push);
		return;
	}
	m->pushing = true;
	n->leadership.commands_in_flight++;
	n->leadership.coroutines_running++;
}

void fl_command_push_placed(struct fl_node *n)
{
	for (int i = 0; i < n->cluster.machines.n; i++) {
		struct fl_machine *m = n->cluster.machines.at[i];

		if (m->want_push && m->up && !m->gone)
			fl_command_push(n, m);
	}
}

void fl_command_stop_job(struct fl_node *n, struct fl_job *job)
{
	for (int i = 0; i < n->cluster.machines.n; i++) {
		struct fl_machine *m = n->cluster.machines.at[i];

		for (int k = 0; k < m->n_slots; k++) {
			if (m->slots[k].job == job) {
				fl_command_push(n, m);
				break;
			}
		}
	}
	fl_job_mark_dirty(&n->cluster, job);
	fl_signal_wake(&n->leadership.writes_pending);
	fl_signal_wake(&n->leadership.work_available);
}

/* Stops the tasks of cancelled jobs on one machine, or returns the machine when time is short. */
static void enforce_cancellations(struct fl_node *n, struct fl_machine *m, double now)
{
	for (int k = 0; k < m->n_slots && !m->gone; k++) {
		struct fl_job *job = m->slots[k].job;

		if (!job->cancelled)
			continue;
		if (now > job->cancelled_at + tunables.cancel_share * n->config->cancel_s &&
		    !m->deleting) {
			fl_info("workers", "%s does not let go of %s: returned", m->name, job->ref);
			m->deleting = true;
		}
		fl_command_push(n, m);
	}
}

void fl_command_enforce_duty(void *arg)
{
	struct fl_node *n = arg;

	while (fl_sleep(tunables.enforce_s) == 0) {
		double now = fl_now();

		if (!fl_is_leader(n))
			continue;
		for (int i = 0; i < n->cluster.machines.n; i++)
			enforce_cancellations(n, n->cluster.machines.at[i], now);
	}
	n->leadership.coroutines_running--;
	fl_signal_wake(&n->leadership.coroutine_ended);
}
