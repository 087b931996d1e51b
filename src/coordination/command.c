#include "coordination/command.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/reconciliation.h"
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
struct command_sender {
	struct fl_node *node;
	struct fl_machine *machine;
};

/* Sends one command, and takes in the report that answers it. */
static void send_once(struct fl_node *n, struct fl_machine *m)
{
	struct fl_command_list commands;
	struct fl_heartbeat heartbeat;
	char *body;
	int rc;

	m->command_pending = false;
	if (!fl_is_leader(n) || !m->up || m->decommissioned || !m->endpoint[0])
		return;
	fl_command_list_init(&commands, n->election.fencing_token);
	fl_command_list_bind_incarnation(&commands, m->incarnation);
	if (!fl_reconcile_collect_commands(n, m, &commands)) {
		cJSON_Delete(commands.root);
		return;
	}
	body = fl_command_list_take(&commands);
	rc = fl_worker_send_commands(m->endpoint, body, tunables.timeout_s, &heartbeat);
	free(body);
	if (rc == 200 || rc == 409) {
		if (fl_is_leader(n))
			fl_reconcile_heartbeat(n, &heartbeat, NULL, FL_HEARTBEAT_FROM_COMMAND);
		fl_heartbeat_free(&heartbeat);
	}
}

static void sender_coroutine(void *arg)
{
	struct command_sender *sender = arg;
	struct fl_node *n = sender->node;

	while (sender->machine->command_pending && !fl_coroutine_cancelled())
		send_once(n, sender->machine);
	sender->machine->command_in_flight = false;
	n->leadership.commands_in_flight--;
	n->leadership.coroutines_running--;
	fl_condition_broadcast(&n->leadership.coroutine_ended);
	free(sender);
}

void fl_command_send(struct fl_node *n, struct fl_machine *m)
{
	struct command_sender *sender;

	m->command_pending = true;
	if (m->command_in_flight || n->leadership.commands_in_flight >= tunables.concurrent_most)
		return; /* the worker's next report brings the orders all the same */
	sender = malloc(sizeof(*sender));
	if (!sender)
		return;
	*sender = (struct command_sender){n, m};
	if (!fl_coroutine_spawn(sender_coroutine, sender)) {
		free(sender);
		return;
	}
	m->command_in_flight = true;
	n->leadership.commands_in_flight++;
	n->leadership.coroutines_running++;
}

void fl_command_send_pending(struct fl_node *n)
{
	for (int i = 0; i < n->cluster.machines.count; i++) {
		struct fl_machine *m = n->cluster.machines.by_id[i];

		if (m->command_pending && m->up && !m->decommissioned)
			fl_command_send(n, m);
	}
}

void fl_command_stop_job(struct fl_node *n, struct fl_job *job)
{
	for (int i = 0; i < n->cluster.machines.count; i++) {
		struct fl_machine *m = n->cluster.machines.by_id[i];

		for (int k = 0; k < m->assignment_count; k++) {
			if (m->assignments[k].job == job) {
				fl_command_send(n, m);
				break;
			}
		}
	}
	fl_job_mark_dirty(&n->cluster, job);
	fl_condition_broadcast(&n->leadership.writes_pending);
	fl_condition_broadcast(&n->leadership.work_available);
}

/* Stops the tasks of cancelled jobs on one machine, or returns the machine when time is short. */
static void enforce_cancellations(struct fl_node *n, struct fl_machine *m, double now)
{
	for (int k = 0; k < m->assignment_count && !m->decommissioned; k++) {
		struct fl_job *job = m->assignments[k].job;

		if (!job->cancelled)
			continue;
		if (now > job->cancelled_at + tunables.cancel_share * n->config->cancel_s &&
		    !m->draining) {
			fl_info("workers", "%s does not let go of %s: returned", m->name, job->ref);
			m->draining = true;
		}
		fl_command_send(n, m);
	}
}

void fl_command_enforce_coroutine(void *arg)
{
	struct fl_node *n = arg;

	while (fl_sleep(tunables.enforce_s) == 0) {
		double now = fl_now();

		if (!fl_is_leader(n))
			continue;
		for (int i = 0; i < n->cluster.machines.count; i++)
			enforce_cancellations(n, n->cluster.machines.by_id[i], now);
	}
	n->leadership.coroutines_running--;
	fl_condition_broadcast(&n->leadership.coroutine_ended);
}
