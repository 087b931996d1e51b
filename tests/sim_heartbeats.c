/* Heartbeats of the simulated workers, their replies, and copies that arrive late. */
#include "sim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "protocol/json.h"
#include "transport/clock.h"

enum { BODY_BYTES_MAX = 64 * 1024, HELD_COPIES_MAX = 64 };

static const struct {
	double reply_timeout_s;
	double next_node_delay_s;     /* delay before the next node is tried */
	double interruption_notice_s; /* notice before the interruption of a spot machine */
} tunables = {4.0, 1.0, 20.0};

void sim_heartbeat_make_due(struct sim_machine *machine)
{
	machine->heartbeat_pending = true;
	fl_condition_broadcast(&machine->heartbeat_due);
}

/* Returns < 0 if no notice has been given. */
static double interruption_in_s(const struct sim_machine *machine)
{
	double left_s = machine->interruption_at - fl_now();

	if (machine->interruption_at <= 0 || left_s >= tunables.interruption_notice_s)
		return -1;
	return left_s > 0 ? left_s : 0;
}

/* The protocol's limit of a request body holds for workers, too. */
static void check_heartbeat_size(const struct sim_machine *machine,
                                 const struct fl_heartbeat *heartbeat, const char *text)
{
	if (strlen(text) > BODY_BYTES_MAX)
		sim_violation("heartbeat_size", "heartbeat too large machine=%s tasks=%d bytes=%zu",
		              machine->name, heartbeat->task_count, strlen(text));
}

char *sim_heartbeat_encode(struct sim_machine *machine)
{
	struct sim_endpoint endpoint = {ENDPOINT_WORKER, sim_machine_index(machine)};
	struct fl_task_status tasks[SIM_MACHINE_TASKS];
	struct fl_heartbeat heartbeat = {.incarnation = machine->incarnation,
	                                 .sequence = ++machine->sequence,
	                                 .fencing_token = machine->fencing_token,
	                                 .spot = machine->spot,
	                                 .interruption_in_s = interruption_in_s(machine),
	                                 .tasks = tasks};
	char *text;

	copy_text(heartbeat.host, sizeof(heartbeat.host), machine->name);
	sim_endpoint_address(endpoint, heartbeat.endpoint);
	copy_text(heartbeat.type, sizeof(heartbeat.type), sim_machine_types[machine->type].name);
	copy_text(heartbeat.zone, sizeof(heartbeat.zone), sim.config[0].zones[machine->zone]);
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].used)
			tasks[heartbeat.task_count++] = machine->tasks[i].status;
	text = fl_heartbeat_encode(&heartbeat);
	check_heartbeat_size(machine, &heartbeat, text);
	return text;
}

/* ---- copies that arrive late ---- */

struct heartbeat_copy {
	char *text;
	double delay_s; /* < 0: random, from 2 s to 2.5 leases */
	int machine, node;
};

/* Copies that are held for the next leader. */
static struct {
	struct heartbeat_copy copies[HELD_COPIES_MAX];
	int count;
} held;

/* Copies arrive in any order, and their replies are discarded. */
static void deliver_copy(void *arg)
{
	struct heartbeat_copy *copy = arg;
	struct fl_http_reply reply;

	if (copy->delay_s < 0)
		copy->delay_s = sim_random_between(2, 2.5 * sim.lease_s);
	if (fl_sleep(copy->delay_s) == 0 &&
	    sim_call((struct sim_endpoint){ENDPOINT_WORKER, copy->machine},
	             (struct sim_endpoint){ENDPOINT_NODE, copy->node}, "POST", "/hello", copy->text,
	             tunables.reply_timeout_s, &reply) == 0)
		fl_buffer_free(&reply.body);
	free(copy->text);
	free(copy);
}

static void send_copy(const char *text, int machine, int node, double delay_s)
{
	struct heartbeat_copy *copy = malloc(sizeof(*copy));

	sim_require(copy != NULL);
	*copy = (struct heartbeat_copy){strdup(text), delay_s, machine, node};
	sim_spawn(0, deliver_copy, copy);
}

void sim_heartbeats_release_held(void)
{
	for (int i = 0; i < held.count; i++) {
		const struct heartbeat_copy *copy = &held.copies[i];
		/* Some arrive as soon as the new leader is elected, others during its failover. */
		double delay_s = sim_random_between(0, sim_chance(0.5) ? 0.01 : 0.6);

		for (int k = 0; k < sim.node_count; k++)
			send_copy(copy->text, copy->machine, k, delay_s);
		free(copy->text);
	}
	held.count = 0;
}

