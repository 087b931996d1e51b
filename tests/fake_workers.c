/* The fake workers: they send heartbeats and execute commands, with injected faults. */
#include "fake_services_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "json_response.h"
#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/http_client.h"
#include "worker_command.h"

struct fake_machine *fake_machines[FAKE_MACHINES];
int fake_machine_count;

static unsigned direct_command_count;

static void init_controller_client(struct fl_http_client *client, int controller)
{
	int port = fake_services.controller_ports[controller % fake_services.controller_count];
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	fl_http_client_init(client, addr, 0);
}

/* ---- delayed heartbeats ---- */

struct delayed_heartbeat {
	char *text;
	int controller;
};

/* Sends the heartbeat two leases later, and ignores the reply. */
static void send_delayed_heartbeat(void *arg)
{
	struct delayed_heartbeat *delayed = arg;
	struct fl_http_client client;
	struct fl_http_reply reply;

	init_controller_client(&client, delayed->controller);
	if (fl_sleep(2 * fake_services.lease_s) == 0 &&
	    fl_http_call(&client, "POST", "/hello", delayed->text, 4.0, &reply) == 0)
		fl_buffer_free(&reply.body);
	free(delayed->text);
	free(delayed);
}

static void send_heartbeat_copy_later(const char *text, int controller)
{
	struct delayed_heartbeat *delayed = malloc(sizeof(*delayed));

	assert(delayed);
	*delayed = (struct delayed_heartbeat){strdup(text), controller};
	fl_coroutine_spawn(send_delayed_heartbeat, delayed);
}

/* ---- tasks ---- */

static bool job_is_service(const char *ref)
{
	const struct kv_entry *job;
	char key[64];

	snprintf(key, sizeof(key), "j/%s", ref);
	job = fake_kv_find(key);
	return job && strstr(job->value, "standing");
}

static bool task_is_running(const struct fake_task *task)
{
	return task->used && task->status.state != FL_TASK_STATE_EXITED;
}

static void end_task(struct fake_task *task, enum fl_exit_reason exit)
{
	task->status.state = FL_TASK_STATE_EXITED;
	task->status.exit_reason = exit;
}

static struct fake_task *find_attempt(struct fake_machine *machine,
                                      const struct fl_task_status *status)
{
	for (int i = 0; i < FAKE_MACHINE_TASKS; i++)
		if (machine->tasks[i].used &&
		    worker_command_is_for_attempt(status, &machine->tasks[i].status))
			return &machine->tasks[i];
	return NULL;
}

/*
 * Counts running copies of the task as duplicate starts. Returns true, and ends the count, if this
 * attempt is already on the machine.
 */
static bool count_duplicate_starts(const struct fake_machine *machine,
                                   const struct fl_task_status *status)
{
	for (int k = 0; k < fake_machine_count; k++)
		for (int i = 0; i < FAKE_MACHINE_TASKS && !fake_machines[k]->deleted; i++) {
			const struct fake_task *task = &fake_machines[k]->tasks[i];

			if (!task->used || !worker_command_is_for_task(status, &task->status))
				continue;
			if (fake_machines[k] == machine && task->status.attempt == status->attempt)
				return true;
			fake_services.duplicate_starts += task_is_running(task);
		}
	return false;
}

static void start_task(struct fake_machine *machine, const struct fl_task_status *status)
{
	fake_services.starts_on_deleted_machines += machine->deleted;
	if (count_duplicate_starts(machine, status))
		return;
	for (int i = 0; i < FAKE_MACHINE_TASKS; i++) {
		struct fake_task *task = &machine->tasks[i];

		if (task->used)
			continue;
		*task = (struct fake_task){*status, fl_now() + fake_services.task_duration_s, true,
		                           job_is_service(status->ref)};
		task->status.state = FL_TASK_STATE_RUNNING;
		fake_services.starts++;
		return;
	}
}

static void execute_command(struct fake_machine *machine, const struct worker_command *command)
{
	struct fake_task *task = find_attempt(machine, &command->task);

	switch (command->kind) {
	case FL_COMMAND_START:
		start_task(machine, &command->task);
		break;
	case FL_COMMAND_STOP:
		if (task && task_is_running(task))
			end_task(task, FL_EXIT_STOPPED);
		break;
	case FL_COMMAND_FORGET:
		if (task && !task_is_running(task))
			task->used = false;
		break;
	}
}

static void execute_commands(struct fake_machine *machine, const cJSON *object)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, fl_json_get(object, "Orders")) {
		struct worker_command command = worker_command_decode(item);

		execute_command(machine, &command);
	}
}

/* ---- heartbeats ---- */

static char *encode_next_heartbeat(struct fake_machine *machine)
{
	struct fl_task_status tasks[FAKE_MACHINE_TASKS];
	struct fl_heartbeat heartbeat = {.incarnation = machine->incarnation,
	                                 .sequence = ++machine->sequence,
	                                 .fencing_token = machine->fencing_token,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks};

	copy_text(heartbeat.host, sizeof(heartbeat.host), machine->name);
	copy_text(heartbeat.endpoint, sizeof(heartbeat.endpoint), machine->addr);
	copy_text(heartbeat.type, sizeof(heartbeat.type), "small");
	copy_text(heartbeat.zone, sizeof(heartbeat.zone), "a");
	for (int i = 0; i < FAKE_MACHINE_TASKS; i++) {
		struct fake_task *task = &machine->tasks[i];

		if (!task->used)
			continue;
		if (task_is_running(task) && !task->is_service && fl_now() > task->completes_at) {
			end_task(task, FL_EXIT_DONE);
			fake_services.completions++;
		}
		tasks[heartbeat.task_count++] = task->status;
	}
	return fl_heartbeat_encode(&heartbeat);
}

