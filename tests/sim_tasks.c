/* The tasks on a machine: commands, image fetches, runs, checkpoints and exits. */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "protocol/json.h"
#include "transport/clock.h"
#include "worker_command.h"

static void count_task_as_ended(struct sim_task *task)
{
	if (task->counted_running)
		sim_check_task_ended(task->job, task->status.index);
	task->counted_running = false;
}

static void end_task(struct sim_machine *machine, struct sim_task *task, enum fl_exit_reason exit)
{
	count_task_as_ended(task);
	task->status.state = FL_TASK_STATE_EXITED;
	task->status.exit_reason = exit;
	sim_heartbeat_make_due(machine);
}

static double progress_now(const struct sim_task *task)
{
	return task->job->progress_s[task->status.index] + fl_now() - task->started_at;
}

static void save_progress(const struct sim_task *task)
{
	task->job->progress_s[task->status.index] = progress_now(task);
}

/* A task stopped without a new checkpoint keeps the progress of its last regular one. */
static void fall_back_to_checkpoint(const struct sim_task *task)
{
	double interval_s = task->job->spec.checkpoint_every_s;

	if (interval_s > 0)
		task->job->progress_s[task->status.index] =
			(double)(int)(progress_now(task) / interval_s) * interval_s;
}

static void start_running(struct sim_machine *machine, struct sim_task *task)
{
	struct sim_job *job = task->job;
	uint32_t index = task->status.index;

	task->status.state = FL_TASK_STATE_RUNNING;
	task->started_at = fl_now();
	task->counted_running = true;
	sim_check_task_started(job, index, sim_machine_index(machine));
	task->phase_ends_at = job->spec.kind == FL_SERVICE
	                              ? -1
	                              : fl_now() + job->duration_s[index] - job->progress_s[index];
	if (job->completed[index])
		end_task(machine, task, FL_EXIT_DONE);
	else
		sim_heartbeat_make_due(machine);
}

static bool has_image(const struct sim_machine *machine, const char *image)
{
	for (int i = 0; i < SIM_MACHINE_IMAGES && i < machine->image_count; i++)
		if (strcmp(machine->images[i], image) == 0)
			return true;
	return false;
}

static void on_image_fetched(struct sim_machine *machine, struct sim_task *task)
{
	if (!has_image(machine, task->job->spec.image))
		copy_text(machine->images[machine->image_count++ % SIM_MACHINE_IMAGES],
		          sizeof(machine->images[0]), task->job->spec.image);
	start_running(machine, task);
}

static void on_task_completed(struct sim_machine *machine, struct sim_task *task)
{
	const struct sim_fault *cancel = sim_fault_active(FAULT_CANCEL_AT_COMPLETION, -1);
	struct sim_job *job = task->job;

	job->completed[task->status.index] = true;
	sim.completions++;
	end_task(machine, task, FL_EXIT_DONE);
	if (!sim_job_is_completed(job))
		return;
	sim_user_read_all_nodes(job);
	if (!cancel)
		return;
	sim_user_query_repeatedly(job);
	if (sim_chance(cancel->magnitude)) {
		sim_user_cancel(job);
		sim_user_resubmit(job);
	}
}

static bool is_fetching(const struct sim_task *task)
{
	return task->used && task->status.state == FL_TASK_STATE_PULLING &&
	       task->phase_ends_at > fl_now();
}

/* Returns the index of the first task that fetches this task's image, or else its own index. */
static int first_fetch_of_image(const struct sim_machine *machine, int index)
{
	const struct sim_task *task = &machine->tasks[index];

	for (int i = 0; i < index && task->used; i++)
		if (is_fetching(&machine->tasks[i]) &&
		    strcmp(machine->tasks[i].job->spec.image, task->job->spec.image) == 0)
			return i;
	return index;
}

static int images_being_fetched(const struct sim_machine *machine)
{
	int count = 0;

	for (int i = 0; i < machine->task_slots_used; i++)
		count += is_fetching(&machine->tasks[i]) && first_fetch_of_image(machine, i) == i;
	return count;
}

/* Each of n images gets 1/n of the bandwidth, which delays it by (n - 1)/n of the elapsed time. */
static void delay_fetches(struct sim_machine *machine, double elapsed_s)
{
	int image_count = images_being_fetched(machine);

	for (int i = 0; i < machine->task_slots_used && image_count > 1; i++)
		if (is_fetching(&machine->tasks[i]))
			machine->tasks[i].phase_ends_at +=
				elapsed_s * (image_count - 1) / image_count;
}

