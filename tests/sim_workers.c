/* Machines: reports, leases, direct commands, their comings and goings, and standstills. */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"

enum { BODY_MOST = 64 * 1024 /* bytes of a request */, COPIES = 64 };

static const struct {
	double patience_s; /* s for an answer */
	double next_s;     /* s before the next node is tried */
	double gap_s;      /* s between two reports at least */
	double tick_s;     /* s between two looks at the tasks */
	double notice_s;   /* s of a spot machine's notice */
	/* s by which a command that is held up comes late */
	double late_least_s, late_most_s;
} rule = {4.0, 1.0, 0.5, 0.05, 20.0, 2.0, 16.0};

static int index_of(const struct sim_machine *machine) { return (int)(machine - sim.machines); }

void sim_machine_changed(struct sim_machine *machine)
{
	machine->changed = true;
	fl_condition_broadcast(&machine->work);
}

/* The lease has run out: everything goes, and a new session begins. */
static void lapse(struct sim_machine *machine)
{
	if (fl_now() <= machine->lease_started_at + sim.lease_s)
		return;
	sim_tasks_drop(machine);
	machine->incarnation++;
	machine->lease_started_at = fl_now();
	sim_machine_changed(machine);
}

static void tick(struct sim_machine *machine)
{
	lapse(machine);
	sim_tasks_tick(machine);
	if (machine->interruption_at > 0 && fl_now() > machine->interruption_at)
		sim_machine_ends(index_of(machine));
}

static void tick_duty(void *arg)
{
	(void)arg;
	while (fl_sleep(rule.tick_s) == 0)
		for (int i = 0; i < sim.machine_count; i++) {
			struct sim_machine *machine = &sim.machines[i];

			if (machine->up && !machine->terminated && !machine->hung)
				tick(machine);
		}
}

static void see_epoch(struct sim_machine *machine, uint64_t fencing_token)
{
	if (fencing_token <= machine->fencing_token)
		return;
	machine->fencing_token = fencing_token;
	if (fl_now() < machine->token_told_at + sim.lease_s / 2)
		return;
	machine->token_told_at = fl_now();
	sim_machine_changed(machine);
}

/* ---- reports ---- */

static char *report_text(struct sim_machine *machine)
{
	struct fl_task_status tasks[SIM_TASKS];
	struct fl_heartbeat heartbeat = {.incarnation = machine->incarnation,
	                                 .sequence = ++machine->sequence,
	                                 .fencing_token = machine->fencing_token,
	                                 .spot = machine->spot,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks};

	sim_copy(heartbeat.host, sizeof(heartbeat.host), machine->name);
	sim_address((struct sim_endpoint){ENDPOINT_WORKER, index_of(machine)}, heartbeat.endpoint);
	sim_copy(heartbeat.type, sizeof(heartbeat.type), sim_machine_types[machine->type].name);
	sim_copy(heartbeat.zone, sizeof(heartbeat.zone), sim.config[0].zones[machine->zone]);
	if (machine->interruption_at > 0 && fl_now() > machine->interruption_at - rule.notice_s)
		heartbeat.interruption_in_s = machine->interruption_at > fl_now()
		                                      ? machine->interruption_at - fl_now()
		                                      : 0;
	for (int i = 0; i < machine->task_slots; i++)
		if (machine->tasks[i].used)
			tasks[heartbeat.task_count++] = machine->tasks[i].status;
	return fl_heartbeat_encode(&heartbeat);
}

struct copy {
	char *text;
	double after_s; /* < 0: from 2 s to well over a lease */
	int machine, node;
};

/* Those that wait for the next leader. */
static struct {
	struct copy copy[COPIES];
	int n;
} kept;

static void copy_routine(void *arg)
{
	struct copy *c = arg;
	struct fl_http_reply reply;

	if (c->after_s < 0)
		c->after_s = sim_between(2, 2.5 * sim.lease_s);
	/* In any order, and nobody reads the answer. */
	if (fl_sleep(c->after_s) == 0 &&
	    sim_call((struct sim_endpoint){ENDPOINT_WORKER, c->machine},
	             (struct sim_endpoint){ENDPOINT_NODE, c->node}, "POST", "/hello", c->text, 4,
	             &reply) == 0)
		fl_buffer_free(&reply.body);
	free(c->text);
	free(c);
}

