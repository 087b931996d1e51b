#include "coordination/scheduling/scheduling_snapshot.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/workers/reachability.h"
#include "transport/clock.h"

static const struct {
	int waiting_most, waiting_a_machine;
	double fresh_reports, reservation_s, overdue_left_s;
} tunables = {
	.waiting_most = 256,    /* tasks of one job considered in one pass, on any site */
	.waiting_a_machine = 2, /* the same for each machine that is up, on large ones */
	.fresh_reports = 3,     /* report intervals after which a silent machine gets no new task */
	.reservation_s = 3.0,   /* s for which room is reserved for whom a task was stopped there */
	.overdue_left_s = 1.0, /* s left of a task past its estimate: until the next pass at most */
};

/*
 * How many tasks of one job a pass considers. Found on a day of our own with 4,000 machines: of one
 * array of 9,000 tasks 256 were considered, machines were rented for no more, and the site would
 * have grown by 128 machines a boot. So it may double with each.
 */
static uint32_t max_tasks_considered(const struct fl_machines *machines)
{
	int most = 0;

	for (int i = 0; i < machines->count; i++)
		most += machines->by_id[i]->lifecycle.up &&
		                        !machines->by_id[i]->lifecycle.decommissioned
		                ? tunables.waiting_a_machine
		                : 0;
	return (uint32_t)(most > tunables.waiting_most ? most : tunables.waiting_most);
}

static uint32_t count_startable(struct fl_job *job, uint32_t considered, double now)
{
	uint32_t most = job->kind == FL_GANG ? job->task_count : considered;
	uint32_t at = 0, count = 0;

	if (job->retry.not_before > now)
		return 0;
	/* A gang starts only whole: all that is not done, and none of it anywhere yet. */
	if (job->kind == FL_GANG && job->counts.placed > 0)
		return 0;
	while (count < most && (at = fl_task_next_waiting(job, at, now)) < job->task_count) {
		count++;
		at++;
	}
	return job->kind == FL_GANG && count < job->counts.waiting ? 0 : count;
}

/* Urgent work and services count by their priority alone. */
static bool is_background(const struct fl_node *node, const struct fl_job *job)
{
	return node->slo_class_count > 0 && job->job_class >= node->slo_class_count &&
	       job->kind == FL_ARRAY && job->priority < FL_URGENT;
}

static void add_job(const struct fl_node *node, struct fl_snapshot *snapshot, struct fl_job *job,
                    uint32_t considered, double now, double wall)
{
	struct fl_sched_job *target = &snapshot->input.jobs[snapshot->input.job_count];

	memset(target, 0, sizeof(*target));
	target->startable_count = count_startable(job, considered, now);
	if (target->startable_count == 0)
		return;
	target->priority = job->priority;
	target->service = job->kind == FL_SERVICE;
	target->gang = job->kind == FL_GANG;
	target->team = job->team;
	target->waited_s = wall - job->submitted_wall;
	target->estimate_s = job->expected_s;
	target->need.cpus = job->cpus;
	target->need.gpus = job->gpus;
	target->need.ram_gb = job->ram_gb;
	target->image_gb = job->image_gb;
	target->task_count = job->task_count;
	target->allowed_types = job->types;
	target->zone = job->zone;
	target->same_zone = job->same_zone;
	target->spread_zones = job->spread_zones;
	target->spot_allowed = job->spot_allowed;
	memcpy(target->placed_by_zone, job->placement.by_zone, sizeof(target->placed_by_zone));
	target->placed_in_unknown_zone = job->placement.in_unknown_zone;
	target->image = job->image;
	target->within_guaranteed = job->within_guaranteed;
	target->background = is_background(node, job);
	target->begun = job->counts.placed > 0 || job->counts.done > 0;
	target->window_left_s =
		job->placement.window_until > 0 ? fmax(0, job->placement.window_until - now) : -1;
	snapshot->jobs[snapshot->input.job_count++] = job;
}

