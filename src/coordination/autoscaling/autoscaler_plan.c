/* The plan of rentals: the tasks without room are placed on machines that boot or could be rented.
 */
#include "coordination/autoscaling/autoscaler_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double boot_late, soon_boots, epsilon;
} tunables = {
	.boot_late = 1.6,  /* boot times after which a booting machine is not counted on */
	.soon_boots = 0.7, /* boot times within which an ending task's room is waited for */
	.epsilon = 1e-6,   /* amounts are sums of decimal fractions */
};

static bool can_take_task(const struct fl_planned_machine *machine, const struct fl_job *job,
                          const uint32_t *placed)
{
	return fl_autoscaler_job_allows(job, machine->type, machine->zone, machine->spot) &&
	       fl_autoscaler_task_fits(job, machine->cpus, machine->gpus, machine->ram_gb) &&
	       fl_autoscaler_zone_allows(job, placed, machine->zone);
}

/*
 * Places a task on a planned machine, a further rental if need be; false if there is none. `next`
 * is the first machine that may still take a task of this job: its tasks are all alike, room only
 * gets less and zones only close, so one that was passed over need not be looked at again.
 */
static bool place_task(struct fl_autoscaler_plan *plan, const struct fl_job *job, uint32_t *placed,
                       int *next)
{
	struct fl_planned_machine *chosen;

	while (*next < plan->count && !can_take_task(&plan->machines[*next], job, placed)) {
		plan->node->autoscaler.machines_examined++;
		++*next;
	}
	plan->node->autoscaler.machines_examined++;
	chosen = *next < plan->count ? &plan->machines[*next]
	                             : fl_autoscaler_plan_machine(plan, job, placed, -1);
	if (!chosen)
		return false;
	chosen->cpus -= job->cpus;
	chosen->gpus -= job->gpus;
	chosen->ram_gb -= job->ram_gb;
	placed[chosen->zone]++;
	return true;
}

/* Of `count` tasks, how many the maximum of the job's team lets run: more need no machine. */
static uint32_t limit_by_team(const struct fl_node *node, const struct fl_job *job, uint32_t count)
{
	const struct fl_team *team = &node->cluster.teams.by_index[job->team];
	double most = count;

	if (team->max_gpus > 0 && job->gpus > 0)
		most = fmin(most, floor((team->max_gpus - team->used_gpus) / job->gpus +
		                        tunables.epsilon));
	if (team->max_cpus > 0 && job->cpus > 0)
		most = fmin(most, floor((team->max_cpus - team->used_cpus) / job->cpus +
		                        tunables.epsilon));
	return most > 0 ? (uint32_t)most : 0;
}

static void plan_job(struct fl_autoscaler_plan *plan, const struct fl_job *job, uint32_t count)
{
	uint32_t placed[FL_ZONES_MAX];
	int next = 0;

	memcpy(placed, job->placement.by_zone, sizeof(placed));
	count = limit_by_team(plan->node, job, count);
	while (count > 0 && job->kind == FL_ARRAY && plan->tasks_ending_soon >= 1) {
		plan->tasks_ending_soon -= 1;
		count--;
	}
	while (count > 0 && place_task(plan, job, placed, &next))
		count--;
}

/* Takes in the machines there are: those that boot, and the tasks that end soon. */
static void add_existing(struct fl_autoscaler_plan *plan)
{
	struct fl_machines *machines = &plan->node->cluster.machines;

	for (int i = 0; i < machines->count; i++) {
		struct fl_machine *machine = machines->by_id[i];
		double boot_s;

		if (machine->lifecycle.decommissioned || !machine->described)
			continue;
		boot_s = machines->types[machine->type].ready_s;
		plan->machines_by_zone[machine->zone]++;
		/* Some boot for minutes and a few never end: nothing must wait for those. */
		if (!machine->lifecycle.up && !machine->lifecycle.draining &&
		    machine->assignment_count == 0 &&
		    plan->now - machine->lifecycle.first_seen_at < tunables.boot_late * boot_s)
			fl_autoscaler_add_planned(plan, machine->type, machine->zone, machine->spot,
			                          FL_PLANNED_BOOTING);
		for (int k = 0; machine->lifecycle.up && k < machine->assignment_count; k++) {
			const struct fl_job *job = machine->assignments[k].job;
			const struct fl_task *task =
				fl_task_peek(job, machine->assignments[k].index);

			if (job->kind == FL_ARRAY && task->observed == FL_OBSERVED_RUNNING &&
			    job->expected_s - (plan->now - task->running_since) <
			            tunables.soon_boots * boot_s)
				plan->tasks_ending_soon += 1;
		}
	}
}

/* Puts the planned rentals of one kind together into requests. */
static void store_requests(struct fl_autoscaler *autoscaler, const struct fl_autoscaler_plan *plan)
{
	autoscaler->request_count = 0;
	for (int i = 0; i < plan->count; i++) {
		const struct fl_planned_machine *planned = &plan->machines[i];
		struct fl_scale_out_request *request = autoscaler->requests;
		int k = 0;

		if (planned->origin != FL_PLANNED_RENTAL)
			continue;
		/* Past a request that is full already, the rest goes into another. */
		while (k < autoscaler->request_count &&
		       !(request[k].type == planned->type && request[k].zone == planned->zone &&
		         request[k].spot == planned->spot && request[k].count < FL_RENT_MAX))
			k++;
		if (k == autoscaler->request_count) {
			if (k == FL_SCALE_OUT_REQUESTS_MAX) {
				fl_debug("cloud", "more than %d rentals: the rest next time", k);
				break;
			}
			request[autoscaler->request_count++] = (struct fl_scale_out_request){
				planned->type, planned->zone, 0, planned->spot};
		}
		request[k].count++;
	}
}

void fl_autoscaler_plan_scale_out(struct fl_node *node, struct fl_job **jobs,
                                  const uint32_t *unplaced_tasks, int count)
{
	struct fl_autoscaler_plan plan = {.node = node, .now = fl_now(), .wall = fl_wall()};

	if (node->autoscaler.scale_out_in_flight)
		return;
	node->autoscaler.machines_examined = 0;
	plan.capacity = node->cluster.machines.count + FL_PLANNED_RENTALS_MAX + 1;
	plan.machines = malloc((size_t)plan.capacity * sizeof(*plan.machines));
	if (!plan.machines)
		return;
	add_existing(&plan);
	for (int priority = FL_CRITICAL; priority >= FL_BEST_EFFORT; priority--)
		for (int i = 0; i < count; i++)
			if ((int)jobs[i]->priority == priority && unplaced_tasks[i] > 0)
				plan_job(&plan, jobs[i], unplaced_tasks[i]);
	fl_autoscaler_plan_headroom(&plan);
	store_requests(&node->autoscaler, &plan);
	free(plan.machines);
}
