/* Machines and their workers: boots, leases, direct commands, hangs and terminations. */
#include "sim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

static const struct {
	double min_heartbeat_gap_s;
	double tick_s;
	/* The bounds of the delay under FAULT_DELAYED_COMMANDS and FAULT_REPEATED_COMMANDS. */
	double command_delay_min_s, command_copy_delay_min_s, command_delay_max_s;
} tunables = {0.5, 0.05, 2.0, 0.01, 16.0};

int sim_machine_index(const struct sim_machine *machine) { return (int)(machine - sim.machines); }

/* ---- leases and fencing tokens ---- */

void sim_machine_end_expired_lease(struct sim_machine *machine)
{
	if (fl_now() <= machine->lease_started_at + sim.lease_s)
		return;
	sim_tasks_drop(machine);
	machine->incarnation++;
	machine->lease_started_at = fl_now();
	sim_heartbeat_make_due(machine);
}

void sim_machine_raise_fencing_token(struct sim_machine *machine, uint64_t fencing_token)
{
	if (fencing_token <= machine->fencing_token)
		return;
	machine->fencing_token = fencing_token;
	if (fl_now() < machine->token_reported_at + sim.lease_s / 2)
		return;
	machine->token_reported_at = fl_now();
	sim_heartbeat_make_due(machine);
}

/* ---- the worker ---- */

static void tick_machine(struct sim_machine *machine)
{
	sim_machine_end_expired_lease(machine);
	sim_tasks_tick(machine);
	if (machine->interruption_at > 0 && fl_now() > machine->interruption_at)
		sim_machine_terminate(sim_machine_index(machine));
}

static void tick_machines(void *arg)
{
	(void)arg;
	while (fl_sleep(tunables.tick_s) == 0)
		for (int i = 0; i < sim.machine_count; i++) {
			struct sim_machine *machine = &sim.machines[i];

			if (machine->up && !machine->terminated && !machine->hung)
				tick_machine(machine);
		}
}

static double next_heartbeat_in_s(const struct sim_machine *machine, double due_at)
{
	double earliest = machine->last_heartbeat_sent_at + tunables.min_heartbeat_gap_s;

	if (machine->heartbeat_pending && earliest < due_at)
		due_at = earliest;
	return due_at - fl_now();
}

/* Returns false if the coroutine was cancelled. */
static bool wait_until_due(struct sim_machine *machine, double due_at)
{
	while (!machine->terminated) {
		double timeout_s = next_heartbeat_in_s(machine, due_at);

		if (timeout_s <= 0)
			break;
		if (fl_condition_wait(&machine->heartbeat_due, timeout_s) == -ECANCELED)
			return false;
	}
	return true;
}

bool sim_machine_wait_until_resumed(struct sim_machine *machine)
{
	while (machine->hung && !machine->terminated)
		if (fl_condition_wait(&machine->resumed, -1) == -ECANCELED)
			return false;
	return !machine->terminated && !fl_coroutine_cancelled();
}

static void start_worker(struct sim_machine *machine)
{
	machine->up = true;
	machine->incarnation = 1;
	machine->lease_started_at = fl_now();
	machine->next_node = sim_random_index(sim.node_count);
	machine->last_heartbeat_sent_at = -1;
}

static void run_worker(void *arg)
{
	struct sim_machine *machine = arg;
	double due_at, delay_s;

	if (machine->never_boots || fl_sleep(machine->ready_at - fl_now()) != 0 ||
	    machine->terminated)
		return;
	start_worker(machine);
	due_at = fl_now();
	while (!machine->terminated) {
		if (!wait_until_due(machine, due_at) || !sim_machine_wait_until_resumed(machine))
			return;
		sim_machine_end_expired_lease(machine);
		delay_s = sim_heartbeat_send(machine);
		if (delay_s > 0 && fl_sleep(delay_s) != 0)
			return;
		due_at = fl_now();
		if (delay_s < 0)
			due_at = machine->last_heartbeat_sent_at +
			         sim.heartbeat_interval_s * sim_random_between(0.75, 1.25);
	}
}

/* ---- direct commands ---- */

static void respond_heartbeat(struct sim_machine *machine, int status,
                              struct fl_http_response *response)
{
	response->status = status;
	response->body = sim_heartbeat_encode(machine);
}

