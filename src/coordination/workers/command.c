#include "coordination/workers/command.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	int max_in_flight;
	double request_timeout_s, overdue_share, enforcement_interval_s;
} tunables = {
	.max_in_flight = 24, /* further commands go only with replies to heartbeats */
	.request_timeout_s = 2.0,
	.overdue_share = 0.45, /* of cancel_s; then the machine of an unfinished task is drained */
	.enforcement_interval_s = 1.0,
};

/* The argument of sender_coroutine, which sends commands to one machine and frees the argument. */
struct command_sender {
	struct fl_node *node;
	struct fl_machine *machine;
};

/* Returns whether direct commands may be sent to the machine. */
static bool machine_accepts_commands(const struct fl_machine *machine)
{
	return machine->lifecycle.up && !machine->lifecycle.decommissioned;
}

/* Returns the request body with the machine's commands, to be freed; NULL if there are none. */
static char *encode_commands(struct fl_node *node, struct fl_machine *machine)
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

/* Sends the current commands in one request and applies the heartbeat in the response. */
static void send_commands_once(struct fl_node *node, struct fl_machine *machine)
{
	struct fl_heartbeat heartbeat;
	enum fl_worker_result result;
	char *body;

	machine->outbound.command_pending = false;
	if (!fl_is_leader(node) || !machine_accepts_commands(machine) || !machine->endpoint[0])
		return;
	body = encode_commands(node, machine);
	if (!body)
		return;
	result = fl_worker_send_commands(machine->endpoint, body, tunables.request_timeout_s,
	                                 &heartbeat);
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
		send_commands_once(node, sender->machine);
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
		return; /* the reply to the worker's next heartbeat has the commands, too */
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

/*
 * Returns whether the machine has an attempt of the job that no heartbeat has shown, and that a
 * direct command with this fencing token or a higher one may still start.
 */
static bool machine_has_unreported_start_of(const struct fl_machine *machine,
                                            const struct fl_job *job, uint64_t fencing_token)
{
	for (int i = 0; i < machine->assignment_count; i++) {
		uint32_t index = machine->assignments[i].task_index;
		const struct fl_direct_start *start;
		const struct fl_task *task;

		if (machine->assignments[i].job != job)
			continue;
		task = fl_task_find(job, index);
		start = fl_direct_starts_find(&machine->outbound.direct_starts, job->ref, index,
		                              task->attempt);
		if (start && start->fencing_token >= fencing_token &&
		    task->last_observed_state == FL_OBSERVED_NONE)
			return true;
	}
	return false;
}

void fl_command_send_pending(struct fl_node *node)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine->outbound.command_pending && machine_accepts_commands(machine))
			fl_command_send(node, machine);
	}
}

static bool machine_has_task_of(const struct fl_machine *machine, const struct fl_job *job)
{
	for (int i = 0; i < machine->assignment_count; i++)
		if (machine->assignments[i].job == job)
			return true;
	return false;
}

bool fl_command_start_may_arrive_late(const struct fl_node *node, const struct fl_job *job)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		const struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine_has_unreported_start_of(machine, job, node->leader_lease.fencing_token))
			return true;
	}
	return false;
}

void fl_command_send_for_job(struct fl_node *node, const struct fl_job *job)
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine_has_task_of(machine, job))
			fl_command_send(node, machine);
	}
}

void fl_command_stop_cancelled_job(struct fl_node *node, struct fl_job *job)
{
	fl_command_send_for_job(node, job);
	fl_job_mark_dirty(&node->cluster, job);
	fl_condition_broadcast(&node->record_writer.writes_pending);
	fl_condition_broadcast(&node->leadership.work_available);
}

/* Stops the tasks of cancelled jobs on one machine; drains the machine if one is overdue. */
static void enforce_cancellations(struct fl_node *node, struct fl_machine *machine, double now)
{
	double overdue_s = tunables.overdue_share * node->config->cancel_s;

	for (int i = 0; i < machine->assignment_count && !machine->lifecycle.decommissioned; i++) {
		struct fl_job *job = machine->assignments[i].job;

		if (!job->cancelled)
			continue;
		if (now > job->cancelled_at + overdue_s && !machine->lifecycle.draining) {
			fl_info("workers",
			        "machine draining machine=%s reason=cancelled_task_overdue job=%s",
			        machine->name, job->ref);
			machine->lifecycle.draining = true;
		}
		fl_command_send(node, machine);
	}
}

void fl_cancellation_enforcement_run(struct fl_node *node)
{
	while (fl_sleep(tunables.enforcement_interval_s) == 0) {
		double now = fl_now();

		if (!fl_is_leader(node))
			continue;
		for (int i = 0; i < node->cluster.machines.count; i++)
			enforce_cancellations(node, node->cluster.machines.by_id[i], now);
	}
}
