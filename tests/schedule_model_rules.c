/* The rules of the model: where a task may run, at what score, and what may be stopped for it. */
#include "schedule_model.h"

#include <math.h>

bool model_allowed(const struct fl_sched_job *job, const struct fl_sched_machine *machine)
{
	if (!(job->types & (1u << machine->type)))
		return false;
	if (job->zone >= 0 && machine->zone != job->zone)
		return false;
	return !machine->spot || job->reclaimable;
}

bool model_room(const struct fl_sched_job *job, double cpus, double gpus, double ram_gb)
{
	return cpus >= job->cpus - 1e-6 && gpus >= job->gpus - 1e-6 && ram_gb >= job->ram_gb - 1e-6;
}

bool model_zone(const struct fl_sched_job *job, int zone)
{
	if (job->apart && job->zone_placed[zone] + job->zone_unknown >= (job->n_tasks + 1) / 2)
		return false;
	if (job->together) {
		if (job->zone_unknown)
			return false;
		for (int z = 0; z < FL_ZONES_MAX; z++)
			if (job->zone_placed[z] && z != zone)
				return false;
	}
	return true;
}

bool model_team(const struct model *model, const struct fl_sched_job *job)
{
	const struct fl_team *team = &model->snapshot.teams[job->team];

	return (team->cpus_max == 0 || team->used_cpus + job->cpus <= team->cpus_max + 1e-6) &&
	       (team->gpus_max == 0 || team->used_gpus + job->gpus <= team->gpus_max + 1e-6);
}

bool model_in_guarantee(const struct fl_team *team, double cpus, double gpus)
{
	if (team->cpus == 0 && team->gpus == 0)
		return false;
	if (team->cpus > 0 && cpus > team->cpus + 1e-6)
		return false;
	return team->gpus > 0 ? gpus <= team->gpus + 1e-6 : gpus <= 1e-6;
}

bool model_ahead(const struct fl_sched_job *job)
{
	return job->service && (job->priority == FL_URGENT || job->priority == FL_CRITICAL);
}

bool model_holds(const struct fl_sched_job *job, const struct fl_sched_machine *machine)
{
	for (int i = 0; i < FL_CACHE_NOTE; i++)
		if (machine->cache[i] == job->image)
			return true;
	return false;
}

double model_score(const struct model *model, const struct fl_sched_job *job,
                   const struct fl_sched_machine *machine)
{
	double score = machine->gpus - job->gpus, est = job->est_s > 0 ? job->est_s : 3600;
	int slot = 0;

	while (slot < FL_CACHE_NOTE && machine->cache[slot] != job->image)
		slot++;
	if (slot == FL_CACHE_NOTE)
		score += job->image_gb / machine->pull_gb_s * (model_ahead(job) ? 3 : 1);
	if (!machine->held)
		score += job->reclaimable && !machine->spot ? 16 : 8;
	if (machine->spot && !job->service && job->waited_s > 120)
		score += fmin(model->snapshot.spot_loss * est, 1) * (30 + est / 2);
	if (job->apart)
		score += 1000.0 * job->zone_placed[machine->zone];
	return score;
}

static int model_count(const struct fl_sched_job *job, double cpus, double gpus, double ram_gb)
{
	int n = 0;

	while (n < 1000 && model_room(job, cpus, gpus, ram_gb)) {
		cpus -= job->cpus;
		gpus -= job->gpus;
		ram_gb -= job->ram_gb;
		n++;
	}
	return n;
}

int model_zone_choice(const struct model *model, const struct fl_sched_job *job)
{
	int best = -1, best_room = 0;

	if (!job->together)
		return -1;
	for (int z = 0; z < ZONES; z++)
		if (job->zone_placed[z])
			return z;
	for (int z = 0; z < ZONES; z++) {
		int room = 0;

		for (int i = 0; i < model->snapshot.n_machines; i++) {
			const struct fl_sched_machine *machine = &model->snapshot.machines[i];

			if (machine->zone == z && model_allowed(job, machine))
				room += model_count(job, machine->cpus, machine->gpus,
				                    machine->ram_gb);
		}
		if (room > best_room) {
			best_room = room;
			best = z;
		}
	}
	return best;
}

