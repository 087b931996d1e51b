/* The rules of the model: where a task may run, at what cost, and what may be preempted for it. */
#include "schedule_model.h"

#include <math.h>

bool model_machine_allowed(const struct fl_sched_job *job, const struct fl_sched_machine *machine)
{
	if (!(job->allowed_types & (1u << machine->type)))
		return false;
	if (job->zone >= 0 && machine->zone != job->zone)
		return false;
	return !machine->spot || job->spot_allowed;
}

bool model_task_fits(const struct fl_sched_job *job, struct fl_resources available)
{
	return available.cpus >= job->need.cpus - 1e-6 && available.gpus >= job->need.gpus - 1e-6 &&
	       available.ram_gb >= job->need.ram_gb - 1e-6;
}

bool model_zone_allowed(const struct fl_sched_job *job, int zone)
{
	if (job->spread_zones &&
	    job->placed_by_zone[zone] + job->placed_in_unknown_zone >= (job->task_count + 1) / 2)
		return false;
	if (job->same_zone) {
		if (job->placed_in_unknown_zone)
			return false;
		for (int z = 0; z < FL_ZONES_MAX; z++)
			if (job->placed_by_zone[z] && z != zone)
				return false;
	}
	return true;
}

bool model_within_team_maximum(const struct model *model, const struct fl_sched_job *job)
{
	const struct fl_team *team = &model->snapshot.teams[job->team];

	return (team->max_cpus == 0 || team->used_cpus + job->need.cpus <= team->max_cpus + 1e-6) &&
	       (team->max_gpus == 0 || team->used_gpus + job->need.gpus <= team->max_gpus + 1e-6);
}

bool model_usage_within_guarantee(const struct fl_team *team, double cpus, double gpus)
{
	if (team->guaranteed_cpus == 0 && team->guaranteed_gpus == 0)
		return false;
	if (team->guaranteed_cpus > 0 && cpus > team->guaranteed_cpus + 1e-6)
		return false;
	return team->guaranteed_gpus > 0 ? gpus <= team->guaranteed_gpus + 1e-6 : gpus <= 1e-6;
}

bool model_is_urgent_service(const struct fl_sched_job *job)
{
	return job->service && (job->priority == FL_URGENT || job->priority == FL_CRITICAL);
}

bool model_image_cached(const struct fl_sched_job *job, const struct fl_sched_machine *machine)
{
	for (int i = 0; i < FL_IMAGE_CACHE_MAX; i++)
		if (machine->cached_images[i] == job->image)
			return true;
	return false;
}

double model_placement_cost(const struct model *model, const struct fl_sched_job *job,
                            const struct fl_sched_machine *machine)
{
	double cost = machine->free.gpus - job->need.gpus,
	       estimate_s = job->estimate_s > 0 ? job->estimate_s : 3600;
	int slot = 0;

	while (slot < FL_IMAGE_CACHE_MAX && machine->cached_images[slot] != job->image)
		slot++;
	if (slot == FL_IMAGE_CACHE_MAX)
		cost += job->image_gb / machine->pull_gb_per_s *
		        (model_is_urgent_service(job) ? 3 : 1);
	if (!machine->runs_service)
		cost += job->spot_allowed && !machine->spot ? 16 : 8;
	if (machine->spot && !job->service && job->waited_s > 120)
		cost += fmin(model->snapshot.spot_loss_rate * estimate_s, 1) *
		        (30 + estimate_s / 2);
	if (job->spread_zones)
		cost += 1000.0 * job->placed_by_zone[machine->zone];
	return cost;
}

/* Returns how many tasks of the job fit, at most 1000. */
static int model_task_capacity(const struct fl_sched_job *job, struct fl_resources available)
{
	int count = 0;

	while (count < 1000 && model_task_fits(job, available)) {
		fl_resources_subtract(&available, job->need);
		count++;
	}
	return count;
}

int model_zone_choice(const struct model *model, const struct fl_sched_job *job)
{
	int best = -1, best_capacity = 0;

	if (!job->same_zone)
		return -1;
	for (int z = 0; z < ZONES; z++)
		if (job->placed_by_zone[z])
			return z;
	for (int z = 0; z < ZONES; z++) {
		int capacity = 0;

		for (int i = 0; i < model->snapshot.machine_count; i++) {
			const struct fl_sched_machine *machine = &model->snapshot.machines[i];

			if (machine->zone == z && model_machine_allowed(job, machine))
				capacity += model_task_capacity(job, machine->free);
		}
		if (capacity > best_capacity) {
			best_capacity = capacity;
			best = z;
		}
	}
	return best;
}

