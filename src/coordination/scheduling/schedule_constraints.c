/* Where a task may run by its constraints, and the room that is free for it there. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>

bool fl_sched_zone_allows(const struct fl_sched_job *job, int zone)
{
	uint32_t half = (job->task_count + 1) / 2;

	if (job->spread_zones && job->placed_by_zone[zone] + job->placed_in_unknown_zone + 1 > half)
		return false;
	if (!job->same_zone)
		return true;
	if (job->placed_in_unknown_zone > 0)
		return false;
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (z != zone && job->placed_by_zone[z] > 0)
			return false;
	return true;
}

bool fl_sched_team_allows(const struct fl_sched_input *input, const struct fl_sched_job *job)
{
	const struct fl_team *team = &input->teams[job->team];

	return fl_team_within_maximum(team, team->used_cpus + job->need.cpus,
	                              team->used_gpus + job->need.gpus);
}

bool fl_sched_depends_on_zones(const struct fl_sched_job *job)
{
	return job->spread_zones || job->same_zone;
}

uint32_t fl_sched_placement_capacity(const struct fl_sched_job *job, double cpus, double gpus,
                                     double ram)
{
	/* Reserved room can make an amount negative that the job itself needs none of. */
	if (!fl_sched_fits(job, cpus, gpus, ram))
		return 0;
	return fl_placement_capacity(
		(struct fl_resources){job->need.cpus, job->need.gpus, job->need.ram_gb},
		(struct fl_resources){cpus, gpus, ram});
}

/*
 * What a stop has freed is reserved for the job it was made for. By the product alone a job that
 * has waited goes before one of a higher priority, which may preempt it: found with idle-time
 * arrays of 288 tasks, which took the room again in every other pass and were stopped 80,000 times
 * in ten minutes. Nor does a pass that resumes in the middle of the order give away what its head
 * waits for.
 */
static struct fl_resources blocked_amounts(const struct fl_sched_cycle *cycle,
                                           const struct fl_sched_job *job,
                                           const struct fl_sched_machine *machine)
{
	const struct fl_reservation *earlier = &machine->reserved, *requested = &machine->requested;
	struct fl_resources blocked = {earlier->resources.cpus, earlier->resources.gpus,
	                               earlier->resources.ram_gb};

	if (!earlier->active)
		return (struct fl_resources){0};
	/* Services too: an urgent one goes before a critical array, which may stop it. */
	if (job->priority >= earlier->priority &&
	    (fl_sched_precedes_arrays(job) ||
	     (!cycle->resumed && (!earlier->within_guaranteed || job->within_guaranteed))))
		return (struct fl_resources){0};
	/* What was requested again in this pass is subtracted from the free room already. */
	if (requested->active && requested->priority >= earlier->priority) {
		blocked.cpus = fmax(0, blocked.cpus - requested->resources.cpus);
		blocked.gpus = fmax(0, blocked.gpus - requested->resources.gpus);
		blocked.ram_gb = fmax(0, blocked.ram_gb - requested->resources.ram_gb);
	}
	return blocked;
}

struct fl_resources fl_sched_capacity_for(const struct fl_sched_cycle *cycle,
                                          const struct fl_sched_job *job, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	struct fl_resources blocked = blocked_amounts(cycle, job, machine);

	return (struct fl_resources){
		machine->free.cpus + cycle->releasing_cpus[machine_index] - blocked.cpus,
		machine->free.gpus + cycle->releasing_gpus[machine_index] - blocked.gpus,
		machine->free.ram_gb + cycle->releasing_ram_gb[machine_index] - blocked.ram_gb};
}