bool model_victim(const struct model *model, const struct fl_sched_job *job,
                  const struct fl_sched_run *run, bool within_guarantee)
{
	const struct fl_team *team = &model->snapshot.teams[run->team];

	if (run->stopping || !run->movable)
		return false;
	if (run->last_running_task && job->priority != FL_URGENT && job->priority != FL_CRITICAL)
		return false;
	/* What is within a guarantee gives way to a service, its own team, or another guarantee. */
	if (run->priority < job->priority)
		return !run->within_guarantee || job->within_guarantee || job->service ||
		       run->team == job->team;
	return within_guarantee && run->team != job->team && !run->service &&
	       !run->within_guarantee &&
	       !model_in_guarantee(team, team->used_cpus, team->used_gpus);
}

void model_open(const struct model *model, const struct fl_sched_job *job, int index,
                double open[3])
{
	const struct fl_sched_machine *machine = &model->snapshot.machines[index];
	const struct fl_reservation *reserved = &machine->reserved;
	double withheld[3] = {reserved->cpus, reserved->gpus, reserved->ram_gb};
	double requested[3] = {machine->requested.cpus, machine->requested.gpus,
	                       machine->requested.ram_gb};

	open[0] = machine->cpus + model->later[index][0];
	open[1] = machine->gpus + model->later[index][1];
	open[2] = machine->ram_gb + model->later[index][2];
	if (!reserved->made ||
	    (job->priority >= reserved->priority &&
	     (model_ahead(job) || !reserved->within_guarantee || job->within_guarantee)))
		return;
	for (int x = 0; x < 3; x++) {
		if (machine->requested.made && machine->requested.priority >= reserved->priority)
			withheld[x] -= requested[x];
		if (withheld[x] > 0)
			open[x] -= withheld[x];
	}
}

/* Would the job's next start fit at this time from now, by the estimates? */
static bool model_fits_at(const struct model *model, const struct fl_sched_job *job, double at)
{
	int in_zone[ZONES] = {0}, all = 0;

	for (int i = 0; i < model->snapshot.n_machines; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];
		double cpus = machine->cpus, gpus = machine->gpus, ram_gb = machine->ram_gb;
		int n;

		for (int x = 0; x < model->snapshot.n_runs; x++) {
			if (model->snapshot.runs[x].machine != i ||
			    model->snapshot.runs[x].left_s > at ||
			    model->snapshot.runs[x].left_s == INFINITY)
				continue;
			cpus += model->snapshot.runs[x].cpus;
			gpus += model->snapshot.runs[x].gpus;
			ram_gb += model->snapshot.runs[x].ram_gb;
		}
		if (!model_allowed(job, machine))
			continue;
		if (!job->gang && !model_zone(job, machine->zone))
			continue;
		n = model_count(job, cpus, gpus, ram_gb);
		if (!job->gang && n > 0)
			return true;
		in_zone[machine->zone] += n;
		all += n;
	}
	if (!job->gang)
		return false;
	for (int z = 0; job->together && z < ZONES; z++)
		if (in_zone[z] >= (int)job->waiting)
			return true;
	return !job->together && all >= (int)job->waiting;
}

double model_wait(const struct model *model, const struct fl_sched_job *job)
{
	double best = INFINITY;

	if (model_fits_at(model, job, 0))
		return 0;
	for (int i = 0; i < model->snapshot.n_runs; i++)
		if (model->snapshot.runs[i].left_s < best &&
		    model_fits_at(model, job, model->snapshot.runs[i].left_s))
			best = model->snapshot.runs[i].left_s;
	return best;
}