static void send_copy(const char *text, int machine, int node, double after_s)
{
	struct copy *c = malloc(sizeof(*c));

	sim_require(c != NULL);
	*c = (struct copy){strdup(text), after_s, machine, node};
	sim_spawn(0, copy_routine, c);
}

void sim_reports_for_leader(void)
{
	for (int i = 0; i < kept.n; i++) {
		/* In the very moment, or while it takes over. */
		double after_s = sim_between(0, sim_chance(0.5) ? 0.01 : 0.6);

		for (int k = 0; k < sim.node_count; k++)
			send_copy(kept.copy[i].text, kept.copy[i].machine, k, after_s);
		free(kept.copy[i].text);
	}
	kept.n = 0;
}

void sim_reports_end(void)
{
	for (int i = 0; i < kept.n; i++)
		free(kept.copy[i].text);
	memset(&kept, 0, sizeof(kept));
}

static void keep_copy(const struct sim_machine *machine, const char *text)
{
	int at = kept.n;

	if (kept.n < COPIES) {
		kept.n++;
	} else {
		at = sim_pick(COPIES);
		free(kept.copy[at].text);
	}
	kept.copy[at] = (struct copy){.text = strdup(text), .machine = index_of(machine)};
}

static void copy_later(const struct sim_machine *machine, const char *text)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_HEARTBEATS, -1);

	if (!fault || !sim_chance(fault->magnitude))
		return;
	if (fault->for_next)
		keep_copy(machine, text);
	else
		send_copy(text, index_of(machine), sim_pick(sim.node_count), -1);
}

static void heed(struct sim_machine *machine, double sent, uint64_t incarnation,
                 const cJSON *object)
{
	uint64_t fencing_token = 0;

	if (fl_json_get_count(object, "Epoch", &fencing_token) != FL_JSON_OK ||
	    fencing_token < machine->fencing_token || incarnation != machine->incarnation)
		return; /* dropped: it stays here while its lease runs out */
	see_epoch(machine, fencing_token);
	machine->lease_started_at = sent;
	sim_tasks_command(machine, object);
}

/* Where to next, and in how many seconds. */
static double move_on(struct sim_machine *machine, const struct fl_http_reply *reply, int rc)
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
	if (to >= 0 && to != machine->node) {
		machine->node = to;
		return sim_chance(0.5) ? 0 : sim_between(0, 0.5);
	}
	machine->node = (machine->node + 1) % sim.node_count;
	return rule.next_s;
}

/* Standing still: what comes meanwhile waits. False if the machine has ended. */
static bool goes_on(struct sim_machine *machine)
{
	while (machine->hung && !machine->terminated)
		if (fl_condition_wait(&machine->goes_on, -1) == -ECANCELED)
			return false;
	return !machine->terminated && !fl_coroutine_cancelled();
}

/* s until the next report may be due; < 0: as usual. */
static double report(struct sim_machine *machine)
{
	double sent = fl_now(), pause = -1;
	uint64_t incarnation = machine->incarnation;
	char *text = report_text(machine);
	struct fl_http_reply reply;
	int rc;

	if (strlen(text) > BODY_MOST)
		sim_violation("too_large", "%s has to report %d tasks", machine->name,
		              machine->task_slots);
	machine->last_sent = sent;
	machine->changed = false;
	copy_later(machine, text);
	rc = sim_call((struct sim_endpoint){ENDPOINT_WORKER, index_of(machine)},
	              (struct sim_endpoint){ENDPOINT_NODE, machine->node}, "POST", "/hello", text,
	              rule.patience_s, &reply);
	free(text);
	if (goes_on(machine)) {
		if (rc == 0 && fl_now() > sent + rule.patience_s) {
			fl_buffer_free(&reply.body);
			rc = -ETIMEDOUT;
		}
		lapse(machine);
		if (rc == 0 && reply.status == 200) {
			cJSON *object = fl_json_parse(reply.body.data, reply.body.length);

			heed(machine, sent, incarnation, object);
			cJSON_Delete(object);
		} else {
			pause = move_on(machine, &reply, rc);
		}
	}
	if (rc == 0)
		fl_buffer_free(&reply.body);
	return pause;
}

