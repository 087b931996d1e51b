/* Machines: reports, leases, direct commands, their comings and goings, and standstills. */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "protocol/json.h"
#include "transport/clock.h"

enum { BODY_BYTES_MAX = 64 * 1024 /* bytes of a request */, COPIES = 64 };

static const struct {
	double heartbeat_timeout_s;   /* s for an answer */
	double retry_next_node_s;     /* s before the next node is tried */
	double min_heartbeat_gap_s;   /* s between two reports at least */
	double tick_s;                /* s between two looks at the tasks */
	double interruption_notice_s; /* s of a spot machine's notice */
	/* s by which a command that is held up comes late */
	double command_delay_min_s, command_delay_max_s;
} rule = {4.0, 1.0, 0.5, 0.05, 20.0, 2.0, 16.0};

static int index_of(const struct sim_machine *machine) { return (int)(machine - sim.machines); }

void sim_machine_request_heartbeat(struct sim_machine *machine)
{
	machine->heartbeat_pending = true;
	fl_condition_broadcast(&machine->heartbeat_due);
}

/* The lease has run out: everything goes, and a new session begins. */
static void check_lease(struct sim_machine *machine)
{
	if (fl_now() <= machine->lease_started_at + sim.lease_s)
		return;
	sim_tasks_drop(machine);
	machine->incarnation++;
	machine->lease_started_at = fl_now();
	sim_machine_request_heartbeat(machine);
}

static void tick(struct sim_machine *machine)
{
	check_lease(machine);
	sim_tasks_tick(machine);
	if (machine->interruption_at > 0 && fl_now() > machine->interruption_at)
		sim_machine_terminate(index_of(machine));
}

static void tick_machines(void *arg)
{
	(void)arg;
	while (fl_sleep(rule.tick_s) == 0)
		for (int i = 0; i < sim.machine_count; i++) {
			struct sim_machine *machine = &sim.machines[i];

			if (machine->up && !machine->terminated && !machine->hung)
				tick(machine);
		}
}

static void observe_fencing_token(struct sim_machine *machine, uint64_t fencing_token)
{
	if (fencing_token <= machine->fencing_token)
		return;
	machine->fencing_token = fencing_token;
	if (fl_now() < machine->token_reported_at + sim.lease_s / 2)
		return;
	machine->token_reported_at = fl_now();
	sim_machine_request_heartbeat(machine);
}

/* ---- reports ---- */

static char *encode_heartbeat(struct sim_machine *machine)
{
	struct fl_task_status tasks[SIM_TASKS];
	struct fl_heartbeat heartbeat = {.incarnation = machine->incarnation,
	                                 .sequence = ++machine->sequence,
	                                 .fencing_token = machine->fencing_token,
	                                 .spot = machine->spot,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks};

	copy_text(heartbeat.host, sizeof(heartbeat.host), machine->name);
	sim_address((struct sim_endpoint){ENDPOINT_WORKER, index_of(machine)}, heartbeat.endpoint);
	copy_text(heartbeat.type, sizeof(heartbeat.type), sim_machine_types[machine->type].name);
	copy_text(heartbeat.zone, sizeof(heartbeat.zone), sim.config[0].zones[machine->zone]);
	if (machine->interruption_at > 0 &&
	    fl_now() > machine->interruption_at - rule.interruption_notice_s)
		heartbeat.interruption_in_s = machine->interruption_at > fl_now()
		                                      ? machine->interruption_at - fl_now()
		                                      : 0;
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].used)
			tasks[heartbeat.task_count++] = machine->tasks[i].status;
	return fl_heartbeat_encode(&heartbeat);
}

struct copy {
	char *text;
	double delay_s; /* < 0: from 2 s to well over a lease */
	int machine, node;
};

/* Those that wait for the next leader. */
static struct {
	struct copy copies[COPIES];
	int count;
} kept;

static void deliver_copy(void *arg)
{
	struct copy *copy = arg;
	struct fl_http_reply reply;

	if (copy->delay_s < 0)
		copy->delay_s = sim_between(2, 2.5 * sim.lease_s);
	/* In any order, and nobody reads the answer. */
	if (fl_sleep(copy->delay_s) == 0 &&
	    sim_call((struct sim_endpoint){ENDPOINT_WORKER, copy->machine},
	             (struct sim_endpoint){ENDPOINT_NODE, copy->node}, "POST", "/hello", copy->text,
	             4, &reply) == 0)
		fl_buffer_free(&reply.body);
	free(copy->text);
	free(copy);
}

