/*
 * Plans rentals (fl_autoscaler_plan_scale_out in autoscaler.h): places the tasks for which no
 * machine had capacity on machines that are booting or could be rented.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/autoscaling/headroom.h"
#include "coordination/autoscaling/planned_machines.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double max_boot_times, ending_soon_boot_times;
} tunables = {
	.max_boot_times = 1.6, /* boot times after which a booting machine is no longer expected */
	.ending_soon_boot_times = 0.7, /* an array task that ends this soon saves a rental */
};

static bool can_take_task(const struct fl_planned_machine *machine,
                          const struct fl_planned_job *planned)
{
	return fl_autoscaler_job_allows_kind(planned->job, machine->kind) &&
	       fl_resources_fit(fl_job_task_resources(planned->job), machine->free) &&
	       fl_autoscaler_job_allows_zone(planned, machine->kind.zone);
}

/*
 * Places a task on a planned machine, adding a rental if necessary; returns false if no machine can
 * take it. `next_machine` is the first machine that may still take a task of this job: all tasks of
 * a job are alike, and both capacity and the allowed zones only shrink, so a skipped machine need
 * not be examined again.
 */
static bool place_task(struct fl_autoscaler_plan *plan, struct fl_planned_job *planned,
                       int *next_machine)
{
	struct fl_planned_machine *chosen;

	while (*next_machine < plan->planned_machine_count &&
	       !can_take_task(&plan->machines[*next_machine], planned)) {
		plan->autoscaler->machines_examined++;
		++*next_machine;
	}
	plan->autoscaler->machines_examined++;
	chosen = *next_machine < plan->planned_machine_count
	                 ? &plan->machines[*next_machine]
	                 : fl_autoscaler_add_cheapest_rental(plan, planned, FL_ANY_ZONE);
	if (!chosen)
		return false;
	fl_resources_subtract(&chosen->free, fl_job_task_resources(planned->job));
	planned->placed_by_zone[chosen->kind.zone]++;
	return true;
}

/*
 * Returns how many of `count` tasks that need `need` each fit into the rest of a quota; if `max` is
 * 0 there is no quota.
 */
static double tasks_within_quota(double max, double used, double need, double count)
{
	if (max <= 0 || need <= 0)
		return count;
	return fmin(count, floor((max - used) / need + FL_RESOURCES_EPSILON));
}

/* Returns how many of `count` tasks the team's maximum quota allows; the others need no machine. */
static uint32_t limit_by_team(const struct fl_teams *teams, const struct fl_job *job,
                              uint32_t count)
{
	const struct fl_team *team = &teams->by_index[job->team];
	double allowed = count;

	allowed = tasks_within_quota(team->max_gpus, team->used_gpus, job->gpus, allowed);
	allowed = tasks_within_quota(team->max_cpus, team->used_cpus, job->cpus, allowed);
	return allowed > 0 ? (uint32_t)allowed : 0;
}

static void plan_job(struct fl_autoscaler_plan *plan, const struct fl_job *job, uint32_t count)
{
	struct fl_planned_job planned = {.job = job};
	int next_machine = 0;

	memcpy(planned.placed_by_zone, job->placement.by_zone, sizeof(planned.placed_by_zone));
	count = limit_by_team(&plan->cluster->teams, job, count);
	while (count > 0 && job->kind == FL_ARRAY && plan->tasks_ending_soon >= 1) {
		plan->tasks_ending_soon -= 1;
		count--;
	}
	while (count > 0 && place_task(plan, &planned, &next_machine))
		count--;
}

/* Returns whether the machine is still booting, neither overdue nor draining, without tasks. */
static bool is_booting(const struct fl_autoscaler_plan *plan, const struct fl_machine *machine,
                       double boot_s)
{
	const struct fl_machine_lifecycle *lifecycle = &machine->lifecycle;

	if (lifecycle->up || lifecycle->draining || machine->assignment_count > 0)
		return false;
	/* Some machines boot for minutes and a few never finish: no task may wait for these. */
	return plan->now - lifecycle->first_seen_at < tunables.max_boot_times * boot_s;
}

