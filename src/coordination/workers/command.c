#include "coordination/workers/command.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
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
static void send_once(struct fl_node *node, struct fl_machine *machine)
{
	struct fl_command_list commands;
	struct fl_heartbeat heartbeat;
	char *body;
	enum fl_worker_result result;

	machine->outbound.command_pending = false;
	if (!fl_is_leader(node) || !machine->lifecycle.up || machine->lifecycle.decommissioned ||
	    !machine->endpoint[0])
		return;
	fl_command_list_init(&commands, node->leader_lease.fencing_token);
	fl_command_list_bind_incarnation(&commands, machine->heartbeat.incarnation);
	if (!fl_reconcile_collect_commands(node, machine, &commands)) {
		cJSON_Delete(commands.root);
		return;
	}
	body = fl_command_list_take(&commands);
	result = fl_worker_send_commands(machine->endpoint, body, tunables.timeout_s, &heartbeat);
	free(body);
	if (result != FL_WORKER_FAILED) {
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
	    node->leadership.commands_in_flight >= tunables.concurrent_most)
		return; /* the worker's next report brings the orders all the same */
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

		if (machine->outbound.command_pending && machine->lifecycle.up &&
		    !machine->lifecycle.decommissioned)
			fl_command_send(node, machine);
	}
}

void fl_command_stop_job(struct fl_node *node, struct fl_job *job)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		for (int k = 0; k < machine->assignment_count; k++) {
			if (machine->assignments[k].job == job) {
				fl_command_send(node, machine);
				break;
			}
		}
	}
	fl_job_mark_dirty(&node->cluster, job);
	fl_condition_broadcast(&node->record_writer.writes_pending);
	fl_condition_broadcast(&node->leadership.work_available);
}

/* Stops the tasks of cancelled jobs on one machine, or returns the machine when time is short. */
static void enforce_cancellations(struct fl_node *node, struct fl_machine *machine, double now)
{
	for (int k = 0; k < machine->assignment_count && !machine->lifecycle.decommissioned; k++) {
		struct fl_job *job = machine->assignments[k].job;

		if (!job->cancelled)
			continue;
		if (now > job->cancelled_at + tunables.cancel_share * node->config->cancel_s &&
		    !machine->lifecycle.draining) {
			fl_info("workers", "%s does not let go of %s: returned", machine->name,
			        job->ref);
			machine->lifecycle.draining = true;
		}
		fl_command_send(node, machine);
	}
}

void fl_command_enforcement_run(struct fl_node *node)
{
	while (fl_sleep(tunables.enforce_s) == 0) {
		double now = fl_now();

		if (!fl_is_leader(node))
			continue;
		for (int i = 0; i < node->cluster.machines.count; i++)
			enforce_cancellations(node, node->cluster.machines.by_id[i], now);
	}
}