static void send_copy(const char *text, int machine, int node, double after_s)
{
	struct copy *copy = malloc(sizeof(*copy));

	sim_require(copy != NULL);
	*copy = (struct copy){strdup(text), after_s, machine, node};
	sim_spawn(0, deliver_copy, copy);
}

void sim_heartbeats_release_held(void)
{
	for (int i = 0; i < kept.count; i++) {
		/* In the very moment, or while it takes over. */
		double after_s = sim_between(0, sim_chance(0.5) ? 0.01 : 0.6);

		for (int k = 0; k < sim.node_count; k++)
			send_copy(kept.copies[i].text, kept.copies[i].machine, k, after_s);
		free(kept.copies[i].text);
	}
	kept.count = 0;
}

void sim_heartbeats_end(void)
{
	for (int i = 0; i < kept.count; i++)
		free(kept.copies[i].text);
	memset(&kept, 0, sizeof(kept));
}

static void hold_copy(const struct sim_machine *machine, const char *text)
{
	int at = kept.count;

	if (kept.count < COPIES) {
		kept.count++;
	} else {
		at = sim_pick(COPIES);
		free(kept.copies[at].text);
	}
	kept.copies[at] = (struct copy){.text = strdup(text), .machine = index_of(machine)};
}

static void copy_heartbeat(const struct sim_machine *machine, const char *text)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_HEARTBEATS, -1);

	if (!fault || !sim_chance(fault->magnitude))
		return;
	if (fault->held_for_next_leader)
		hold_copy(machine, text);
	else
		send_copy(text, index_of(machine), sim_pick(sim.node_count), -1);
}

static void accept_reply(struct sim_machine *machine, double sent, uint64_t incarnation,
                         const cJSON *object)
{
	uint64_t fencing_token = 0;

	if (fl_json_get_count(object, "Epoch", &fencing_token) != FL_JSON_OK ||
	    fencing_token < machine->fencing_token || incarnation != machine->incarnation)
		return; /* dropped: it stays here while its lease runs out */
	observe_fencing_token(machine, fencing_token);
	machine->lease_started_at = sent;
	sim_tasks_command(machine, object);
}

/* Where to next, and in how many seconds. */
static double choose_next_node(struct sim_machine *machine, const struct fl_http_reply *reply,
                               int rc)
{
	cJSON *object = rc == 0 && reply->status == 421
	                        ? fl_json_parse(reply->body.data, reply->body.length)
	                        : NULL;
	char name[FL_NAME_MAX] = "";
	int to = -1;

	fl_json_get_string(object, "Steward", name, sizeof(name));
	cJSON_Delete(object);
	for (int i = 0; i < sim.node_count; i++)
		if (strcmp(sim.config[i].node, name) == 0)
			to = i;
	if (to >= 0 && to != machine->next_node) {
		machine->next_node = to;
		return sim_chance(0.5) ? 0 : sim_between(0, 0.5);
	}
	machine->next_node = (machine->next_node + 1) % sim.node_count;
	return rule.retry_next_node_s;
}

/* Standing still: what comes meanwhile waits. False if the machine has ended. */
static bool wait_until_resumed(struct sim_machine *machine)
{
	while (machine->hung && !machine->terminated)
		if (fl_condition_wait(&machine->resumed, -1) == -ECANCELED)
			return false;
	return !machine->terminated && !fl_coroutine_cancelled();
}

/* s until the next report may be due; < 0: as usual. */
static double send_heartbeat(struct sim_machine *machine)
{
	double sent = fl_now(), pause = -1;
	uint64_t incarnation = machine->incarnation;
	char *text = encode_heartbeat(machine);
	struct fl_http_reply reply;
	int rc;

	if (strlen(text) > BODY_BYTES_MAX)
		sim_violation("too_large", "%s has to report %d tasks", machine->name,
		              machine->task_slots_used);
	machine->last_heartbeat_sent_at = sent;
	machine->heartbeat_pending = false;
	copy_heartbeat(machine, text);
	rc = sim_call((struct sim_endpoint){ENDPOINT_WORKER, index_of(machine)},
	              (struct sim_endpoint){ENDPOINT_NODE, machine->next_node}, "POST", "/hello",
	              text, rule.heartbeat_timeout_s, &reply);
	free(text);
	if (wait_until_resumed(machine)) {
		if (rc == 0 && fl_now() > sent + rule.heartbeat_timeout_s) {
			fl_buffer_free(&reply.body);
			rc = -ETIMEDOUT;
		}
		check_lease(machine);
		if (rc == 0 && reply.status == 200) {
			cJSON *object = fl_json_parse(reply.body.data, reply.body.length);

			accept_reply(machine, sent, incarnation, object);
			cJSON_Delete(object);
		} else {
			pause = choose_next_node(machine, &reply, rc);
		}
	}
	if (rc == 0)
		fl_buffer_free(&reply.body);
	return pause;
}

