/* The rules of the model: where a task may run, at what score, and what may be stopped for it. */
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

bool model_fits(const struct fl_sched_job *job, double cpus, double gpus, double ram_gb)
{
	return cpus >= job->need.cpus - 1e-6 && gpus >= job->need.gpus - 1e-6 &&
	       ram_gb >= job->need.ram_gb - 1e-6;
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

bool model_within_guarantee(const struct fl_team *team, double cpus, double gpus)
{
	if (team->guaranteed_cpus == 0 && team->guaranteed_gpus == 0)
		return false;
	if (team->guaranteed_cpus > 0 && cpus > team->guaranteed_cpus + 1e-6)
		return false;
	return team->guaranteed_gpus > 0 ? gpus <= team->guaranteed_gpus + 1e-6 : gpus <= 1e-6;
}

bool model_goes_first(const struct fl_sched_job *job)
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

double model_score(const struct model *model, const struct fl_sched_job *job,
                   const struct fl_sched_machine *machine)
{
	double score = machine->free.gpus - job->need.gpus,
	       estimate_s = job->estimate_s > 0 ? job->estimate_s : 3600;
	int slot = 0;

	while (slot < FL_IMAGE_CACHE_MAX && machine->cached_images[slot] != job->image)
		slot++;
	if (slot == FL_IMAGE_CACHE_MAX)
		score += job->image_gb / machine->pull_gb_s * (model_goes_first(job) ? 3 : 1);
	if (!machine->runs_service)
		score += job->spot_allowed && !machine->spot ? 16 : 8;
	if (machine->spot && !job->service && job->waited_s > 120)
		score += fmin(model->snapshot.spot_loss_rate * estimate_s, 1) *
		         (30 + estimate_s / 2);
	if (job->spread_zones)
		score += 1000.0 * job->placed_by_zone[machine->zone];
	return score;
}

static int model_task_capacity(const struct fl_sched_job *job, double cpus, double gpus,
                               double ram_gb)
{
	int n = 0;

	while (n < 1000 && model_fits(job, cpus, gpus, ram_gb)) {
		cpus -= job->need.cpus;
		gpus -= job->need.gpus;
		ram_gb -= job->need.ram_gb;
		n++;
	}
	return n;
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
		int room = 0;

		for (int i = 0; i < model->snapshot.machine_count; i++) {
			const struct fl_sched_machine *machine = &model->snapshot.machines[i];

			if (machine->zone == z && model_machine_allowed(job, machine))
				room += model_task_capacity(job, machine->free.cpus,
				                            machine->free.gpus,
				                            machine->free.ram_gb);
		}
		if (room > best_capacity) {
			best_capacity = room;
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
	/* What is within a guarantee gives way to a service, its own team, or another guarantee. */
	if (attempt->priority < job->priority)
		return !attempt->within_guaranteed || job->within_guaranteed || job->service ||
		       attempt->team == job->team;
	return within_guarantee && attempt->team != job->team && !attempt->service &&
	       !attempt->within_guaranteed &&
	       !model_within_guarantee(team, team->used_cpus, team->used_gpus);
}

void model_available(const struct model *model, const struct fl_sched_job *job, int index,
                     double available[3])
{
	const struct fl_sched_machine *machine = &model->snapshot.machines[index];
	const struct fl_reservation *reserved = &machine->reserved;
	double withheld[3] = {reserved->resources.cpus, reserved->resources.gpus,
	                      reserved->resources.ram_gb};
	double requested[3] = {machine->requested.resources.cpus, machine->requested.resources.gpus,
	                       machine->requested.resources.ram_gb};

	available[0] = machine->free.cpus + model->freed_later[index][0];
	available[1] = machine->free.gpus + model->freed_later[index][1];
	available[2] = machine->free.ram_gb + model->freed_later[index][2];
	if (!reserved->active ||
	    (job->priority >= reserved->priority &&
	     (model_goes_first(job) || !reserved->within_guaranteed || job->within_guaranteed)))
		return;
	for (int x = 0; x < 3; x++) {
		if (machine->requested.active && machine->requested.priority >= reserved->priority)
			withheld[x] -= requested[x];
		if (withheld[x] > 0)
			available[x] -= withheld[x];
	}
}

/* Would the job's next start fit at this time from now, by the estimates? */
static bool model_fits_at(const struct model *model, const struct fl_sched_job *job, double at)
{
	int count_by_zone[ZONES] = {0}, all = 0;

	for (int i = 0; i < model->snapshot.machine_count; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];
		double cpus = machine->free.cpus, gpus = machine->free.gpus,
		       ram_gb = machine->free.ram_gb;
		int n;

		for (int x = 0; x < model->snapshot.attempt_count; x++) {
			if (model->snapshot.attempts[x].machine != i ||
			    model->snapshot.attempts[x].left_s > at ||
			    model->snapshot.attempts[x].left_s == INFINITY)
				continue;
			cpus += model->snapshot.attempts[x].used.cpus;
			gpus += model->snapshot.attempts[x].used.gpus;
			ram_gb += model->snapshot.attempts[x].used.ram_gb;
		}
		if (!model_machine_allowed(job, machine))
			continue;
		if (!job->gang && !model_zone_allowed(job, machine->zone))
			continue;
		n = model_task_capacity(job, cpus, gpus, ram_gb);
		if (!job->gang && n > 0)
			return true;
		count_by_zone[machine->zone] += n;
		all += n;
	}
	if (!job->gang)
		return false;
	for (int z = 0; job->same_zone && z < ZONES; z++)
		if (count_by_zone[z] >= (int)job->startable_count)
			return true;
	return !job->same_zone && all >= (int)job->startable_count;
}

double model_time_to_fit(const struct model *model, const struct fl_sched_job *job)
{
	double best = INFINITY;

	if (model_fits_at(model, job, 0))
		return 0;
	for (int i = 0; i < model->snapshot.attempt_count; i++)
		if (model->snapshot.attempts[i].left_s < best &&
		    model_fits_at(model, job, model->snapshot.attempts[i].left_s))
			best = model->snapshot.attempts[i].left_s;
	return best;
}
