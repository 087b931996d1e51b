#include "storage/tasks.h"

#include <math.h>
#include <stdlib.h>

#include "storage/block_parts.h"
#include "storage/jobs.h"
#include "transport/clock.h"

struct fl_task *fl_task_find(const struct fl_job *job, uint32_t index)
{
	struct fl_task_block *block = fl_job_task_block(job, index / FL_TASK_BLOCK_SIZE);

	return block ? &block->tasks[index % FL_TASK_BLOCK_SIZE] : NULL;
}

struct fl_task *fl_task_get_or_alloc(struct fl_job *job, uint32_t index)
{
	struct fl_task_block **block;

	if (!job->blocks)
		job->blocks = calloc(job->block_count, sizeof(*job->blocks));
	if (!job->blocks)
		return NULL;
	block = &job->blocks[index / FL_TASK_BLOCK_SIZE];
	if (!*block)
		*block = calloc(1, sizeof(**block));
	return *block ? &(*block)->tasks[index % FL_TASK_BLOCK_SIZE] : NULL;
}

bool fl_task_change_is_durable(const struct fl_job *job, uint32_t index)
{
	const struct fl_task_block *block = fl_job_task_block(job, index / FL_TASK_BLOCK_SIZE);
	const struct fl_task *task = fl_task_find(job, index);

	return !task || fl_task_change_is_saved(block, task) ||
	       task->generation <= block->logged_generation;
}

bool fl_task_change_is_saved(const struct fl_task_block *block, const struct fl_task *task)
{
	return task->generation <= fl_block_part_of_task(block, task)->saved_generation;
}

void fl_task_mark_changed(struct fl_cluster *cluster, struct fl_job *job, uint32_t index)
{
	struct fl_task_block *block = job->blocks[index / FL_TASK_BLOCK_SIZE];

	block->tasks[index % FL_TASK_BLOCK_SIZE].generation = ++block->generation;
	fl_job_mark_dirty(cluster, job);
}

uint32_t fl_task_next_waiting(struct fl_job *job, uint32_t from, double now)
{
	uint32_t i =
		from > job->placement.waiting_scan_start ? from : job->placement.waiting_scan_start;
	bool at_scan_start = i == job->placement.waiting_scan_start;

	for (; i < job->task_count; i++) {
		const struct fl_task *task = fl_task_find(job, i);

		if (task && task->phase != FL_TASK_WAITING) {
			if (at_scan_start)
				job->placement.waiting_scan_start = i + 1;
			continue;
		}
		at_scan_start = false;
		if (!task || task->not_before <= now)
			return i;
	}
	return job->task_count;
}

/* Returns whether a task in this state is running on its machine, according to heartbeats. */
static bool state_is_running(enum fl_observed_state observed)
{
	return observed == FL_OBSERVED_RUNNING || observed == FL_OBSERVED_CHECKPOINTING;
}

/* Returns the counter of the job's placed tasks in this machine's zone. */
static uint32_t *zone_task_counter(struct fl_job *job, const struct fl_machine *machine)
{
	return machine->zone != FL_INDEX_NONE ? &job->placement.by_zone[machine->zone]
	                                      : &job->placement.in_unknown_zone;
}

/* Assigns a WAITING task to the machine and counts it as placed; the caller sets its fields. */
static enum fl_place_result assign_to_machine(struct fl_cluster *cluster, struct fl_job *job,
                                              const struct fl_task *task, uint32_t index,
                                              struct fl_machine *machine)
{
	struct fl_team *team = &cluster->teams.by_index[job->team];

	if (!task)
		return FL_PLACE_NO_MEMORY;
	if (task->phase != FL_TASK_WAITING)
		return FL_PLACE_NOT_WAITING;
	if (!fl_machine_add_assignment(machine, job, index))
		return FL_PLACE_NO_MEMORY;
	fl_resources_add(&machine->used, fl_job_task_resources(job));
	team->used_cpus += job->cpus;
	team->used_gpus += job->gpus;
	(*zone_task_counter(job, machine))++;
	job->counts.placed++;
	job->counts.waiting--;
	return FL_PLACE_OK;
}