static double next_heartbeat_in(const struct sim_machine *machine, double due)
{
	double soonest = machine->last_heartbeat_sent_at + rule.min_heartbeat_gap_s;

	if (machine->heartbeat_pending && soonest < due)
		due = soonest;
	return due - fl_now();
}

static void run_worker(void *arg)
{
	struct sim_machine *machine = arg;
	double due, wait, pause;

	if (machine->never_boots || fl_sleep(machine->ready_at - fl_now()) != 0 ||
	    machine->terminated)
		return;
	machine->up = true;
	machine->incarnation = 1;
	machine->lease_started_at = fl_now();
	machine->next_node = sim_pick(sim.node_count);
	machine->last_heartbeat_sent_at = -1;
	due = fl_now();
	while (!machine->terminated) {
		while (!machine->terminated && (wait = next_heartbeat_in(machine, due)) > 0)
			if (fl_condition_wait(&machine->heartbeat_due, wait) == -ECANCELED)
				return;
		if (!wait_until_resumed(machine))
			return;
		check_lease(machine);
		pause = send_heartbeat(machine);
		if (pause > 0 && fl_sleep(pause) != 0)
			return;
		due = pause >= 0 ? fl_now()
		                 : machine->last_heartbeat_sent_at +
		                           sim.heartbeat_interval_s * sim_between(0.75, 1.25);
	}
}

/* ---- direct commands ---- */

static void respond_heartbeat(struct sim_machine *machine, struct fl_http_response *response,
                              int status)
{
	response->status = status;
	response->body = encode_heartbeat(machine);
}

static void serve_command(struct sim_machine *machine, int process,
                          const struct fl_http_request *request, struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(request->body, request->body_len);
	uint64_t fencing_token = 0, incarnation = 0;

	if (fl_json_get_count(object, "Epoch", &fencing_token) != FL_JSON_OK ||
	    fl_json_get_count(object, "Tenure", &incarnation) != FL_JSON_OK) {
		response->status = 400;
	} else if (fencing_token < machine->fencing_token || incarnation != machine->incarnation) {
		sim_check_fencing_token(fencing_token, process);
		respond_heartbeat(machine, response, 409);
	} else {
		sim_check_fencing_token(fencing_token, process);
		observe_fencing_token(machine, fencing_token);
		sim_tasks_command(machine, object);
		respond_heartbeat(machine, response, 200);
	}
	cJSON_Delete(object);
}

/* Is it to be held up on its way? Then nobody gets the answer, and it is carried out all the same.
 */
static bool command_is_delayed(void)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_COMMANDS, -1);

	return fault && sim_chance(fault->magnitude);
}

void sim_worker_serve(struct sim_endpoint from, int process, int machine,
                      const struct fl_http_request *request, struct fl_http_response *response)
{
	struct sim_machine *state = &sim.machines[machine];
	bool show = strcmp(request->path, "/show") == 0, late = !show && command_is_delayed();

	(void)from;
	if (late)
		fl_sleep(sim_between(rule.command_delay_min_s, rule.command_delay_max_s));
	if (wait_until_resumed(state)) {
		check_lease(state);
		if (show)
			respond_heartbeat(state, response, 200);
		else
			serve_command(state, process, request, response);
		if (!late)
			return;
	}
	free(response->body);
	response->body = NULL;
	response->status = SIM_NO_REPLY;
}

/* ---- their comings and goings ---- */

void sim_machine_boot(int machine) { sim_spawn(0, run_worker, &sim.machines[machine]); }

void sim_machine_terminate(int machine)
{
	struct sim_machine *state = &sim.machines[machine];

	if (state->terminated)
		return;
	state->terminated = true;
	state->terminated_at = fl_now();
	sim_tasks_drop(state);
	fl_condition_broadcast(&state->heartbeat_due);
	fl_condition_broadcast(&state->resumed);
}

void sim_machine_set_hung(int machine, bool hangs)
{
	struct sim_machine *state = &sim.machines[machine];

	if (state->hung == hangs || state->terminated)
		return;
	state->hung = hangs;
	if (hangs) {
		state->hung_at = fl_now();
		return;
	}
	sim_tasks_resume_after(state, fl_now() - state->hung_at);
	state->fetches_checked_at = fl_now();
	check_lease(state);
	fl_condition_broadcast(&state->resumed);
}

void sim_workers_begin(void) { sim_spawn(0, tick_machines, NULL); }