bool model_may_preempt(const struct model *model, const struct fl_sched_job *job,
                       const struct fl_sched_attempt *attempt, bool within_guarantee)
{
	const struct fl_team *team = &model->snapshot.teams[attempt->team];

	if (attempt->stopping || !attempt->preemptible)
		return false;
	if (attempt->last_running_task && job->priority != FL_URGENT &&
	    job->priority != FL_CRITICAL)
		return false;
	/*
	 * Work that holds its team's guarantee is preempted only for such work and for critical
	 * services, and a critical service for nothing.
	 */
	if (attempt->holds_guarantee && !job->holds_guarantee &&
	    !(job->service && job->priority == FL_CRITICAL))
		return false;
	if (attempt->priority < job->priority)
		return true;
	return within_guarantee && attempt->team != job->team && !attempt->service &&
	       !attempt->holds_guarantee &&
	       !model_usage_within_guarantee(team, team->used_cpus, team->used_gpus);
}

/* Subtracts the part of a reservation that the requests of this cycle do not cover. */
static void model_subtract_uncovered(double *available, double reserved, double requested)
{
	if (reserved > requested)
		*available -= reserved - requested;
}

struct fl_resources model_available_resources(const struct model *model,
                                              const struct fl_sched_job *job, int machine_index)
{
	const struct fl_sched_machine *machine = &model->snapshot.machines[machine_index];
	const struct fl_reservation *reserved = &machine->reserved;
	struct fl_resources available = machine->free, covered = {0};

	fl_resources_add(&available, model->releasing_resources[machine_index]);
	if (!reserved->active ||
	    (job->priority >= reserved->priority &&
	     (model_is_urgent_service(job) || !reserved->by_guarantee || job->holds_guarantee)))
		return available;
	if (machine->requested.active && machine->requested.priority >= reserved->priority)
		covered = machine->requested.resources;
	model_subtract_uncovered(&available.cpus, reserved->resources.cpus, covered.cpus);
	model_subtract_uncovered(&available.gpus, reserved->resources.gpus, covered.gpus);
	model_subtract_uncovered(&available.ram_gb, reserved->resources.ram_gb, covered.ram_gb);
	return available;
}

/* Returns what is free on a machine `time_s` from now, by the estimates of its attempts. */
static struct fl_resources model_free_resources_at(const struct model *model, int machine_index,
                                                   double time_s)
{
	struct fl_resources available = model->snapshot.machines[machine_index].free;

	for (int i = 0; i < model->snapshot.attempt_count; i++) {
		const struct fl_sched_attempt *attempt = &model->snapshot.attempts[i];

		if (attempt->machine == machine_index && attempt->estimated_remaining_s <= time_s &&
		    attempt->estimated_remaining_s != INFINITY)
			fl_resources_add(&available, attempt->used);
	}
	return available;
}

bool model_task_will_fit(const struct model *model, const struct fl_sched_job *job,
                         int machine_index)
{
	return model_task_fits(job, model_free_resources_at(model, machine_index, INFINITY));
}

/* Returns whether the job's next start fits `time_s` from now, by the estimates. */
static bool model_job_fits_at(const struct model *model, const struct fl_sched_job *job,
                              double time_s)
{
	int capacity_by_zone[ZONES] = {0}, capacity = 0;

	for (int i = 0; i < model->snapshot.machine_count; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];
		int count;

		if (!model_machine_allowed(job, machine))
			continue;
		if (!job->gang && !model_zone_allowed(job, machine->zone))
			continue;
		count = model_task_capacity(job, model_free_resources_at(model, i, time_s));
		if (!job->gang && count > 0)
			return true;
		capacity_by_zone[machine->zone] += count;
		capacity += count;
	}
	if (!job->gang)
		return false;
	for (int z = 0; job->same_zone && z < ZONES; z++)
		if (capacity_by_zone[z] >= (int)job->startable_count)
			return true;
	return !job->same_zone && capacity >= (int)job->startable_count;
}

double model_time_to_fit_s(const struct model *model, const struct fl_sched_job *job)
{
	double best = INFINITY;

	if (model_job_fits_at(model, job, 0))
		return 0;
	for (int i = 0; i < model->snapshot.attempt_count; i++)
		if (model->snapshot.attempts[i].estimated_remaining_s < best &&
		    model_job_fits_at(model, job,
		                      model->snapshot.attempts[i].estimated_remaining_s))
			best = model->snapshot.attempts[i].estimated_remaining_s;
	return best;
}