static void serve_command(struct sim_machine *machine, int process,
                          const struct fl_http_request *request, struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(request->body, request->body_len);
	uint64_t fencing_token = 0, incarnation = 0;

	if (fl_json_get_uint(object, "Epoch", &fencing_token) != FL_JSON_OK ||
	    fl_json_get_uint(object, "Tenure", &incarnation) != FL_JSON_OK) {
		response->status = 400;
	} else {
		sim_check_fencing_token(fencing_token, process);
		if (fencing_token < machine->fencing_token || incarnation != machine->incarnation) {
			respond_heartbeat(machine, 409, response);
		} else {
			sim_machine_raise_fencing_token(machine, fencing_token);
			sim_tasks_execute_commands(machine, object);
			respond_heartbeat(machine, 200, response);
		}
	}
	cJSON_Delete(object);
}

/* Returns the delay of a direct command, which is executed late and whose reply is lost; 0: none.
 */
static double command_delay_s(void)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_COMMANDS, -1);

	if (!fault || !sim_chance(fault->magnitude))
		return 0;
	return sim_random_between(tunables.command_delay_min_s,
	                          fault->delay_max_s > 0 ? fault->delay_max_s
	                                                 : tunables.command_delay_max_s);
}

/* A copy of a direct command that has been executed and answered. */
struct command_copy {
	struct sim_machine *machine;
	int process; /* that sent the command */
	char *body;
	double delay_s;
};

static void deliver_command_copy(void *arg)
{
	struct command_copy *copy = arg;
	struct fl_http_request request = {.body = copy->body, .body_len = strlen(copy->body)};
	struct fl_http_response response = {0};

	if (fl_sleep(copy->delay_s) == 0 && sim_machine_wait_until_resumed(copy->machine)) {
		sim_machine_end_expired_lease(copy->machine);
		serve_command(copy->machine, copy->process, &request, &response);
	}
	free(response.body);
	free(copy->body);
	free(copy);
}

/* Half of the copies arrive within a second, the others up to much later. */
static void copy_command_if_faulty(struct sim_machine *machine, int process,
                                   const struct fl_http_request *request)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_REPEATED_COMMANDS, -1);
	struct command_copy *copy;
	double delay_max_s = 1;

	if (!fault || !sim_chance(fault->magnitude))
		return;
	copy = malloc(sizeof(*copy));
	sim_require(copy != NULL);
	if (sim_chance(0.5))
		delay_max_s =
			fault->delay_max_s > 0 ? fault->delay_max_s : tunables.command_delay_max_s;
	*copy = (struct command_copy){
		machine, process, strdup(request->body),
		sim_random_between(tunables.command_copy_delay_min_s, delay_max_s)};
	sim_require(copy->body != NULL);
	sim_spawn(0, deliver_command_copy, copy);
}

void sim_worker_serve(int process, int machine_index, const struct fl_http_request *request,
                      struct fl_http_response *response)
{
	struct sim_machine *machine = &sim.machines[machine_index];
	bool is_status_request = strcmp(request->path, "/show") == 0;
	double delay_s = is_status_request ? 0 : command_delay_s();

	if (delay_s > 0)
		fl_sleep(delay_s);
	if (sim_machine_wait_until_resumed(machine)) {
		sim_machine_end_expired_lease(machine);
		if (is_status_request)
			respond_heartbeat(machine, 200, response);
		else
			serve_command(machine, process, request, response);
		if (!is_status_request)
			copy_command_if_faulty(machine, process, request);
		if (delay_s == 0)
			return;
	}
	response->status = SIM_NO_REPLY;
}

/* ---- machines ---- */

void sim_machine_boot(int machine) { sim_spawn(0, run_worker, &sim.machines[machine]); }

void sim_machine_terminate(int machine_index)
{
	struct sim_machine *machine = &sim.machines[machine_index];

	if (machine->terminated)
		return;
	machine->terminated = true;
	machine->terminated_at = fl_now();
	sim_tasks_drop(machine);
	fl_condition_broadcast(&machine->heartbeat_due);
	fl_condition_broadcast(&machine->resumed);
}

void sim_machine_set_hung(int machine_index, bool hung)
{
	struct sim_machine *machine = &sim.machines[machine_index];

	if (machine->hung == hung || machine->terminated)
		return;
	machine->hung = hung;
	if (hung) {
		machine->hung_at = fl_now();
		return;
	}
	sim_tasks_postpone(machine, fl_now() - machine->hung_at);
	machine->fetches_checked_at = fl_now();
	sim_machine_end_expired_lease(machine);
	fl_condition_broadcast(&machine->resumed);
}

void sim_workers_begin(void) { sim_spawn(0, tick_machines, NULL); }
