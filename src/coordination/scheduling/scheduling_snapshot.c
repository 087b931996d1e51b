#include "coordination/scheduling/scheduling_snapshot.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/autoscaling/autoscaler.h"
#include "coordination/node.h"
#include "coordination/scheduling/job_guarantees.h"
#include "coordination/workers/reachability.h"
#include "transport/clock.h"

static const struct {
	int min_considered_tasks, considered_tasks_per_machine, max_heartbeat_intervals;
	double reservation_s, overdue_remaining_s;
} tunables = {
	.min_considered_tasks = 256, /* tasks of one job in one cycle, at any number of machines */
	.considered_tasks_per_machine = 2, /* on larger sites, per machine that is up */
	.max_heartbeat_intervals = 3,      /* silence after which a machine gets no new tasks */
	.reservation_s = 3.0, /* time for which resources freed by a preemption stay reserved */
	.overdue_remaining_s = 1.0, /* of a task past its estimate: it may end by the next cycle */
};

/* A snapshot that is being built. */
struct builder {
	const struct fl_node *node;
	struct fl_snapshot *snapshot;
	double now, now_wall;
	uint32_t max_considered_tasks; /* tasks of one job */
};

/*
 * Returns how many tasks of one job a cycle considers. The limit grows with the number of machines,
 * so that the site may double with each boot time: with a limit of 256 tasks, an array of 9,000
 * tasks on a site for 4,000 machines would have added only 128 machines per boot time.
 */
static uint32_t max_tasks_considered(const struct fl_machines *machines)
{
	int count = 0;

	for (int i = 0; i < machines->count; i++) {
		const struct fl_machine_lifecycle *lifecycle = &machines->by_id[i]->lifecycle;

		if (lifecycle->up && !lifecycle->decommissioned)
			count += tunables.considered_tasks_per_machine;
	}
	return (uint32_t)(count > tunables.min_considered_tasks ? count
	                                                        : tunables.min_considered_tasks);
}

/* Returns how many waiting tasks of the job may start now; for a gang all of them or 0. */
static uint32_t count_startable_tasks(struct fl_job *job, uint32_t max_considered_tasks, double now)
{
	bool gang = job->kind == FL_GANG;
	uint32_t max_count = gang ? job->task_count : max_considered_tasks;
	uint32_t index = 0, count = 0;

	if (job->retry.not_before > now)
		return 0;
	/* A gang starts only as a whole: all tasks not done, while none of them is placed. */
	if (gang && job->counts.placed > 0)
		return 0;
	while (count < max_count) {
		index = fl_task_next_waiting(job, index, now);
		if (index >= job->task_count)
			break;
		count++;
		index++;
	}
	return gang && count < job->counts.waiting ? 0 : count;
}

/*
 * Returns whether the job is a background job. Urgent jobs and services never are: only their
 * priority counts.
 */
static bool is_background_job(const struct fl_node *node, const struct fl_job *job)
{
	return node->slo_class_count > 0 && job->job_class >= node->slo_class_count &&
	       job->kind == FL_ARRAY && job->priority < FL_URGENT;
}

/* Returns the rest of the job's backfill window; < 0: no window. */
static double backfill_window_remaining_s(const struct fl_job *job, double now)
{
	return job->placement.backfill_window_until > 0
	               ? fmax(0, job->placement.backfill_window_until - now)
	               : -1;
}

/* Adds the job if any of its tasks may start now. */
static void add_job(const struct builder *builder, struct fl_job *job)
{
	struct fl_snapshot *snapshot = builder->snapshot;
	struct fl_sched_job *target = &snapshot->input.jobs[snapshot->input.job_count];

	memset(target, 0, sizeof(*target));
	target->startable_count =
		count_startable_tasks(job, builder->max_considered_tasks, builder->now);
	if (target->startable_count == 0)
		return;
	target->priority = job->priority;
	target->service = job->kind == FL_SERVICE;
	target->gang = job->kind == FL_GANG;
	target->team = job->team;
	target->waited_s = builder->now_wall - job->submitted_wall;
	target->estimate_s = job->expected_s;
	target->need = fl_job_task_resources(job);
	target->image_gb = job->image_gb;
	target->task_count = job->task_count;
	target->allowed_types = job->allowed_type_mask;
	target->zone = job->zone;
	target->same_zone = job->same_zone;
	target->spread_zones = job->spread_zones;
	target->spot_allowed = job->spot_allowed;
	memcpy(target->placed_by_zone, job->placement.by_zone, sizeof(target->placed_by_zone));
	target->placed_in_unknown_zone = job->placement.in_unknown_zone;
	target->image = job->image;
	target->within_guaranteed_quota = job->within_guaranteed_quota;
	target->holds_guarantee = job->holds_guarantee;
	target->background = is_background_job(builder->node, job);
	target->begun = job->counts.placed > 0 || job->counts.done > 0;
	target->window_remaining_s = backfill_window_remaining_s(job, builder->now);
	target->held_s =
		job->placement.held_since > 0 ? builder->now - job->placement.held_since : 0;
	snapshot->jobs[snapshot->input.job_count++] = job;
}