/* Executes a reply's commands, unless its fencing token is stale or the lease has expired. */
static void accept_reply(struct fake_machine *machine, const struct fl_http_reply *reply,
                         double sent_at)
{
	cJSON *object = fl_json_parse(reply->body.data, reply->body.length);
	uint64_t fencing_token = 0;

	if (fl_json_get_uint(object, "Epoch", &fencing_token) == FL_JSON_OK &&
	    fencing_token >= machine->fencing_token &&
	    fl_now() < machine->lease_started_at + fake_services.lease_s) {
		machine->fencing_token = fencing_token;
		machine->lease_started_at = sent_at;
		execute_commands(machine, object);
	}
	cJSON_Delete(object);
}

static void send_heartbeat(struct fake_machine *machine)
{
	struct fl_http_client client;
	struct fl_http_reply reply;
	double sent_at = fl_now();
	char *text = encode_next_heartbeat(machine);
	int rc;

	init_controller_client(&client, machine->next_controller);
	if (fault_is_due(fake_services.delayed_heartbeat_every, ++machine->heartbeat_count))
		send_heartbeat_copy_later(text, machine->next_controller + 1);
	rc = fl_http_call(&client, "POST", "/hello", text, 4.0, &reply);
	free(text);
	if (rc != 0) {
		machine->next_controller++;
		return;
	}
	if (machine->unreachable) {
		/* The reply is lost: the worker waits for its timeout, then tries another node. */
		fl_sleep(5.0);
		machine->next_controller++;
	} else if (reply.status == 200) {
		accept_reply(machine, &reply, sent_at);
	} else {
		machine->next_controller++;
	}
	fl_buffer_free(&reply.body);
}

/* ---- direct commands ---- */

static bool accept_direct_commands(struct fake_machine *machine, const char *body)
{
	cJSON *object = fl_json_parse(body, strlen(body));
	uint64_t fencing_token = 0, incarnation = 0;
	bool accepted;

	fl_json_get_uint(object, "Epoch", &fencing_token);
	fl_json_get_uint(object, "Tenure", &incarnation);
	accepted = fencing_token >= machine->fencing_token && incarnation == machine->incarnation;
	if (accepted) {
		machine->fencing_token = fencing_token;
		execute_commands(machine, object);
	}
	cJSON_Delete(object);
	return accepted;
}

static void on_worker_request(void *context, const struct fl_http_request *request,
                              struct fl_http_response *response)
{
	struct fake_machine *machine = context;
	bool accepted;

	if (machine->unreachable) {
		fl_sleep(3.0); /* nothing is executed, and the leader's request times out */
		return;
	}
	if (machine->deleted || strcmp(request->path, "/commands") != 0) {
		set_json_response(response, 404, NULL);
		return;
	}
	accepted = accept_direct_commands(machine, request->body);
	if (fault_is_due(fake_services.repeated_command_every, ++direct_command_count)) {
		free(machine->repeated_command);
		machine->repeated_command = strdup(request->body);
	}
	response->status = accepted ? 200 : 409;
	response->body = encode_next_heartbeat(machine);
}

/* ---- machines ---- */

static void end_expired_lease(struct fake_machine *machine)
{
	if (fl_now() <= machine->lease_started_at + fake_services.lease_s)
		return;
	memset(machine->tasks, 0, sizeof(machine->tasks));
	machine->incarnation++;
	machine->lease_started_at = fl_now();
}

static void run_machine(void *arg)
{
	struct fake_machine *machine = arg;

	machine->lease_started_at = fl_now();
	while (!machine->deleted && fl_sleep(fake_services.heartbeat_interval_s) == 0) {
		end_expired_lease(machine);
		send_heartbeat(machine);
		if (machine->repeated_command) {
			accept_direct_commands(machine, machine->repeated_command);
			free(machine->repeated_command);
			machine->repeated_command = NULL;
		}
	}
}

struct fake_machine *fake_machine_add(void)
{
	struct fake_machine *machine = calloc(1, sizeof(*machine));
	struct fl_http_server *server;

	assert(machine && fake_machine_count < FAKE_MACHINES);
	snprintf(machine->name, sizeof(machine->name), "m-%06d", fake_machine_count);
	machine->incarnation = 1;
	machine->next_controller = fake_machine_count;
	machine->unreachable = fake_services.unreachable_machines_to_rent > 0 &&
	                       fake_services.unreachable_machines_to_rent--;
	fake_machines[fake_machine_count++] = machine;
	server = fl_http_serve("127.0.0.1:0", 64, 90, on_worker_request, machine);
	fake_server_add(server);
	snprintf(machine->addr, sizeof(machine->addr), "127.0.0.1:%d", fl_http_server_port(server));
	fl_coroutine_spawn(run_machine, machine);
	if (fake_machine_count > fake_services.machines_rented)
		fake_services.machines_rented = fake_machine_count;
	return machine;
}

void fake_workers_free(void)
{
	while (fake_machine_count > 0) {
		struct fake_machine *machine = fake_machines[--fake_machine_count];

		free(machine->repeated_command);
		free(machine);
	}
}

/* ---- queries by the test ---- */

int fake_services_running_task_count(const char *ref)
{
	int count = 0;

	for (int k = 0; k < fake_machine_count; k++)
		for (int i = 0; i < FAKE_MACHINE_TASKS && !fake_machines[k]->deleted; i++)
			count += task_is_running(&fake_machines[k]->tasks[i]) &&
			         strcmp(fake_machines[k]->tasks[i].status.ref, ref) == 0;
	return count;
}

int fake_services_unreachable_machine_count(void)
{
	int count = 0;

	for (int i = 0; i < fake_machine_count; i++)
		count += fake_machines[i]->unreachable && !fake_machines[i]->deleted;
	return count;
}
