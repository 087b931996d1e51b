/* The placement constraints of a job, and the resources available to its tasks on a machine. */
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

	return fl_team_fits_maximum_quota(team, team->used_cpus + job->need.cpus,
	                                  team->used_gpus + job->need.gpus);
}

bool fl_sched_cost_depends_on_zones(const struct fl_sched_job *job)
{
	return job->spread_zones || job->same_zone;
}

uint32_t fl_sched_placement_capacity(const struct fl_sched_job *job, struct fl_resources available)
{
	/* A reservation can make the amount of a resource negative that the job does not need. */
	if (!fl_resources_fit(job->need, available))
		return 0;
	return fl_fitting_task_count(job->need, available);
}

/*
 * Resources freed by a preemption are reserved for the preempting job. By the paper's product
 * alone, a lower-priority job that has waited long goes before the preempting job, takes the
 * resources and is preempted again: idle-time arrays of 288 tasks took them in every other cycle
 * and were stopped 80,000 times in ten minutes. After a resumption in the middle of the order,
 * other jobs must not get the resources either: the head of the order waits for them.
 */
static bool may_use_reservation(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                                const struct fl_reservation *reserved)
{
	/*
	 * This also applies to urgent services: an urgent service is considered before a critical
	 * array, although the array may preempt it.
	 */
	if (job->priority < reserved->priority)
		return false;
	if (fl_sched_is_urgent_service(job))
		return true;
	return !cycle->resumed && (!reserved->by_guarantee || job->holds_guarantee);
}

/* Returns the resources of the machine that are withheld from the job. */
static struct fl_resources withheld_resources(const struct fl_sched_cycle *cycle,
                                              const struct fl_sched_job *job,
                                              const struct fl_sched_machine *machine)
{
	const struct fl_reservation *reserved = &machine->reserved;
	const struct fl_reservation *requested = &machine->requested;
	struct fl_resources withheld = reserved->resources;

	if (!reserved->active || may_use_reservation(cycle, job, reserved))
		return (struct fl_resources){0};
	/* Resources requested again in this cycle are already subtracted from the free ones. */
	if (requested->active && requested->priority >= reserved->priority) {
		withheld.cpus = fmax(0, withheld.cpus - requested->resources.cpus);
		withheld.gpus = fmax(0, withheld.gpus - requested->resources.gpus);
		withheld.ram_gb = fmax(0, withheld.ram_gb - requested->resources.ram_gb);
	}
	return withheld;
}

struct fl_resources fl_sched_available_resources(const struct fl_sched_cycle *cycle,
                                                 const struct fl_sched_job *job, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	struct fl_resources available = machine->free;

	fl_resources_add(&available, cycle->releasing[machine_index]);
	fl_resources_subtract(&available, withheld_resources(cycle, job, machine));
	return available;
}