/* Counts the array tasks that end on the machine before a rented machine could boot. */
static int count_ending_soon(const struct fl_autoscaler_plan *plan,
                             const struct fl_machine *machine, double boot_s)
{
	int count = 0;

	for (int k = 0; machine->lifecycle.up && k < machine->assignment_count; k++) {
		const struct fl_job *job = machine->assignments[k].job;
		const struct fl_task *task = fl_task_find(job, machine->assignments[k].task_index);

		if (job->kind == FL_ARRAY && task->last_observed_state == FL_OBSERVED_RUNNING &&
		    job->expected_s - (plan->now - task->running_since) <
		            tunables.ending_soon_boot_times * boot_s)
			count++;
	}
	return count;
}

/* Adds the booting machines, and counts the tasks that end soon on machines that are up. */
static void add_existing_machines(struct fl_autoscaler_plan *plan)
{
	const struct fl_machines *machines = &plan->cluster->machines;

	for (int i = 0; i < machines->count; i++) {
		const struct fl_machine *machine = machines->by_id[i];
		struct fl_machine_kind kind = {machine->type, machine->zone, machine->spot};
		double boot_s;

		if (machine->lifecycle.decommissioned || !machine->described)
			continue;
		boot_s = machines->types[machine->type].boot_time_s;
		plan->machines_by_zone[machine->zone]++;
		if (is_booting(plan, machine, boot_s))
			fl_autoscaler_add_planned_machine(plan, kind, FL_PLANNED_BOOTING);
		plan->tasks_ending_soon += count_ending_soon(plan, machine, boot_s);
	}
}

static bool same_kind(struct fl_machine_kind left, struct fl_machine_kind right)
{
	return left.type == right.type && left.zone == right.zone && left.spot == right.spot;
}

/*
 * Returns a request for this kind with room for one more machine, adding one if necessary; NULL if
 * the plan has too many requests.
 */
static struct fl_scale_out_request *find_or_add_request(struct fl_autoscaler *autoscaler,
                                                        struct fl_machine_kind kind)
{
	struct fl_scale_out_request *request;

	for (int i = 0; i < autoscaler->request_count; i++) {
		request = &autoscaler->requests[i];
		if (same_kind(request->kind, kind) && request->count < FL_CLOUD_RENT_MACHINES_MAX)
			return request;
	}
	if (autoscaler->request_count == FL_SCALE_OUT_REQUESTS_MAX)
		return NULL;
	request = &autoscaler->requests[autoscaler->request_count++];
	*request = (struct fl_scale_out_request){.kind = kind};
	return request;
}

/* Groups the planned rentals by kind into requests. */
static void store_requests(struct fl_autoscaler *autoscaler, const struct fl_autoscaler_plan *plan)
{
	autoscaler->request_count = 0;
	for (int i = 0; i < plan->planned_machine_count; i++) {
		struct fl_scale_out_request *request;

		if (plan->machines[i].origin != FL_PLANNED_RENTAL)
			continue;
		request = find_or_add_request(autoscaler, plan->machines[i].kind);
		if (!request) {
			fl_debug("cloud",
			         "rentals postponed to the next plan; too many requests limit=%d",
			         FL_SCALE_OUT_REQUESTS_MAX);
			break;
		}
		request->count++;
	}
}

void fl_autoscaler_plan_scale_out(struct fl_node *node, struct fl_job **jobs,
                                  const uint32_t *unplaced_tasks, int count)
{
	struct fl_autoscaler_plan plan = {.autoscaler = &node->autoscaler,
	                                  .cluster = &node->cluster,
	                                  .now = fl_now(),
	                                  .now_wall = fl_wall_time()};

	if (node->autoscaler.scale_out_in_flight)
		return;
	node->autoscaler.machines_examined = 0;
	plan.planned_machine_capacity = node->cluster.machines.count + FL_PLANNED_RENTALS_MAX + 1;
	plan.machines = malloc((size_t)plan.planned_machine_capacity * sizeof(*plan.machines));
	if (!plan.machines)
		return;
	add_existing_machines(&plan);
	for (int priority = FL_CRITICAL; priority >= FL_BEST_EFFORT; priority--)
		for (int i = 0; i < count; i++)
			if ((int)jobs[i]->priority == priority && unplaced_tasks[i] > 0)
				plan_job(&plan, jobs[i], unplaced_tasks[i]);
	fl_autoscaler_plan_headroom(&plan);
	store_requests(&node->autoscaler, &plan);
	free(plan.machines);
}
