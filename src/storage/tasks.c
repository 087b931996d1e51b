#include "storage/tasks.h"

#include <math.h>
#include <stdlib.h>

#include "storage/jobs.h"
#include "transport/clock.h"

struct fl_task *fl_task_peek(const struct fl_job *job, uint32_t index)
{
	struct fl_task_block *block = fl_job_task_block(job, index / FL_TASK_BLOCK_SIZE);

	return block ? &block->tasks[index % FL_TASK_BLOCK_SIZE] : NULL;
}

struct fl_task *fl_task_get(struct fl_job *job, uint32_t index)
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

bool fl_task_durable(const struct fl_job *job, uint32_t index)
{
	const struct fl_task_block *block = fl_job_task_block(job, index / FL_TASK_BLOCK_SIZE);

	return !block ||
	       block->tasks[index % FL_TASK_BLOCK_SIZE].generation <= block->saved_generation ||
	       block->tasks[index % FL_TASK_BLOCK_SIZE].generation <= block->logged_generation;
}

bool fl_task_saved(const struct fl_task_block *block, const struct fl_task *task)
{
	return task->generation <= block->saved_generation;
}

void fl_task_touch(struct fl_cluster *cluster, struct fl_job *job, uint32_t index)
{
	struct fl_task_block *block = job->blocks[index / FL_TASK_BLOCK_SIZE];

	block->tasks[index % FL_TASK_BLOCK_SIZE].generation = ++block->generation;
	fl_job_mark_dirty(cluster, job);
}

uint32_t fl_task_next_waiting(struct fl_job *job, uint32_t from, double now)
{
	uint32_t i = from > job->placement.scan_from ? from : job->placement.scan_from;
	bool lowest = i == job->placement.scan_from;

	for (; i < job->task_count; i++) {
		const struct fl_task *task = fl_task_peek(job, i);

		if (task && task->phase != FL_TASK_WAITING) {
			if (lowest)
				job->placement.scan_from = i + 1;
			continue;
		}
		lowest = false;
		if (!task || task->not_before <= now)
			return i;
	}
	return job->task_count;
}

static int assign(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                  struct fl_machine *machine)
{
	struct fl_team *team = &cluster->teams.by_index[job->team];

	if (fl_machine_add_assignment(machine, job, index) != 0)
		return -1;
	machine->used.cpus += job->cpus;
	machine->used.gpus += job->gpus;
	machine->used.ram_gb += job->ram_gb;
	team->used_cpus += job->cpus;
	team->used_gpus += job->gpus;
	if (machine->zone >= 0)
		job->placement.by_zone[machine->zone]++;
	else
		job->placement.in_unknown_zone++;
	job->counts.placed++;
	return 0;
}

static void unassign(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                     struct fl_task *task)
{
	struct fl_machine *machine = cluster->machines.by_id[task->machine];
	struct fl_team *team = &cluster->teams.by_index[job->team];

	fl_machine_remove_assignment(machine, job, index);
	machine->used.cpus -= job->cpus;
	machine->used.gpus -= job->gpus;
	machine->used.ram_gb -= job->ram_gb;
	if (machine->assignment_count == 0)
		machine->used.cpus = machine->used.gpus = machine->used.ram_gb = 0;
	team->used_cpus -= job->cpus;
	team->used_gpus -= job->gpus;
	if (machine->zone >= 0)
		job->placement.by_zone[machine->zone]--;
	else
		job->placement.in_unknown_zone--;
	job->counts.placed--;
	if (task->observed == FL_OBSERVED_RUNNING || task->observed == FL_OBSERVED_CHECKPOINTING)
		job->counts.running--;
	task->observed = FL_OBSERVED_NONE;
	task->start_sent = false;
	task->stop_reason = FL_STOP_NONE;
	task->machine = -1;
	task->fencing_token = 0;
}

int fl_task_place(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                  struct fl_machine *machine, uint64_t fencing_token, double now)
{
	struct fl_task *task = fl_task_get(job, index);

	if (!task || task->phase != FL_TASK_WAITING || assign(cluster, job, index, machine) != 0)
		return -1;
	task->phase = FL_TASK_PLACED;
	task->attempt++;
	task->machine = machine->id;
	task->incarnation = machine->heartbeat.incarnation;
	task->fencing_token = fencing_token;
	task->observed = FL_OBSERVED_NONE;
	task->stop_reason = FL_STOP_NONE;
	task->running_since = now;
	task->placed_wall = fl_wall();
	job->counts.waiting--;
	fl_task_touch(cluster, job, index);
	return 0;
}

int fl_task_restore(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                    uint32_t attempt, struct fl_machine *machine, uint64_t incarnation,
                    double placed, double now)
{
	struct fl_task *task = fl_task_get(job, index);

	if (!task || task->phase != FL_TASK_WAITING || assign(cluster, job, index, machine) != 0)
		return -1;
	task->phase = FL_TASK_PLACED;
	task->attempt = attempt;
	task->machine = machine->id;
	task->incarnation = incarnation;
	task->placed_wall = placed;
	/* Placed by an earlier leader: what it has run since would be lost by stopping it. */
	task->running_since = fmin(now, fl_since(placed));
	/*
	 * Its image is there, and stays when the task is lost with its worker's session: after an
	 * end of all controllers hundreds of tasks start again, and best where they ran.
	 */
	fl_machine_record_image(machine, job->image);
	job->counts.waiting--;
	return 0;
}

void fl_task_release(struct fl_cluster *cluster, struct fl_job *job, uint32_t index,
                     double not_before)
{
	struct fl_task *task = fl_task_peek(job, index);

	if (!task || task->phase != FL_TASK_PLACED)
		return;
	unassign(cluster, job, index, task);
	task->phase = FL_TASK_WAITING;
	task->not_before = not_before;
	job->counts.waiting++;
	if (index < job->placement.scan_from)
		job->placement.scan_from = index;
	fl_task_touch(cluster, job, index);
}

void fl_task_done(struct fl_cluster *cluster, struct fl_job *job, uint32_t index)
{
	struct fl_task *task = fl_task_get(job, index);

	if (!task || task->phase == FL_TASK_DONE)
		return;
	if (task->phase == FL_TASK_PLACED)
		unassign(cluster, job, index, task);
	else
		job->counts.waiting--;
	task->phase = FL_TASK_DONE;
	job->counts.done++;
	fl_task_touch(cluster, job, index);
}

void fl_task_observe(struct fl_job *job, struct fl_task *task, enum fl_observed_state observed,
                     double now)
{
	bool was = task->observed == FL_OBSERVED_RUNNING ||
	           task->observed == FL_OBSERVED_CHECKPOINTING;
	bool is = observed == FL_OBSERVED_RUNNING || observed == FL_OBSERVED_CHECKPOINTING;

	if (is && !was) {
		job->counts.running++;
		/*
		 * Read from a record and found running: it began long ago, at some time after its
		 * placement. Counted from now, every new leader would take old work for fresh, and
		 * stop what is nearly done to make room.
		 */
		if (task->fencing_token != 0 || task->observed != FL_OBSERVED_NONE)
			task->running_since = now;
	} else if (was && !is) {
		job->counts.running--;
	}
	task->observed = observed;
	task->start_sent = false;
}