/* Returns whether tasks of the job may be placed; an unresolved write may cancel the job. */
static bool may_start_tasks(const struct fl_job *job)
{
	return !job->cancelled && job->record.unresolved_writes == 0 && job->counts.waiting > 0;
}

/* Returns whether new tasks may be placed on the machine. */
static bool is_schedulable(const struct fl_node *node, const struct fl_machine *machine, double now)
{
	const struct fl_machine_lifecycle *lifecycle;
	double unreachable_s;

	if (!machine || !machine->described)
		return false;
	lifecycle = &machine->lifecycle;
	if (!lifecycle->up || lifecycle->draining || lifecycle->decommissioned)
		return false;
	if (lifecycle->interruption_at != 0 || machine->health.quarantined_until > now)
		return false;
	if (machine->heartbeat.orphan_task_count != 0 || fl_machine_free_task_slots(machine) <= 0)
		return false;
	unreachable_s = now - machine->outbound.last_reachable_at;
	return unreachable_s < tunables.max_heartbeat_intervals * node->config->report_s &&
	       !fl_reachability_is_suspect(machine);
}

/* Returns the seconds that the task will still run by its job's estimate. */
static double task_remaining_s(const struct fl_job *job, const struct fl_task *task, double now)
{
	double estimate_s =
		job->expected_s > 0 ? job->expected_s : fl_sched_default_params.default_estimate_s;

	if (job->kind == FL_SERVICE)
		return INFINITY;
	if (task->last_observed_state == FL_OBSERVED_RUNNING ||
	    task->last_observed_state == FL_OBSERVED_CHECKPOINTING)
		estimate_s -= now - task->running_since;
	/* A task past its estimate counts as ending by the next cycle. */
	return fmax(estimate_s, tunables.overdue_remaining_s);
}

/* Returns the seconds of work that a stop of the task would lose. */
static double task_stop_loss_s(const struct fl_job *job, const struct fl_task *task, double now)
{
	double since_start_s =
		task->last_observed_state == FL_OBSERVED_RUNNING ? now - task->running_since : 0;

	return job->checkpoint_every_s > 0 ? fmin(since_start_s, job->checkpoint_cost_s)
	                                   : since_start_s;
}

static void add_attempt(const struct builder *builder, int machine_index,
                        const struct fl_assignment *assignment)
{
	struct fl_sched_input *input = &builder->snapshot->input;
	struct fl_sched_attempt *target = &input->attempts[input->attempt_count];
	const struct fl_job *job = assignment->job;
	const struct fl_task *task = fl_task_find(job, assignment->task_index);
	double waited_s = builder->now_wall - job->submitted_wall;

	memset(target, 0, sizeof(*target));
	target->machine = machine_index;
	target->team = job->team;
	target->priority = job->priority;
	target->service = job->kind == FL_SERVICE;
	target->stopping = job->cancelled || task->stop_reason != FL_STOP_NONE;
	target->preemptible = !target->stopping;
	target->holds_guarantee = job->holds_guarantee;
	target->used = fl_job_task_resources(job);
	target->estimated_remaining_s = task_remaining_s(job, task, builder->now);
	target->stop_loss_s = task_stop_loss_s(job, task, builder->now);
	target->last_running_task = job->kind != FL_SERVICE && job->counts.placed == 1 &&
	                            waited_s > input->params->overdue_after_s;
	builder->snapshot->attempts[input->attempt_count++] = *assignment;
}

/*
 * Returns the machine's reservation if it has not expired. A heartbeat proves a victim gone only
 * some cycles after the stop, and in between the preempting job may request resources elsewhere, at
 * a lower cost. Without the reservation, the freed resources went to the preempted job, which was
 * preempted again, every second for minutes.
 */