/* Concurrent fetches share the machine's bandwidth; tasks with the same image share its fetch. */
static void share_image_bandwidth(struct sim_machine *machine)
{
	double elapsed_s =
		machine->fetches_checked_at > 0 ? fl_now() - machine->fetches_checked_at : 0;

	machine->fetches_checked_at = fl_now();
	delay_fetches(machine, elapsed_s);
	for (int i = 0; i < machine->task_slots_used; i++) {
		const struct sim_task *first = &machine->tasks[first_fetch_of_image(machine, i)];

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
		on_image_fetched(machine, task);
	} else if (task->status.state == FL_TASK_STATE_RUNNING) {
		on_task_completed(machine, task);
	} else {
		task->status.checkpoint_saved = true;
		end_task(machine, task, FL_EXIT_STOPPED);
	}
}

void sim_tasks_tick(struct sim_machine *machine)
{
	if (sim_fault_active(FAULT_SHARED_IMAGE_BANDWIDTH, -1))
		share_image_bandwidth(machine);
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].used)
			advance_task(machine, &machine->tasks[i]);
}

void sim_tasks_drop(struct sim_machine *machine)
{
	for (int i = 0; i < machine->task_slots_used; i++) {
		if (machine->tasks[i].used)
			count_task_as_ended(&machine->tasks[i]);
		machine->tasks[i].used = false;
	}
}

void sim_tasks_postpone(struct sim_machine *machine, double seconds)
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
		    worker_command_is_for_attempt(status, &machine->tasks[i].status))
			return &machine->tasks[i];
	return NULL;
}

static bool runs_task(const struct sim_machine *machine, const struct fl_task_status *status)
{
	for (int i = 0; i < machine->task_slots_used; i++) {
		const struct sim_task *task = &machine->tasks[i];

		if (task->used && task->status.state != FL_TASK_STATE_EXITED &&
		    worker_command_is_for_task(status, &task->status))
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

static struct sim_task *add_task(struct sim_machine *machine, const struct fl_task_status *status)
{
	for (int i = 0; i < SIM_MACHINE_TASKS; i++) {
		if (machine->tasks[i].used)
			continue;
		if (i >= machine->task_slots_used)
			machine->task_slots_used = i + 1;
		machine->tasks[i] = (struct sim_task){.used = true, .status = *status};
		return &machine->tasks[i];
	}
	abort();
}

/* Returns FL_EXIT_OTHER if the task can start. */
static enum fl_exit_reason start_refusal_reason(const struct sim_machine *machine,
                                                const struct sim_job *job,
                                                const struct fl_task_status *status)
{
	if (!job || job->first_sent_at == 0 || status->index >= job->spec.task_count)
		return FL_EXIT_UNKNOWN_TASK;
	if (runs_task(machine, status))
		return FL_EXIT_BUSY;
	return sim_machine_has_capacity(machine, job) ? FL_EXIT_OTHER : FL_EXIT_NO_ROOM;
}

static void start_task(struct sim_machine *machine, const struct fl_task_status *status)
{
	struct sim_job *job = sim_job_find(status->ref);
	enum fl_exit_reason refusal = start_refusal_reason(machine, job, status);
	struct sim_task *task = add_task(machine, status);

	task->job = job;
	if (refusal != FL_EXIT_OTHER) {
		end_task(machine, task, refusal);
		return;
	}
	task->status.state = FL_TASK_STATE_PULLING;
	task->phase_ends_at = fl_now();
	if (!has_image(machine, job->spec.image))
		task->phase_ends_at += job->spec.image_gb * sim_random_between(0.8, 1.3);
	sim_heartbeat_make_due(machine);
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
		save_progress(task);
		task->status.state = FL_TASK_STATE_CHECKPOINTING;
		task->phase_ends_at = fl_now() + spec->checkpoint_cost_s;
		sim_heartbeat_make_due(machine);
		return;
	}
	if (task->status.state == FL_TASK_STATE_RUNNING)
		fall_back_to_checkpoint(task);
	end_task(machine, task, FL_EXIT_STOPPED);
}

static void execute_command(struct sim_machine *machine, const struct worker_command *command)
{
	struct sim_task *task = find_attempt(machine, &command->task);
	bool exited = task && task->status.state == FL_TASK_STATE_EXITED;

	switch (command->kind) {
	case FL_COMMAND_START:
		if (!task)
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

void sim_tasks_execute_commands(struct sim_machine *machine, const cJSON *object)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, fl_json_get(object, "Orders")) {
		struct worker_command command = worker_command_decode(item);

		execute_command(machine, &command);
	}
}
