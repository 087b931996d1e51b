/* The model's pass: the order of the jobs, their starts, and the stops that free capacity for them.
 */
#include "schedule_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Cost of making room for one task on a machine; the victims in `set`. */
static double model_clear(const struct model *model, const struct fl_sched_job *job, int machine,
                          bool within_guarantee, bool *set)
{
	double open[3], cpus, gpus, ram_gb, cost = 0;

	model_open(model, job, machine, open);
	cpus = open[0];
	gpus = open[1];
	ram_gb = open[2];
	memset(set, 0, sizeof(bool) * RUNS);
	while (!model_room(job, cpus, gpus, ram_gb)) {
		int cheapest = -1;

		for (int i = 0; i < model->snapshot.n_runs; i++) {
			const struct fl_sched_attempt *attempt = &model->snapshot.runs[i];

			if (attempt->machine == machine && !set[i] &&
			    model_victim(model, job, attempt, within_guarantee) &&
			    (cheapest < 0 ||
			     attempt->lost_s < model->snapshot.runs[cheapest].lost_s))
				cheapest = i;
		}
		if (cheapest < 0)
			return INFINITY;
		set[cheapest] = true;
		cpus += model->snapshot.runs[cheapest].used.cpus;
		gpus += model->snapshot.runs[cheapest].used.gpus;
		ram_gb += model->snapshot.runs[cheapest].used.ram_gb;
		cost += model->snapshot.runs[cheapest].lost_s + 1;
	}
	return cost;
}

/* Room for one more task is reserved; `image`: only where it is cached, at 60 s of loss at most. */
static bool model_request_one(struct model *model, struct fl_sched_job *job, bool within_guarantee,
                              bool image, const double *until, double est)
{
	double best_cost = INFINITY;
	bool set[RUNS];
	int best = -1;

	for (int i = 0; i < model->snapshot.n_machines; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];
		double cost;

		if (!model_allowed(job, machine) || !model_zone(job, machine->zone) ||
		    (until && est > until[i]))
			continue;
		cost = model_clear(model, job, i, within_guarantee, set);
		if (image && (cost > 60 || (!model_holds(job, machine) && job->image_gb > 0)))
			continue;
		cost += model_score(model, job, machine);
		if (cost < best_cost) {
			best_cost = cost;
			best = i;
		}
	}
	if (best < 0)
		return false;
	model_clear(model, job, best, within_guarantee, set);
	/* Cheapest first, as they were chosen. */
	for (;;) {
		int next = -1;

		for (int i = 0; i < model->snapshot.n_runs; i++)
			if (set[i] && (next < 0 || model->snapshot.runs[i].lost_s <
			                                   model->snapshot.runs[next].lost_s))
				next = i;
		if (next < 0)
			break;
		set[next] = false;
		model->stops[model->n_stops++] = next;
		model->snapshot.runs[next].stopping = true;
		model->later[best][0] += model->snapshot.runs[next].used.cpus;
		model->later[best][1] += model->snapshot.runs[next].used.gpus;
		model->later[best][2] += model->snapshot.runs[next].used.ram_gb;
	}
	model->snapshot.machines[best].free.cpus -= job->need.cpus;
	model->snapshot.machines[best].free.gpus -= job->need.gpus;
	model->snapshot.machines[best].free.ram_gb -= job->need.ram_gb;
	job->placed_by_zone[model->snapshot.machines[best].zone]++;
	if (!model->snapshot.machines[best].requested.active) {
		model->snapshot.machines[best].requested.active = true;
		model->snapshot.machines[best].requested.within_guaranteed = within_guarantee;
		model->snapshot.machines[best].requested.priority = job->priority;
	}
	model->snapshot.machines[best].requested.resources.cpus += job->need.cpus;
	model->snapshot.machines[best].requested.resources.gpus += job->need.gpus;
	model->snapshot.machines[best].requested.resources.ram_gb += job->need.ram_gb;
	return true;
}

static uint32_t model_request_all(struct model *model, int index, const double *until, double est)
{
	struct fl_sched_job *job = &model->snapshot.jobs[index];
	struct fl_team saved = model->snapshot.teams[job->team],
		       *team = &model->snapshot.teams[job->team];
	uint32_t requested = 0;

	while (requested + model->held < job->startable_count && !job->gang) {
		bool within_guarantee = job->within_guaranteed &&
		                        model_in_guarantee(team, team->used_cpus + job->need.cpus,
		                                           team->used_gpus + job->need.gpus);

		if (!model_team(model, job) ||
		    (!within_guarantee && job->priority == FL_BEST_EFFORT) ||
		    !model_request_one(model, job, within_guarantee, false, until, est))
			break;
		team->used_cpus += job->need.cpus;
		team->used_gpus += job->need.gpus;
		requested++;
	}
	*team = saved;
	return requested;
}

/* The machine with the lowest score that may take one more task now; -1: none. */
static int model_best(const struct model *model, const struct fl_sched_job *job, int zone,
                      const double *until, double est)
{
	double open[3];
	int best = -1;

	for (int i = 0; i < model->snapshot.n_machines; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];

		if (zone >= 0 && machine->zone != zone)
			continue;
		if (!model_allowed(job, machine) ||
		    !model_room(job, machine->free.cpus, machine->free.gpus,
		                machine->free.ram_gb) ||
		    !model_zone(job, machine->zone) || (until && est > until[i]))
			continue;
		/* Reserved to one before this job. */
		model_open(model, job, i, open);
		if (!model_room(job, open[0], open[1], open[2]))
			continue;
		if (best < 0 || model_score(model, job, machine) <
		                        model_score(model, job, &model->snapshot.machines[best]))
			best = i;
	}
	return best;
}

