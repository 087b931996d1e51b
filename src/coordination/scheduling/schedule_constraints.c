/* Where a task may run by its constraints, and the capacity that is available to it there. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>

bool fl_sched_job_allows_zone(const struct fl_sched_job *job, int zone)
{
	const struct fl_zone_rule rule = {.same_zone = job->same_zone,
	                                  .spread_zones = job->spread_zones,
	                                  .task_count = job->task_count,
	                                  .placed_by_zone = job->placed_by_zone,
	                                  .placed_in_unknown_zone = job->placed_in_unknown_zone};

	return fl_zone_rule_admits(&rule, zone);
}

bool fl_sched_within_team_maximum(const struct fl_sched_input *input,
                                  const struct fl_sched_job *job)
{
	const struct fl_team *team = &input->teams[job->team];

	return fl_team_within_maximum(team, team->used_cpus + job->need.cpus,
	                              team->used_gpus + job->need.gpus);
}

bool fl_sched_cost_depends_on_zones(const struct fl_sched_job *job)
{
	return job->spread_zones || job->same_zone;
}

uint32_t fl_sched_placement_capacity(const struct fl_sched_job *job, struct fl_resources available)
{
	/* A reservation can make an amount negative that the job itself needs none of. */
	if (!fl_resources_fit(job->need, available))
		return 0;
	return fl_placement_capacity(job->need, available);
}

/*
 * What a preemption has freed is reserved for the job it was made for. By the product alone a job
 * that has waited goes before one of a higher priority, which may preempt it: found with idle-time
 * arrays of 288 tasks, which took the capacity again in every other cycle and were stopped 80,000
 * times in ten minutes. Nor does a cycle that resumes in the middle of the order give others what
 * its head waits for.
 */
static bool may_use_reservation(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                                const struct fl_reservation *reserved)
{
	if (job->priority < reserved->priority)
		return false;
	/* Services too: an urgent one goes before a critical array, which may preempt it. */
	if (fl_sched_is_urgent_service(job))
		return true;
	return !cycle->resumed && (!reserved->within_guaranteed || job->within_guaranteed);
}

/* What is withheld from the job on this machine. */
static struct fl_resources blocked_resources(const struct fl_sched_cycle *cycle,
                                             const struct fl_sched_job *job,
                                             const struct fl_sched_machine *machine)
{
	const struct fl_reservation *reserved = &machine->reserved;
	const struct fl_reservation *requested = &machine->requested;
	struct fl_resources blocked = reserved->resources;

	if (!reserved->active || may_use_reservation(cycle, job, reserved))
		return (struct fl_resources){0};
	/* What was requested again in this cycle is subtracted from what is free already. */
	if (requested->active && requested->priority >= reserved->priority) {
		blocked.cpus = fmax(0, blocked.cpus - requested->resources.cpus);
		blocked.gpus = fmax(0, blocked.gpus - requested->resources.gpus);
		blocked.ram_gb = fmax(0, blocked.ram_gb - requested->resources.ram_gb);
	}
	return blocked;
}

struct fl_resources fl_sched_available_resources(const struct fl_sched_cycle *cycle,
                                                 const struct fl_sched_job *job, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	struct fl_resources available = machine->free;

	fl_resources_add(&available, cycle->releasing[machine_index]);
	fl_resources_subtract(&available, blocked_resources(cycle, job, machine));
	return available;
}
