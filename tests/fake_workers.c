/* The stand-ins of the workers: machines that report, carry out orders and see faults. */
#include "fake_services_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "transport/clock.h"
#include "transport/http_client.h"
#include "transport/coroutine.h"

struct copy {
	char *text;
	int node;
};

/* Sends a copy of a report two leases later; nobody reads the answer. */
static void copy_routine(void *arg)
{
	struct copy *copy = arg;
	struct fl_http_client http;
	struct fl_http_reply reply;
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%d",
	         fake_services.controller_ports[copy->node % fake_services.controller_count]);
	fl_http_client_init(&http, addr, 0);
	if (fl_sleep(2 * fake_services.lease_s) == 0 &&
	    fl_http_call(&http, "POST", "/hello", copy->text, 4.0, &reply) == 0)
		fl_buffer_free(&reply.body);
	free(copy->text);
	free(copy);
}

static void send_copy_later(const char *text, int node)
{
	struct copy *copy = malloc(sizeof(*copy));

	*copy = (struct copy){strdup(text), node};
	fl_coroutine_spawn(copy_routine, copy);
}

struct machine *machines[MACHINES];

int n_machines;

static unsigned commands;

static bool is_service(const char *ref)
{
	char name[64];
	struct key *key;

	snprintf(name, sizeof(name), "j/%s", ref);
	key = find_key(name);
	return key && strstr(key->value, "standing");
}

static char *next_report(struct machine *machine)
{
	struct fl_task_status tasks[TASKS];
	struct fl_heartbeat heartbeat = {.incarnation = machine->incarnation,
	                                 .sequence = ++machine->sequence,
	                                 .fencing_token = machine->fencing_token,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks};

	copy_text(heartbeat.host, sizeof(heartbeat.host), machine->name);
	copy_text(heartbeat.endpoint, sizeof(heartbeat.endpoint), machine->addr);
	strcpy(heartbeat.type, "small");
	strcpy(heartbeat.zone, "a");
	for (int i = 0; i < TASKS; i++) {
		struct task *task = &machine->at[i];

		if (!task->used)
			continue;
		if (task->status.state != FL_TASK_STATE_EXITED && !task->service &&
		    fl_now() > task->until) {
			task->status.state = FL_TASK_STATE_EXITED;
			task->status.exit = FL_EXIT_DONE;
			fake_services.completed++;
		}
		tasks[heartbeat.task_count++] = task->status;
	}
	return fl_heartbeat_encode(&heartbeat);
}

int fake_services_task_is_live(const char *ref)
{
	int n = 0;

	for (int m = 0; m < n_machines; m++)
		for (int i = 0; i < TASKS && !machines[m]->gone; i++)
			n += machines[m]->at[i].used &&
			     machines[m]->at[i].status.state != FL_TASK_STATE_EXITED &&
			     strcmp(machines[m]->at[i].status.ref, ref) == 0;
	return n;
}

static void launch(struct machine *machine, const struct fl_task_status *status)
{
	fake_services.starts_on_deleted += machine->gone;
	for (int k = 0; k < n_machines; k++) {
		for (int i = 0; i < TASKS && !machines[k]->gone; i++) {
			const struct task *task = &machines[k]->at[i];

			if (!task->used || task->status.index != status->index ||
			    strcmp(task->status.ref, status->ref) != 0)
				continue;
			if (machines[k] == machine && task->status.attempt == status->attempt)
				return;
			fake_services.twice += task->status.state != FL_TASK_STATE_EXITED;
		}
	}
	for (int i = 0; i < TASKS; i++) {
		if (machine->at[i].used)
			continue;
		machine->at[i] = (struct task){*status, fl_now() + fake_services.run_s, true,
		                               is_service(status->ref)};
		machine->at[i].status.state = FL_TASK_STATE_RUNNING;
		fake_services.starts++;
		return;
	}
}

static void execute_orders(struct machine *machine, const cJSON *object)
{
	const cJSON *element;

	cJSON_ArrayForEach (element, fl_json_get(object, "Orders")) {
		char verb[16] = "", name[48] = "/";
		struct fl_task_status status = {0};
		uint64_t attempt = 0;

		fl_json_get_string(element, "Verb", verb, sizeof(verb));
		fl_json_get_string(element, "Part", name, sizeof(name));
		fl_json_get_count(element, "Try", &attempt);
		status.attempt = (uint32_t)attempt;
		status.index = (uint32_t)atoi(strchr(name, '/') + 1);
		*strchr(name, '/') = 0;
		memcpy(status.ref, name, strnlen(name, sizeof(status.ref) - 1));
		if (strcmp(verb, "launch") == 0)
			launch(machine, &status);
		for (int i = 0; i < TASKS && strcmp(verb, "launch") != 0; i++) {
			struct task *task = &machine->at[i];

			if (!task->used || task->status.index != status.index ||
			    task->status.attempt != status.attempt ||
			    strcmp(task->status.ref, status.ref) != 0)
				continue;
			if (strcmp(verb, "forget") == 0 &&
			    task->status.state == FL_TASK_STATE_EXITED)
				task->used = false;
			if (strcmp(verb, "kill") == 0 &&
			    task->status.state != FL_TASK_STATE_EXITED) {
				task->status.state = FL_TASK_STATE_EXITED;
				task->status.exit = FL_EXIT_STOPPED;
			}
		}
	}
}