static bool is_schedulable(const struct fl_node *node, const struct fl_machine *machine, double now)
{
	return machine && machine->lifecycle.up && machine->described &&
	       !machine->lifecycle.draining && !machine->lifecycle.decommissioned &&
	       machine->heartbeat.orphan_task_count == 0 &&
	       machine->lifecycle.interruption_at == 0 &&
	       machine->health.quarantined_until <= now &&
	       now - machine->outbound.last_reachable_at <
	               tunables.fresh_reports * node->config->report_s &&
	       !fl_reachability_is_suspect(machine);
}

static double estimated_left(const struct fl_job *job, const struct fl_task *task, double now)
{
	double estimate_s =
		job->expected_s > 0 ? job->expected_s : fl_sched_defaults.default_estimate_s;

	if (job->kind == FL_SERVICE)
		return INFINITY;
	if (task->observed == FL_OBSERVED_RUNNING || task->observed == FL_OBSERVED_CHECKPOINTING)
		estimate_s -= now - task->running_since;
	/* Past its estimate: it counts as ending by the next pass. */
	return fmax(estimate_s, tunables.overdue_left_s);
}

static void add_attempt(struct fl_snapshot *snapshot, int machine_index,
                        const struct fl_assignment *slot, double now, double wall)
{
	struct fl_sched_attempt *target = &snapshot->input.attempts[snapshot->input.attempt_count];
	struct fl_job *job = slot->job;
	const struct fl_task *task = fl_task_peek(job, slot->index);

	memset(target, 0, sizeof(*target));
	target->machine = machine_index;
	target->team = job->team;
	target->priority = job->priority;
	target->service = job->kind == FL_SERVICE;
	target->stopping = job->cancelled || task->stop_reason != FL_STOP_NONE;
	target->preemptible = !target->stopping;
	target->within_guaranteed = job->within_guaranteed;
	target->used.cpus = job->cpus;
	target->used.gpus = job->gpus;
	target->used.ram_gb = job->ram_gb;
	target->left_s = estimated_left(job, task, now);
	target->lost_s = task->observed == FL_OBSERVED_RUNNING ? now - task->running_since : 0;
	if (job->checkpoint_every_s > 0)
		target->lost_s = fmin(target->lost_s, job->checkpoint_cost_s);
	target->last_running_task =
		job->kind != FL_SERVICE && job->counts.placed == 1 &&
		wall - job->submitted_wall > snapshot->input.params->overdue_after_s;
	snapshot->attempts[snapshot->input.attempt_count++] = *slot;
}

static int compare_submissions(const void *pa, const void *pb)
{
	const struct fl_job *a = *(struct fl_job *const *)pa, *b = *(struct fl_job *const *)pb;

	if (a->submitted_wall != b->submitted_wall)
		return a->submitted_wall < b->submitted_wall ? -1 : 1;
	return strcmp(a->ref, b->ref);
}

/* Which jobs fit their team's guarantee together with the team's earlier ones not yet over. */
static void mark_within_guarantee(struct fl_cluster *cluster, struct fl_job **scratch)
{
	double cpus[FL_TEAMS_MAX] = {0}, gpus[FL_TEAMS_MAX] = {0};
	struct fl_job *job, *tmp;
	size_t count = 0;

	HASH_ITER (hh, cluster->jobs, job, tmp)
		if (!job->cancelled)
			scratch[count++] = job;
	qsort(scratch, count, sizeof(*scratch), compare_submissions);
	for (size_t i = 0; i < count; i++) {
		job = scratch[i];
		cpus[job->team] += job->cpus * job->task_count;
		gpus[job->team] += job->gpus * job->task_count;
		job->within_guaranteed = fl_team_within_guaranteed(
			&cluster->teams.by_index[job->team], cpus[job->team], gpus[job->team]);
	}
}

/*
 * A stopped task is gone when its machine says so, some passes later, and until then the job may
 * request room elsewhere, where something looks better meanwhile. Found in the simulated fault
 * combinations: the room then went to what had been stopped, which was stopped again, every second
 * for minutes.
 */
