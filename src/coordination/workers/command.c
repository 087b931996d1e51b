#include "coordination/workers/command.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	int max_in_flight;
	double timeout_s, cancel_share, enforce_interval_s;
} tunables = {
	.max_in_flight = 24,       /* direct commands; the others go with replies to heartbeats */
	.timeout_s = 2.0,          /* s for a direct command */
	.cancel_share = 0.45,      /* share of cancel_s after which a task's machine is returned */
	.enforce_interval_s = 1.0, /* s between two checks for tasks of cancelled jobs */
};

/* The argument of a coroutine that sends commands to one machine; owned by it. */
struct command_sender {
	struct fl_node *node;
	struct fl_machine *machine;
};

/* Whether direct commands may be sent to the machine. */
static bool accepts_commands(const struct fl_machine *machine)
{
	return machine->lifecycle.up && !machine->lifecycle.decommissioned;
}

/* The body of a request with all commands for the machine, to be freed; NULL: there are none. */
static char *collect_commands(struct fl_node *node, struct fl_machine *machine)
{
	struct fl_command_list commands;

	fl_command_list_init(&commands, node->leader_lease.fencing_token);
	fl_command_list_bind_incarnation(&commands, machine->heartbeat.incarnation);
	if (!fl_reconcile_collect_commands(node, machine, &commands)) {
		cJSON_Delete(commands.root);
		return NULL;
	}
	return fl_command_list_take_body(&commands);
}

/* Sends the commands of this moment once, and applies the heartbeat that replies to them. */
static void send_once(struct fl_node *node, struct fl_machine *machine)
{
	struct fl_heartbeat heartbeat;
	enum fl_worker_result result;
	char *body;

	machine->outbound.command_pending = false;
	if (!fl_is_leader(node) || !accepts_commands(machine) || !machine->endpoint[0])
		return;
	body = collect_commands(node, machine);
	if (!body)
		return;
	result = fl_worker_send_commands(machine->endpoint, body, tunables.timeout_s, &heartbeat);
	free(body);
	if (result == FL_WORKER_ACCEPTED || result == FL_WORKER_REJECTED) {
		if (fl_is_leader(node))
			fl_reconcile_heartbeat(node, &heartbeat, NULL, FL_HEARTBEAT_FROM_COMMAND);
		fl_heartbeat_free(&heartbeat);
	}
}

static void sender_coroutine(void *arg)
{
	struct command_sender *sender = arg;
	struct fl_node *node = sender->node;

	while (sender->machine->outbound.command_pending && !fl_coroutine_cancelled())
		send_once(node, sender->machine);
	sender->machine->outbound.command_in_flight = false;
	node->leadership.commands_in_flight--;
	node->leadership.coroutines_running--;
	fl_condition_broadcast(&node->leadership.coroutine_ended);
	free(sender);
}

void fl_command_send(struct fl_node *node, struct fl_machine *machine)
{
	struct command_sender *sender;

	machine->outbound.command_pending = true;
	if (machine->outbound.command_in_flight ||
	    node->leadership.commands_in_flight >= tunables.max_in_flight)
		return; /* the reply to the worker's next heartbeat has the commands all the same */
	sender = malloc(sizeof(*sender));
	if (!sender)
		return;
	*sender = (struct command_sender){node, machine};
	if (!fl_coroutine_spawn(sender_coroutine, sender)) {
		free(sender);
		return;
	}
	machine->outbound.command_in_flight = true;
	node->leadership.commands_in_flight++;
	node->leadership.coroutines_running++;
}

void fl_command_send_pending(struct fl_node *node)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine->outbound.command_pending && accepts_commands(machine))
			fl_command_send(node, machine);
	}
}

static bool holds_task_of(const struct fl_machine *machine, const struct fl_job *job)
{
	for (int i = 0; i < machine->assignment_count; i++)
		if (machine->assignments[i].job == job)
			return true;
	return false;
}

void fl_command_stop_cancelled_job(struct fl_node *node, struct fl_job *job)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (holds_task_of(machine, job))
			fl_command_send(node, machine);
	}
	fl_job_mark_dirty(&node->cluster, job);
	fl_condition_broadcast(&node->record_writer.writes_pending);
	fl_condition_broadcast(&node->leadership.work_available);
}

/* Stops the tasks of cancelled jobs on one machine, or returns the machine when time is short. */
static void enforce_cancellations(struct fl_node *node, struct fl_machine *machine, double now)
{
	double overdue_s = tunables.cancel_share * node->config->cancel_s;

	for (int i = 0; i < machine->assignment_count && !machine->lifecycle.decommissioned; i++) {
		struct fl_job *job = machine->assignments[i].job;

		if (!job->cancelled)
			continue;
		if (now > job->cancelled_at + overdue_s && !machine->lifecycle.draining) {
			fl_info("workers",
			        "machine draining: %s reason=cancelled_task_overdue job=%s",
			        machine->name, job->ref);
			machine->lifecycle.draining = true;
		}
		fl_command_send(node, machine);
	}
}

void fl_cancellation_enforcement_run(struct fl_node *node)
{
	while (fl_sleep(tunables.enforce_interval_s) == 0) {
		double now = fl_now();

		if (!fl_is_leader(node))
			continue;
		for (int i = 0; i < node->cluster.machines.count; i++)
			enforce_cancellations(node, node->cluster.machines.by_id[i], now);
	}
}