void sim_heartbeats_end(void)
{
	for (int i = 0; i < held.count; i++)
		free(held.copies[i].text);
	memset(&held, 0, sizeof(held));
}

static void hold_copy(int machine, const char *text)
{
	int index = held.count;

	if (held.count < HELD_COPIES_MAX) {
		held.count++;
	} else {
		index = sim_random_index(HELD_COPIES_MAX);
		free(held.copies[index].text);
	}
	held.copies[index] = (struct heartbeat_copy){.text = strdup(text), .machine = machine};
}

static void copy_heartbeat_if_faulty(int machine, const char *text)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_HEARTBEATS, -1);

	if (!fault || !sim_chance(fault->magnitude))
		return;
	if (fault->held_for_next_leader)
		hold_copy(machine, text);
	else
		send_copy(text, machine, sim_random_index(sim.node_count), -1);
}

/* ---- replies ---- */

static void accept_reply(struct sim_machine *machine, double sent_at, uint64_t incarnation,
                         const struct fl_http_reply *reply)
{
	cJSON *object = fl_json_parse(reply->body.data, reply->body.length);
	uint64_t fencing_token = 0;

	/* After an ignored reply the worker keeps sending to this node while its lease runs out. */
	if (fl_json_get_uint(object, "Epoch", &fencing_token) == FL_JSON_OK &&
	    fencing_token >= machine->fencing_token && incarnation == machine->incarnation) {
		sim_machine_raise_fencing_token(machine, fencing_token);
		machine->lease_started_at = sent_at;
		sim_tasks_execute_commands(machine, object);
	}
	cJSON_Delete(object);
}

/* The node that a redirect names; -1: none. */
static int redirect_target(const struct fl_http_reply *reply)
{
	cJSON *object = fl_json_parse(reply->body.data, reply->body.length);
	char name[FL_NAME_MAX] = "";
	int target = -1;

	fl_json_get_string(object, "Steward", name, sizeof(name));
	cJSON_Delete(object);
	for (int i = 0; i < sim.node_count; i++)
		if (strcmp(sim.config[i].node, name) == 0)
			target = i;
	return target;
}

/* Chooses the node of the next heartbeat; returns its delay in s. `reply`: NULL if none came. */
static double choose_next_node(struct sim_machine *machine, const struct fl_http_reply *reply)
{
	int target = reply && reply->status == 421 ? redirect_target(reply) : -1;

	if (target >= 0 && target != machine->next_node) {
		machine->next_node = target;
		return sim_chance(0.5) ? 0 : sim_random_between(0, 0.5);
	}
	machine->next_node = (machine->next_node + 1) % sim.node_count;
	return tunables.next_node_delay_s;
}

static double handle_reply(struct sim_machine *machine, double sent_at, uint64_t incarnation,
                           const struct fl_http_reply *reply)
{
	/* The machine may have hung for longer than the timeout before it handled the reply. */
	if (reply && fl_now() > sent_at + tunables.reply_timeout_s)
		reply = NULL;
	sim_machine_end_expired_lease(machine);
	if (!reply || reply->status != 200)
		return choose_next_node(machine, reply);
	accept_reply(machine, sent_at, incarnation, reply);
	return -1;
}

double sim_heartbeat_send(struct sim_machine *machine)
{
	struct sim_endpoint from = {ENDPOINT_WORKER, sim_machine_index(machine)};
	struct sim_endpoint to = {ENDPOINT_NODE, machine->next_node};
	double sent_at = fl_now(), delay_s = -1;
	uint64_t incarnation = machine->incarnation;
	char *text = sim_heartbeat_encode(machine);
	struct fl_http_reply reply;
	int rc;

	if (strlen(text) > BODY_BYTES_MAX)
		sim_violation("heartbeat_size", "heartbeat too large machine=%s bytes=%zu",
		              machine->name, strlen(text));
	machine->last_heartbeat_sent_at = sent_at;
	machine->heartbeat_pending = false;
	copy_heartbeat_if_faulty(from.index, text);
	rc = sim_call(from, to, "POST", "/hello", text, tunables.reply_timeout_s, &reply);
	free(text);
	if (sim_machine_wait_until_resumed(machine))
		delay_s = handle_reply(machine, sent_at, incarnation, rc == 0 ? &reply : NULL);
	if (rc == 0)
		fl_buffer_free(&reply.body);
	return delay_s;
}