static struct fl_reservation active_reservation(const struct fl_machine *machine, double now)
{
	if (machine->reservation.reserved_at <= 0 ||
	    now > machine->reservation.reserved_at + tunables.reservation_s)
		return (struct fl_reservation){0};
	return (struct fl_reservation){.active = true,
	                               .by_guarantee = machine->reservation.by_guarantee,
	                               .priority = machine->reservation.priority,
	                               .resources = {machine->reservation.cpus,
	                                             machine->reservation.gpus,
	                                             machine->reservation.ram_gb}};
}

static void add_machine(const struct builder *builder, struct fl_machine *machine)
{
	const struct fl_machine_type *type = &builder->node->cluster.machines.types[machine->type];
	struct fl_snapshot *snapshot = builder->snapshot;
	int machine_index = snapshot->input.machine_count++;
	struct fl_sched_machine *target = &snapshot->input.machines[machine_index];

	*target = (struct fl_sched_machine){.type = machine->type,
	                                    .zone = machine->zone,
	                                    .spot = machine->spot,
	                                    .reserved = active_reservation(machine, builder->now),
	                                    .free = fl_machine_type_capacity(type),
	                                    .pull_gb_per_s = type->pull_gb_per_s,
	                                    .cached_images = machine->cached_images};
	fl_resources_subtract(&target->free, machine->used);
	for (int k = 0; k < machine->assignment_count; k++) {
		add_attempt(builder, machine_index, &machine->assignments[k]);
		if (machine->assignments[k].job->kind == FL_SERVICE)
			target->runs_service = true;
	}
	snapshot->machines[machine_index] = machine;
}

static bool allocate_snapshot(struct fl_snapshot *snapshot, const struct fl_cluster *cluster)
{
	size_t job_count = HASH_COUNT(cluster->jobs) + 1;
	size_t machine_count = (size_t)cluster->machines.count + 1;
	size_t attempt_count = 1;

	for (int i = 0; i < cluster->machines.count; i++)
		attempt_count += (size_t)cluster->machines.by_id[i]->assignment_count;
	snapshot->jobs = malloc(job_count * sizeof(*snapshot->jobs));
	snapshot->machines = malloc(machine_count * sizeof(*snapshot->machines));
	snapshot->attempts = malloc(attempt_count * sizeof(*snapshot->attempts));
	snapshot->input.jobs = malloc(job_count * sizeof(*snapshot->input.jobs));
	snapshot->input.machines = malloc(machine_count * sizeof(*snapshot->input.machines));
	snapshot->input.attempts = malloc(attempt_count * sizeof(*snapshot->input.attempts));
	snapshot->input.teams = malloc(sizeof(cluster->teams.by_index));
	return snapshot->jobs && snapshot->machines && snapshot->attempts && snapshot->input.jobs &&
	       snapshot->input.machines && snapshot->input.attempts && snapshot->input.teams;
}

enum fl_schedule_result fl_snapshot_take(struct fl_node *node, struct fl_snapshot *snapshot,
                                         double now)
{
	struct fl_cluster *cluster = &node->cluster;
	struct builder builder = {node, snapshot, now, fl_wall_time(),
	                          max_tasks_considered(&cluster->machines)};
	struct fl_job *job, *next;

	memset(snapshot, 0, sizeof(*snapshot));
	if (!allocate_snapshot(snapshot, cluster))
		return FL_SCHEDULE_OUT_OF_MEMORY;
	snapshot->input.params = &fl_sched_default_params;
	memcpy(snapshot->input.teams, cluster->teams.by_index, sizeof(cluster->teams.by_index));
	fl_job_guarantees_mark(cluster, snapshot->jobs);
	HASH_ITER (hh, cluster->jobs, job, next)
		if (may_start_tasks(job))
			add_job(&builder, job);
	for (int i = 0; i < cluster->machines.count; i++)
		if (is_schedulable(node, cluster->machines.by_id[i], now))
			add_machine(&builder, cluster->machines.by_id[i]);
	snapshot->input.spot_loss_rate = fl_autoscaler_spot_loss_rate(&node->autoscaler);
	snapshot->input.resume_position = node->leadership.order_resume_position;
	return FL_SCHEDULE_OK;
}

void fl_snapshot_free(struct fl_snapshot *snapshot)
{
	free(snapshot->jobs);
	free(snapshot->machines);
	free(snapshot->attempts);
	free(snapshot->input.jobs);
	free(snapshot->input.machines);
	free(snapshot->input.attempts);
	free(snapshot->input.teams);
}