static bool take_command(struct machine *machine, const char *body)
{
	cJSON *object = fl_json_parse(body, strlen(body));
	uint64_t fencing_token = 0, incarnation = 0;
	bool good;

	fl_json_get_count(object, "Epoch", &fencing_token);
	fl_json_get_count(object, "Tenure", &incarnation);
	good = fencing_token >= machine->fencing_token && incarnation == machine->incarnation;
	if (good) {
		machine->fencing_token = fencing_token;
		execute_orders(machine, object);
	}
	cJSON_Delete(object);
	return good;
}

static void on_command(void *context, const struct fl_http_request *request,
                       struct fl_http_response *response)
{
	struct machine *machine = context;
	bool good;

	if (machine->unreachable) {
		fl_sleep(3.0); /* it does not arrive, and nobody answers */
		return;
	}
	if (machine->gone || strcmp(request->path, "/commands") != 0) {
		respond(response, 404, NULL);
		return;
	}
	good = take_command(machine, request->body);
	if (every_nth(fake_services.commands_repeat_every, ++commands)) {
		free(machine->late);
		machine->late = strdup(request->body);
	}
	response->status = good ? 200 : 409;
	response->body = next_report(machine);
}

static void report_once(struct machine *machine)
{
	struct fl_http_client client;
	struct fl_http_reply reply;
	double sent = fl_now();
	uint64_t fencing_token = 0;
	char addr[32], *text = next_report(machine);
	cJSON *object;

	snprintf(addr, sizeof(addr), "127.0.0.1:%d",
	         fake_services.controller_ports[machine->node % fake_services.controller_count]);
	fl_http_client_init(&client, addr, 0);
	if (every_nth(fake_services.heartbeat_copies_every, ++machine->reports))
		send_copy_later(text, machine->node + 1);
	if (fl_http_call(&client, "POST", "/hello", text, 4.0, &reply) != 0) {
		machine->node++;
		free(text);
		return;
	}
	if (machine->unreachable) {
		/* It waits for its timeout, and tries another node. */
		fl_buffer_free(&reply.body);
		free(text);
		fl_sleep(5.0);
		machine->node++;
		return;
	}
	object = fl_json_parse(reply.body.data, reply.body.length);
	if (reply.status == 200 &&
	    fl_json_get_count(object, "Epoch", &fencing_token) == FL_JSON_OK &&
	    fencing_token >= machine->fencing_token &&
	    fl_now() < machine->answered + fake_services.lease_s) {
		machine->fencing_token = fencing_token;
		machine->answered = sent;
		execute_orders(machine, object);
	} else if (reply.status != 200) {
		machine->node++;
	}
	cJSON_Delete(object);
	fl_buffer_free(&reply.body);
	free(text);
}

static void machine_routine(void *arg)
{
	struct machine *machine = arg;

	machine->answered = fl_now();
	while (!machine->gone && fl_sleep(fake_services.report_s) == 0) {
		if (fl_now() > machine->answered + fake_services.lease_s) {
			memset(machine->at, 0, sizeof(machine->at));
			machine->incarnation++;
			machine->answered = fl_now();
		}
		report_once(machine);
		if (machine->late) {
			take_command(machine, machine->late);
			free(machine->late);
			machine->late = NULL;
		}
	}
}

const char *add_machine(void)
{
	struct machine *machine = calloc(1, sizeof(*machine));
	struct fl_http_server *server;

	assert(n_machines < MACHINES);
	snprintf(machine->name, sizeof(machine->name), "m-%06d", n_machines);
	machine->incarnation = 1;
	machine->node = n_machines;
	machine->unreachable = fake_services.unreachable > 0 && fake_services.unreachable--;
	machines[n_machines++] = machine;
	server = fl_http_serve("127.0.0.1:0", 64, 90, on_command, machine);
	assert(server);
	add_server(server);
	snprintf(machine->addr, sizeof(machine->addr), "127.0.0.1:%d", fl_http_server_port(server));
	fl_coroutine_spawn(machine_routine, machine);
	if (n_machines > fake_services.max_machines)
		fake_services.max_machines = n_machines;
	return machine->name;
}

int fake_services_unreachable_left(void)
{
	int n = 0;

	for (int i = 0; i < n_machines; i++)
		n += machines[i]->unreachable && !machines[i]->gone;
	return n;
}
