/* Placement: the choice of a machine for each task, and the starts. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>

/* The cost of a start on one machine; INFINITY: not possible. `zone`: the only one; -1: any. */
static double start_cost(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                         int zone, const double *must_end_by, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	struct fl_resources available = fl_sched_capacity_for(cycle, job, machine_index);

	if ((zone >= 0 && machine->zone != zone) ||
	    !fl_sched_fits(job, available.cpus, available.gpus, available.ram_gb) ||
	    !fl_sched_fits(job, machine->free.cpus, machine->free.gpus, machine->free.ram_gb) ||
	    !fl_sched_allowed(job, machine) || !fl_sched_zone_allows(job, machine->zone) ||
	    (must_end_by && must_end_by[machine_index] < job->estimate_s))
		return INFINITY;
	return fl_sched_placement_cost(cycle->input, job, machine);
}

static void compute_start_costs(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                                int zone, const double *must_end_by)
{
	cycle->output->machines_examined += cycle->input->machine_count;
	for (int i = 0; i < cycle->input->machine_count; i++)
		cycle->start_cost[i] = start_cost(cycle, job, zone, must_end_by, i);
}

/* A job that wants one zone and has none yet takes the one where most of it fits. */
static int pick_zone(const struct fl_sched_input *input, const struct fl_sched_job *job)
{
	double room[FL_ZONES_MAX] = {0};
	int best = -1;

	if (!job->same_zone)
		return -1;
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (job->placed_by_zone[z] > 0)
			return z;
	for (int i = 0; i < input->machine_count; i++) {
		const struct fl_sched_machine *machine = &input->machines[i];

		if (fl_sched_allowed(job, machine))
			room[machine->zone] += fl_sched_placement_capacity(
				job, machine->free.cpus, machine->free.gpus, machine->free.ram_gb);
	}
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (room[z] > 0 && (best < 0 || room[z] > room[best]))
			best = z;
	return best;
}

static void start_task(struct fl_sched_cycle *cycle, int job_index, int machine_index)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	struct fl_team *team = &cycle->input->teams[job->team];

	if (!fl_sched_grow((void **)&cycle->output->starts, cycle->output->start_count,
	                   &cycle->output->start_capacity, sizeof(*cycle->output->starts))) {
		cycle->failed = true;
		return;
	}
	cycle->output->starts[cycle->output->start_count++] =
		(struct fl_sched_start){job_index, machine_index};
	machine->free.cpus -= job->need.cpus;
	machine->free.gpus -= job->need.gpus;
	machine->free.ram_gb -= job->need.ram_gb;
	team->used_cpus += job->need.cpus;
	team->used_gpus += job->need.gpus;
	job->placed_by_zone[machine->zone]++;
	job->startable_count--;
}

/* Takes back the starts beyond the first `keep`. */
static void undo_starts(struct fl_sched_cycle *cycle, int keep)
{
	while (cycle->output->start_count > keep) {
		const struct fl_sched_start *undone =
			&cycle->output->starts[--cycle->output->start_count];
		struct fl_sched_job *job = &cycle->input->jobs[undone->job];
		struct fl_sched_machine *machine = &cycle->input->machines[undone->machine];
		struct fl_team *team = &cycle->input->teams[job->team];

		machine->free.cpus += job->need.cpus;
		machine->free.gpus += job->need.gpus;
		machine->free.ram_gb += job->need.ram_gb;
		team->used_cpus -= job->need.cpus;
		team->used_gpus -= job->need.gpus;
		job->placed_by_zone[machine->zone]--;
		job->startable_count++;
	}
}

/*
 * Starts the job's tasks one by one, each on the best machine; of an overdue array just one. True
 * if room was what ended it.
 */
static bool start_each(struct fl_sched_cycle *cycle, int job_index, const double *must_end_by)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	int zone = pick_zone(cycle->input, job);
	uint32_t remaining = fl_sched_overdue(cycle->input->params, job) && !job->gang
	                             ? job->startable_count - 1
	                             : 0;

	cycle->tasks_awaiting_image = 0;
	compute_start_costs(cycle, job, zone, must_end_by);
	while (job->startable_count > remaining + cycle->tasks_awaiting_image && !cycle->failed) {
		int best;

		if (!fl_sched_team_allows(cycle->input, job))
			return false;
		best = fl_sched_lowest_cost(cycle->start_cost, cycle->input->machine_count);
		if (best < 0)
			return true;
		if (fl_sched_wait_for_cached_image(cycle, job, best)) {
			cycle->tasks_awaiting_image++;
			compute_start_costs(cycle, job, zone, must_end_by);
			continue;
		}
		start_task(cycle, job_index, best);
		if (fl_sched_depends_on_zones(job))
			compute_start_costs(cycle, job, zone, must_end_by);
		else
			cycle->start_cost[best] = start_cost(cycle, job, zone, must_end_by, best);
	}
	return false;
}

bool fl_sched_start_fitting(struct fl_sched_cycle *cycle, int job_index, const double *must_end_by)
{
	int before = cycle->output->start_count;
	bool no_room = start_each(cycle, job_index, must_end_by);

	if (cycle->input->jobs[job_index].gang && cycle->input->jobs[job_index].startable_count > 0)
		undo_starts(cycle, before);
	return no_room;
}