static double due_in(const struct sim_machine *machine, double due)
{
	double soonest = machine->last_sent + rule.gap_s;

	if (machine->changed && soonest < due)
		due = soonest;
	return due - fl_now();
}

static void worker(void *arg)
{
	struct sim_machine *machine = arg;
	double due, wait, pause;

	if (machine->never_up || fl_sleep(machine->ready - fl_now()) != 0 || machine->terminated)
		return;
	machine->up = true;
	machine->incarnation = 1;
	machine->lease_started_at = fl_now();
	machine->node = sim_pick(sim.node_count);
	machine->last_sent = -1;
	due = fl_now();
	while (!machine->terminated) {
		while (!machine->terminated && (wait = due_in(machine, due)) > 0)
			if (fl_condition_wait(&machine->work, wait) == -ECANCELED)
				return;
		if (!goes_on(machine))
			return;
		lapse(machine);
		pause = report(machine);
		if (pause > 0 && fl_sleep(pause) != 0)
			return;
		due = pause >= 0 ? fl_now()
		                 : machine->last_sent + sim.report_s * sim_between(0.75, 1.25);
	}
}

/* ---- direct commands ---- */

static void say_report(struct sim_machine *machine, struct fl_http_response *response, int status)
{
	response->status = status;
	response->body = report_text(machine);
}

static void command(struct sim_machine *machine, int process, const struct fl_http_request *request,
                    struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(request->body, request->body_len);
	uint64_t fencing_token = 0, incarnation = 0;

	if (fl_json_get_count(object, "Epoch", &fencing_token) != FL_JSON_OK ||
	    fl_json_get_count(object, "Tenure", &incarnation) != FL_JSON_OK) {
		response->status = 400;
	} else if (fencing_token < machine->fencing_token || incarnation != machine->incarnation) {
		sim_check_epoch(fencing_token, process);
		say_report(machine, response, 409);
	} else {
		sim_check_epoch(fencing_token, process);
		see_epoch(machine, fencing_token);
		sim_tasks_command(machine, object);
		say_report(machine, response, 200);
	}
	cJSON_Delete(object);
}

/* Is it to be held up on its way? Then nobody gets the answer, and it is carried out all the same.
 */
static bool held_up(void)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_COMMANDS, -1);

	return fault && sim_chance(fault->magnitude);
}

void sim_worker_serve(struct sim_endpoint from, int process, int machine,
                      const struct fl_http_request *request, struct fl_http_response *response)
{
	struct sim_machine *m = &sim.machines[machine];
	bool show = strcmp(request->path, "/show") == 0, late = !show && held_up();

	(void)from;
	if (late)
		fl_sleep(sim_between(rule.late_least_s, rule.late_most_s));
	if (goes_on(m)) {
		lapse(m);
		if (show)
			say_report(m, response, 200);
		else
			command(m, process, request, response);
		if (!late)
			return;
	}
	free(response->body);
	response->body = NULL;
	response->status = SIM_NO_REPLY;
}

/* ---- their comings and goings ---- */

void sim_worker_boot(int machine) { sim_spawn(0, worker, &sim.machines[machine]); }

void sim_machine_ends(int machine)
{
	struct sim_machine *m = &sim.machines[machine];

	if (m->terminated)
		return;
	m->terminated = true;
	m->terminated_at = fl_now();
	sim_tasks_drop(m);
	fl_condition_broadcast(&m->work);
	fl_condition_broadcast(&m->goes_on);
}

void sim_machine_hangs(int machine, bool hangs)
{
	struct sim_machine *m = &sim.machines[machine];

	if (m->hung == hangs || m->terminated)
		return;
	m->hung = hangs;
	if (hangs) {
		m->hung_since = fl_now();
		return;
	}
	sim_tasks_stood_still(m, fl_now() - m->hung_since);
	m->fetches_checked_at = fl_now();
	lapse(m);
	fl_condition_broadcast(&m->goes_on);
}

void sim_workers_begin(void) { sim_spawn(0, tick_duty, NULL); }
