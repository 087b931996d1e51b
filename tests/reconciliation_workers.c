/* The workers of the reconciliation simulation, and the invariants of the tasks they run. */
#include "reconciliation_sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "worker_command.h"

enum { TEAM_CPUS_MAX = 6 /* each task uses one CPU */ };

void format_ref(int job, char ref[FL_REF_MAX]) { snprintf(ref, FL_REF_MAX, "run-%06d", job); }

void format_host(int worker, char host[FL_NAME_MAX])
{
	snprintf(host, FL_NAME_MAX, "m-%06d", worker);
}

char *encode_heartbeat(struct simulation *sim, int index)
{
	struct worker *worker = &sim->workers[index];
	struct fl_task_status tasks[WORKER_TASKS];
	struct fl_heartbeat heartbeat = {.incarnation = worker->incarnation,
	                                 .sequence = ++worker->sequence,
	                                 .fencing_token = worker->fencing_token,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks};

	format_host(index, heartbeat.host);
	copy_text(heartbeat.endpoint, sizeof(heartbeat.endpoint), "127.0.0.1:1");
	copy_text(heartbeat.type, sizeof(heartbeat.type), "g");
	copy_text(heartbeat.zone, sizeof(heartbeat.zone), index % 2 ? "a" : "b");
	for (int i = 0; i < WORKER_TASKS; i++)
		if (worker->tasks[i].used)
			tasks[heartbeat.task_count++] = worker->tasks[i].status;
	return fl_heartbeat_encode(&heartbeat);
}

/* ---- invariants ---- */

static bool task_is_running(const struct worker_task *task)
{
	return task->used && task->status.state != FL_TASK_STATE_EXITED;
}

static int count_running_copies(const struct worker *worker, const struct fl_task_status *status)
{
	int copies = 0;

	for (int i = 0; i < WORKER_TASKS; i++)
		copies += task_is_running(&worker->tasks[i]) &&
		          worker_command_is_for_task(status, &worker->tasks[i].status);
	return copies;
}

static void check_task_runs_once(const struct simulation *sim, int job, uint32_t index)
{
	struct fl_task_status status = {.index = index};
	int copies = 0;

	format_ref(job, status.ref);
	for (int k = 0; k < WORKERS; k++)
		copies += count_running_copies(&sim->workers[k], &status);
	assert_in_range(copies, 0, 1);
}

static void check_quota(const struct simulation *sim)
{
	int running = 0;

	for (int k = 0; k < WORKERS; k++)
		for (int i = 0; i < WORKER_TASKS; i++)
			running += task_is_running(&sim->workers[k].tasks[i]);
	assert_in_range(running, 0, TEAM_CPUS_MAX);
}

void check_invariants(struct simulation *sim)
{
	for (int job = 0; job < JOBS; job++)
		for (uint32_t index = 0; index < TASKS; index++)
			check_task_runs_once(sim, job, index);
	check_quota(sim);
}

/* ---- commands ---- */

static struct worker_task *find_attempt(struct worker *worker, const struct fl_task_status *status)
{
	for (int i = 0; i < WORKER_TASKS; i++)
		if (worker->tasks[i].used &&
		    worker_command_is_for_attempt(status, &worker->tasks[i].status))
			return &worker->tasks[i];
	return NULL;
}

static struct worker_task *find_unused_slot(struct worker *worker)
{
	for (int i = 0; i < WORKER_TASKS; i++)
		if (!worker->tasks[i].used)
			return &worker->tasks[i];
	fail_msg("worker has no unused task slot; exited tasks were not forgotten");
	return NULL;
}

static void end_task(struct worker_task *task, enum fl_exit_reason exit)
{
	task->status.state = FL_TASK_STATE_EXITED;
	task->status.exit_reason = exit;
}

static void start_task(struct simulation *sim, struct worker *worker,
                       const struct fl_task_status *status)
{
	int job = atoi(status->ref + strlen("run-"));
	struct worker_task *task;

	if (find_attempt(worker, status))
		return;
	task = find_unused_slot(worker);
	task->used = true;
	task->status = *status;
	task->status.state = FL_TASK_STATE_RUNNING;
	if (count_running_copies(worker, status) > 1)
		end_task(task, FL_EXIT_BUSY);
	else if (sim->completed[job][status->index])
		end_task(task, FL_EXIT_DONE);
	sim->starts++;
	check_invariants(sim);
}

static void execute_command(struct simulation *sim, struct worker *worker,
                            const struct worker_command *command)
{
	struct worker_task *task = find_attempt(worker, &command->task);

	switch (command->kind) {
	case FL_COMMAND_START:
		start_task(sim, worker, &command->task);
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

void execute_commands(struct simulation *sim, int index, const char *text, bool direct)
{
	struct worker *worker = &sim->workers[index];
	cJSON *object = fl_json_parse(text, strlen(text));
	uint64_t fencing_token, incarnation;
	const cJSON *item;

	assert_int_equal(fl_json_get_uint(object, "Epoch", &fencing_token), FL_JSON_OK);
	if (fencing_token < worker->fencing_token)
		goto out;
	if (direct && (fl_json_get_uint(object, "Tenure", &incarnation) != FL_JSON_OK ||
	               incarnation != worker->incarnation))
		goto out;
	worker->fencing_token = fencing_token;
	cJSON_ArrayForEach (item, fl_json_get(object, "Orders")) {
		struct worker_command command = worker_command_decode(item);

		execute_command(sim, worker, &command);
	}
out:
	cJSON_Delete(object);
}

void drop_reply(struct worker *worker)
{
	free(worker->reply_in_flight);
	worker->reply_in_flight = NULL;
}
