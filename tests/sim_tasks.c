/* The tasks on a machine: commands, image fetches, runs, checkpoints and ends. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "protocol/json.h"
#include "transport/clock.h"
#include "worker_command.h"

static void leave_machine(struct sim_task *task)
{
	if (task->counted_running)
		sim_check_task_left(task->job, task->status.index);
	task->counted_running = false;
}

static void end_task(struct sim_machine *machine, struct sim_task *task, enum fl_exit why)
{
	leave_machine(task);
	task->status.state = FL_TASK_STATE_EXITED;
	task->status.exit = why;
	sim_heartbeat_request(machine);
}

static double progress_now(const struct sim_task *task)
{
	return task->job->progress_s[task->status.index] + fl_now() - task->started_at;
}

static void keep_progress(struct sim_task *task, bool saved)
{
	double every = task->job->spec.checkpoint_every_s, done = progress_now(task);

	if (saved)
		task->job->progress_s[task->status.index] = done;
	else if (every > 0)
		task->job->progress_s[task->status.index] = (double)(int)(done / every) * every;
}

static void start_running(struct sim_machine *machine, struct sim_task *task)
{
	struct sim_job *job = task->job;
	uint32_t i = task->status.index;

	task->status.state = FL_TASK_STATE_RUNNING;
	task->started_at = fl_now();
	task->counted_running = true;
	sim_check_task_started(job, i, sim_machine_index(machine));
	task->phase_ends_at = job->spec.kind == FL_SERVICE
	                              ? -1
	                              : fl_now() + job->duration_s[i] - job->progress_s[i];
	if (job->completed[i])
		end_task(machine, task, FL_EXIT_DONE);
	else
		sim_heartbeat_request(machine);
}

static bool has_image(const struct sim_machine *machine, const char *image)
{
	for (int i = 0; i < SIM_MACHINE_IMAGES && i < machine->image_count; i++)
		if (strcmp(machine->images[i], image) == 0)
			return true;
	return false;
}

static void image_fetched(struct sim_machine *machine, struct sim_task *task)
{
	if (!has_image(machine, task->job->spec.image))
		copy_text(machine->images[machine->image_count++ % SIM_MACHINE_IMAGES],
		          sizeof(machine->images[0]), task->job->spec.image);
	start_running(machine, task);
}

static void task_completed(struct sim_machine *machine, struct sim_task *task)
{
	struct sim_job *job = task->job;
	const struct sim_fault *end = sim_fault_active(FAULT_CANCEL_AT_COMPLETION, -1);
	bool last = true;

	job->completed[task->status.index] = true;
	sim.completions++;
	end_task(machine, task, FL_EXIT_DONE);
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		last = last && job->completed[i];
	if (last)
		sim_user_read_all_nodes(job);
	if (last && end)
		sim_user_query_repeatedly(job);
	if (last && end && sim_chance(end->magnitude)) {
		sim_user_cancel(job);
		sim_user_resubmit(job);
	}
}

static bool is_fetching(const struct sim_task *task)
{
	return task->used && task->status.state == FL_TASK_STATE_PULLING &&
	       task->phase_ends_at > fl_now();
}

/* The task for which this one's image is being fetched already; itself if for none. */
static int first_with_image(const struct sim_machine *machine, int at)
{
	for (int i = 0; i < at; i++)
		if (is_fetching(&machine->tasks[i]) && machine->tasks[at].used &&
		    strcmp(machine->tasks[i].job->spec.image, machine->tasks[at].job->spec.image) ==
		            0)
			return i;
	return at;
}

/* Several images that are fetched at once share the machine's rate; tasks share their image's. */
static void share_fetches(struct sim_machine *machine)
{
	double seconds =
		machine->fetches_checked_at > 0 ? fl_now() - machine->fetches_checked_at : 0;
	int images = 0;

	machine->fetches_checked_at = fl_now();
	for (int i = 0; i < machine->task_slots_used; i++)
		images += is_fetching(&machine->tasks[i]) && first_with_image(machine, i) == i;
	/* Each of n images has an n-th of the rate, and so is late by the rest of the time. */
	for (int i = 0; i < machine->task_slots_used && images > 1; i++)
		if (is_fetching(&machine->tasks[i]))
			machine->tasks[i].phase_ends_at += seconds * (images - 1) / images;
	for (int i = 0; i < machine->task_slots_used; i++) {
		const struct sim_task *first = &machine->tasks[first_with_image(machine, i)];

		if (is_fetching(&machine->tasks[i]) &&
		    first->phase_ends_at < machine->tasks[i].phase_ends_at)
			machine->tasks[i].phase_ends_at = first->phase_ends_at;
	}
}

static void advance_task(struct sim_machine *machine, struct sim_task *task)
{
	if (task->status.state == FL_TASK_STATE_EXITED || task->phase_ends_at < 0 ||
	    fl_now() < task->phase_ends_at)
		return;
	if (task->status.state == FL_TASK_STATE_PULLING) {
		image_fetched(machine, task);
	} else if (task->status.state == FL_TASK_STATE_RUNNING) {
		task_completed(machine, task);
	} else {
		task->status.saved = true;
		end_task(machine, task, FL_EXIT_STOPPED);
	}
}

void sim_tasks_tick(struct sim_machine *machine)
{
	if (sim_fault_active(FAULT_SHARED_IMAGE_BANDWIDTH, -1))
		share_fetches(machine);
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].used)
			advance_task(machine, &machine->tasks[i]);
}