static struct fl_reservation active_reservation(const struct fl_machine *machine, double now)
{
	if (machine->reservation.at <= 0 || now > machine->reservation.at + tunables.reservation_s)
		return (struct fl_reservation){0};
	return (struct fl_reservation){.active = true,
	                               .within_guaranteed = machine->reservation.within_guaranteed,
	                               .priority = machine->reservation.priority,
	                               .resources.cpus = machine->reservation.cpus,
	                               .resources.gpus = machine->reservation.gpus,
	                               .resources.ram_gb = machine->reservation.ram_gb};
}

static void add_machine(struct fl_node *node, struct fl_snapshot *snapshot,
                        struct fl_machine *machine, double now, double wall)
{
	const struct fl_machine_type *type = &node->cluster.machines.types[machine->type];
	int machine_index = snapshot->input.machine_count++;
	struct fl_sched_machine *target = &snapshot->input.machines[machine_index];

	*target = (struct fl_sched_machine){.type = machine->type,
	                                    .zone = machine->zone,
	                                    .spot = machine->spot,
	                                    .reserved = active_reservation(machine, now),
	                                    .free.cpus = type->cpus - machine->used.cpus,
	                                    .free.gpus = type->gpus - machine->used.gpus,
	                                    .free.ram_gb = type->ram_gb - machine->used.ram_gb,
	                                    .pull_gb_s = type->pull_gb_s,
	                                    .cached_images = machine->cached_images};
	for (int k = 0; k < machine->assignment_count; k++) {
		add_attempt(snapshot, machine_index, &machine->assignments[k], now, wall);
		target->runs_service =
			target->runs_service || machine->assignments[k].job->kind == FL_SERVICE;
	}
	snapshot->machines[machine_index] = machine;
}

static bool allocate(struct fl_snapshot *snapshot, const struct fl_cluster *cluster)
{
	size_t n_jobs = HASH_COUNT(cluster->jobs) + 1;
	size_t n_machines = (size_t)cluster->machines.count + 1, n_runs = 1;

	for (int i = 0; i < cluster->machines.count; i++)
		n_runs += (size_t)cluster->machines.by_id[i]->assignment_count;
	snapshot->jobs = malloc(n_jobs * sizeof(*snapshot->jobs));
	snapshot->machines = malloc(n_machines * sizeof(*snapshot->machines));
	snapshot->attempts = malloc(n_runs * sizeof(*snapshot->attempts));
	snapshot->input.jobs = malloc(n_jobs * sizeof(*snapshot->input.jobs));
	snapshot->input.machines = malloc(n_machines * sizeof(*snapshot->input.machines));
	snapshot->input.attempts = malloc(n_runs * sizeof(*snapshot->input.attempts));
	snapshot->input.teams = malloc(sizeof(cluster->teams.by_index));
	return snapshot->jobs && snapshot->machines && snapshot->attempts && snapshot->input.jobs &&
	       snapshot->input.machines && snapshot->input.attempts && snapshot->input.teams;
}

enum fl_schedule_result fl_snapshot_take(struct fl_node *node, struct fl_snapshot *snapshot,
                                         double now)
{
	struct fl_cluster *cluster = &node->cluster;
	uint32_t considered = max_tasks_considered(&cluster->machines);
	double wall = fl_wall();
	struct fl_job *job, *tmp;

	memset(snapshot, 0, sizeof(*snapshot));
	if (!allocate(snapshot, cluster))
		return FL_SCHEDULE_OUT_OF_MEMORY;
	snapshot->input.params = &fl_sched_defaults;
	memcpy(snapshot->input.teams, cluster->teams.by_index, sizeof(cluster->teams.by_index));
	mark_within_guarantee(cluster, snapshot->jobs);
	HASH_ITER (hh, cluster->jobs, job, tmp)
		if (!job->cancelled && job->counts.waiting > 0)
			add_job(node, snapshot, job, considered, now, wall);
	for (int i = 0; i < cluster->machines.count; i++)
		if (is_schedulable(node, cluster->machines.by_id[i], now))
			add_machine(node, snapshot, cluster->machines.by_id[i], now, wall);
	snapshot->input.spot_loss_rate = fl_autoscaler_spot_loss_rate(node);
	snapshot->input.resume_position = node->leadership.resume_position;
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