static bool model_start(struct model *model, int index, const double *until, double est)
{
	struct fl_sched_job *job = &model->snapshot.jobs[index];
	struct model *before = NULL;
	int zone = model_zone_choice(model, job);
	bool no_room = false;
	bool one = !job->service && !job->begun && job->waited_s > 120 && !job->gang;

	model->held = 0;
	if (job->gang) {
		before = malloc(sizeof(*before));
		*before = *model;
	}
	for (uint32_t all = job->startable_count;
	     job->startable_count > model->held && !(one && job->startable_count < all);) {
		double fetch;
		int best;

		if (!model_team(model, job))
			break;
		best = model_best(model, job, zone, until, est);
		if (best < 0) {
			no_room = true;
			break;
		}
		fetch = model_holds(job, &model->snapshot.machines[best])
		                ? 0
		                : job->image_gb / model->snapshot.machines[best].pull_gb_s;
		if (model_ahead(job) && !job->gang && fetch > 4 && job->waited_s < fetch &&
		    model_request_one(model, job, false, true, NULL, 0)) {
			model->held++;
			continue;
		}
		model->starts[model->n_starts++] = (struct fl_sched_start){index, best};
		model->snapshot.machines[best].free.cpus -= job->need.cpus;
		model->snapshot.machines[best].free.gpus -= job->need.gpus;
		model->snapshot.machines[best].free.ram_gb -= job->need.ram_gb;
		model->snapshot.teams[job->team].used_cpus += job->need.cpus;
		model->snapshot.teams[job->team].used_gpus += job->need.gpus;
		job->placed_by_zone[model->snapshot.machines[best].zone]++;
		job->startable_count--;
	}
	if (before && job->startable_count > 0)
		*model = *before;
	free(before);
	return no_room;
}

/* The job to be looked at next: by rank, then by the priority formula; -1: none is left. */
static int model_next(const struct model *model, const bool *looked, int *next_rank)
{
	int next = -1;
	double next_priority = 0;

	for (int i = 0; i < model->snapshot.n_jobs; i++) {
		const struct fl_sched_job *candidate = &model->snapshot.jobs[i];
		int rank = candidate->service && candidate->priority >= FL_URGENT ? 3
		           : !candidate->service && !candidate->begun && candidate->waited_s > 120
		                   ? 2
		           : candidate->within_guaranteed ? 1
		                                          : 0;
		double wait = fmax(candidate->waited_s, 0.1),
		       takes = candidate->estimate_s > 0 ? candidate->estimate_s : 3600;
		double weight[] = {0.1, 1, 10, 100};
		double priority = wait / 3600 * (1 + pow(wait / 120, 4)) * (3600 / takes) *
		                  (1 / sqrt(candidate->need.cpus * candidate->task_count / 32)) *
		                  weight[candidate->priority];

		if (looked[i])
			continue;
		if (next < 0 || rank > *next_rank ||
		    (rank == *next_rank && priority > next_priority)) {
			next = i;
			*next_rank = rank;
			next_priority = priority;
		}
	}
	return next;
}

void model_pass(struct model *model)
{
	bool looked[JOBS] = {false};
	double until[MACHINES];

	model->top = -1;
	for (int i = 0; i < model->snapshot.n_runs; i++) {
		if (!model->snapshot.runs[i].stopping)
			continue;
		model->later[model->snapshot.runs[i].machine][0] +=
			model->snapshot.runs[i].used.cpus;
		model->later[model->snapshot.runs[i].machine][1] +=
			model->snapshot.runs[i].used.gpus;
		model->later[model->snapshot.runs[i].machine][2] +=
			model->snapshot.runs[i].used.ram_gb;
	}
	for (;;) {
		int next_rank = 0, next = model_next(model, looked, &next_rank);
		struct fl_sched_job *job;
		bool first, backfill;
		const double *bound;
		double est;

		if (next < 0)
			return;
		looked[next] = true;
		job = &model->snapshot.jobs[next];
		if (job->startable_count == 0)
			continue;
		first = next_rank == 3;
		backfill = model->top >= 0 && !first;
		/* The top's window does not bind what may stop the top's tasks. */
		bound = backfill && job->priority <= model->snapshot.jobs[model->top].priority
		                ? until
		                : NULL;
		est = job->estimate_s > 0 ? job->estimate_s : job->service ? INFINITY : 3600;
		if (!model_start(model, next, bound, est))
			continue;
		model->short_of[next] = job->startable_count - model->held -
		                        model_request_all(model, next, bound, est);
		if (model->short_of[next] == 0 || model->top >= 0)
			continue;
		model->top = next;
		model->window = 4 * model_wait(model, job);
		if (job->window_left_s >= 0)
			model->window = fmin(model->window, job->window_left_s);
		for (int i = 0; i < model->snapshot.n_machines; i++)
			until[i] = model_allowed(job, &model->snapshot.machines[i]) ? model->window
			                                                            : INFINITY;
	}
}