void sim_tasks_drop(struct sim_machine *machine)
{
	for (int i = 0; i < machine->task_slots_used; i++) {
		if (machine->tasks[i].used)
			leave_machine(&machine->tasks[i]);
		machine->tasks[i].used = false;
	}
}

void sim_tasks_resume_after(struct sim_machine *machine, double seconds)
{
	for (int i = 0; i < machine->task_slots_used; i++) {
		struct sim_task *task = &machine->tasks[i];

		if (!task->used)
			continue;
		task->started_at += seconds;
		if (task->phase_ends_at >= 0)
			task->phase_ends_at += seconds;
	}
}

/* ---- commands ---- */

static struct sim_task *find_attempt(struct sim_machine *machine,
                                     const struct fl_task_status *status)
{
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].used &&
		    worker_command_names_attempt(status, &machine->tasks[i].status))
			return &machine->tasks[i];
	return NULL;
}

static bool runs_task(const struct sim_machine *machine, const struct fl_task_status *status)
{
	for (int i = 0; i < machine->task_slots_used; i++) {
		const struct sim_task *task = &machine->tasks[i];

		if (task->used && task->status.state != FL_TASK_STATE_EXITED &&
		    worker_command_names_task(status, &task->status))
			return true;
	}
	return false;
}

bool sim_machine_has_capacity(const struct sim_machine *machine, const struct sim_job *job)
{
	const struct sim_machine_type *type = &sim_machine_types[machine->type];
	double cpus = job->spec.cpus, gpus = job->spec.gpus, ram = job->spec.ram_gb;

	for (int i = 0; i < machine->task_slots_used; i++) {
		const struct sim_task *task = &machine->tasks[i];

		if (!task->used || task->status.state == FL_TASK_STATE_EXITED)
			continue;
		cpus += task->job->spec.cpus;
		gpus += task->job->spec.gpus;
		ram += task->job->spec.ram_gb;
	}
	return cpus <= type->cpus && gpus <= type->gpus && ram <= type->ram_gb;
}

static struct sim_task *new_task(struct sim_machine *machine, const struct fl_task_status *status)
{
	for (int i = 0; i < SIM_TASKS; i++) {
		if (machine->tasks[i].used)
			continue;
		if (i >= machine->task_slots_used)
			machine->task_slots_used = i + 1;
		machine->tasks[i] = (struct sim_task){.used = true, .status = *status};
		return &machine->tasks[i];
	}
	abort();
}

static void start_task(struct sim_machine *machine, const struct fl_task_status *status)
{
	struct sim_job *job = sim_job_find(status->ref);
	enum fl_exit refusal = FL_EXIT_OTHER;
	struct sim_task *task;

	if (find_attempt(machine, status))
		return;
	if (!job || job->first_sent_at == 0 || status->index >= job->spec.task_count)
		refusal = FL_EXIT_UNKNOWN_TASK;
	else if (runs_task(machine, status))
		refusal = FL_EXIT_BUSY;
	else if (!sim_machine_has_capacity(machine, job))
		refusal = FL_EXIT_NO_ROOM;
	task = new_task(machine, status);
	task->job = job;
	if (refusal != FL_EXIT_OTHER) {
		end_task(machine, task, refusal);
		return;
	}
	task->status.state = FL_TASK_STATE_PULLING;
	task->phase_ends_at = fl_now() + (has_image(machine, job->spec.image)
	                                          ? 0
	                                          : job->spec.image_gb * sim_between(0.8, 1.3));
	sim_heartbeat_request(machine);
	advance_task(machine, task);
}

static void stop_task(struct sim_machine *machine, struct sim_task *task, double grace_period_s)
{
	const struct fl_job_spec *spec = &task->job->spec;

	if (task->status.state == FL_TASK_STATE_CHECKPOINTING) {
		if (grace_period_s <= 0)
			end_task(machine, task, FL_EXIT_STOPPED);
		return;
	}
	if (task->status.state == FL_TASK_STATE_RUNNING && spec->checkpoint_every_s > 0 &&
	    grace_period_s >= spec->checkpoint_cost_s) {
		keep_progress(task, true);
		task->status.state = FL_TASK_STATE_CHECKPOINTING;
		task->phase_ends_at = fl_now() + spec->checkpoint_cost_s;
		sim_heartbeat_request(machine);
		return;
	}
	if (task->status.state == FL_TASK_STATE_RUNNING)
		keep_progress(task, false);
	end_task(machine, task, FL_EXIT_STOPPED);
}

static void execute_command(struct sim_machine *machine, const struct worker_command *command)
{
	struct sim_task *task = find_attempt(machine, &command->task);
	bool exited = task && task->status.state == FL_TASK_STATE_EXITED;

	switch (command->kind) {
	case FL_COMMAND_START:
		start_task(machine, &command->task);
		break;
	case FL_COMMAND_STOP:
		if (task && !exited)
			stop_task(machine, task, command->grace_period_s);
		break;
	case FL_COMMAND_FORGET:
		if (exited)
			task->used = false;
		break;
	}
}

void sim_tasks_command(struct sim_machine *machine, const cJSON *object)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, fl_json_get(object, "Orders")) {
		struct worker_command command = worker_command_decode(item);

		execute_command(machine, &command);
	}
}