/* Reverts assign_to_machine; the caller sets and counts the task's new phase. */
static void remove_from_machine(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                struct fl_task *task)
{
	struct fl_machine *machine = cluster->machines.by_id[task->machine_id];
	struct fl_team *team = &cluster->teams.by_index[job->team];

	fl_machine_remove_assignment(machine, job, index);
	fl_resources_subtract(&machine->used, fl_job_task_resources(job));
	/* Adding and subtracting fractions leaves a rounding error, which would accumulate. */
	if (machine->assignment_count == 0)
		machine->used = (struct fl_resources){0};
	team->used_cpus -= job->cpus;
	team->used_gpus -= job->gpus;
	(*zone_task_counter(job, machine))--;
	job->counts.placed--;
	if (state_is_running(task->last_observed_state))
		job->counts.running--;
	task->last_observed_state = FL_OBSERVED_NONE;
	task->start_sent = false;
	task->stop_reason = FL_STOP_NONE;
	task->machine_id = FL_INDEX_NONE;
	task->fencing_token = 0;
}

enum fl_place_result fl_task_place(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                   const struct fl_new_attempt *attempt, double now)
{
	struct fl_task *task = fl_task_get_or_alloc(job, index);
	enum fl_place_result result =
		assign_to_machine(cluster, job, task, index, attempt->machine);

	if (result != FL_PLACE_OK)
		return result;
	task->phase = FL_TASK_PLACED;
	task->attempt++;
	task->machine_id = attempt->machine->id;
	task->incarnation = attempt->machine->heartbeat.incarnation;
	task->fencing_token = attempt->fencing_token;
	task->last_observed_state = FL_OBSERVED_NONE;
	task->stop_reason = FL_STOP_NONE;
	task->running_since = now;
	task->placed_wall = fl_wall_time();
	fl_task_mark_changed(cluster, job, index);
	return FL_PLACE_OK;
}

enum fl_place_result fl_task_restore(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                                     const struct fl_recorded_attempt *recorded, double now)
{
	struct fl_task *task = fl_task_get_or_alloc(job, index);
	enum fl_place_result result =
		assign_to_machine(cluster, job, task, index, recorded->machine);

	if (result != FL_PLACE_OK)
		return result;
	task->phase = FL_TASK_PLACED;
	task->attempt = recorded->attempt;
	task->machine_id = recorded->machine->id;
	task->incarnation = recorded->incarnation;
	task->placed_wall = recorded->placed_wall;
	/* An earlier leader placed the task; stopping it loses the work since the placement. */
	task->running_since = fmin(now, fl_monotonic_from_wall(recorded->placed_wall));
	/*
	 * The image is on the machine, and stays there if the task is lost with its worker's
	 * incarnation. After an outage of all controllers, hundreds of tasks start again, which is
	 * fastest on the machines where they ran.
	 */
	fl_machine_record_image(recorded->machine, job->image);
	return FL_PLACE_OK;
}

void fl_task_release(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                     double not_before)
{
	struct fl_task *task = fl_task_find(job, index);

	if (!task || task->phase != FL_TASK_PLACED)
		return;
	remove_from_machine(cluster, job, index, task);
	task->phase = FL_TASK_WAITING;
	task->not_before = not_before;
	job->counts.waiting++;
	if (index < job->placement.waiting_scan_start)
		job->placement.waiting_scan_start = index;
	fl_task_mark_changed(cluster, job, index);
}

void fl_task_mark_done(struct fl_cluster *cluster, struct fl_job *job, uint32_t index)
{
	struct fl_task *task = fl_task_get_or_alloc(job, index);

	if (!task || task->phase == FL_TASK_DONE)
		return;
	if (task->phase == FL_TASK_PLACED)
		remove_from_machine(cluster, job, index, task);
	else
		job->counts.waiting--;
	task->phase = FL_TASK_DONE;
	job->counts.done++;
	fl_task_mark_changed(cluster, job, index);
}

void fl_task_set_observed_state(struct fl_job *job, struct fl_task *task,
                                enum fl_observed_state observed, double now)
{
	bool was_running = state_is_running(task->last_observed_state),
	     runs_now = state_is_running(observed);

	if (runs_now && !was_running) {
		job->counts.running++;
		/*
		 * A task that was restored from a record and is reported as running started some
		 * time after its placement, possibly long ago, so its placement time is kept. With
		 * `now` instead, every new leader would take old work for new and preempt tasks
		 * that are nearly done.
		 */
		if (task->fencing_token != 0 || task->last_observed_state != FL_OBSERVED_NONE)
			task->running_since = now;
	} else if (was_running && !runs_now) {
		job->counts.running--;
	}
	task->last_observed_state = observed;
	task->start_sent = false;
}
