/* The model's scheduling cycle: the order of the jobs, their starts, and the stops that free
 * capacity for them.
 */
#include "schedule_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Cost of making capacity for one task on a machine; the victims in `set`. */
static double model_preemption_cost(const struct model *model, const struct fl_sched_job *job,
                                    int machine, bool within_guarantee, bool *victims)
{
	double available[3], cpus, gpus, ram_gb, cost = 0;

	model_available(model, job, machine, available);
	cpus = available[0];
	gpus = available[1];
	ram_gb = available[2];
	memset(victims, 0, sizeof(bool) * ATTEMPTS_MAX);
	while (!model_fits(job, cpus, gpus, ram_gb)) {
		int cheapest = -1;

		for (int i = 0; i < model->snapshot.attempt_count; i++) {
			const struct fl_sched_attempt *attempt = &model->snapshot.attempts[i];

			if (attempt->machine == machine && !victims[i] &&
			    model_may_preempt(model, job, attempt, within_guarantee) &&
			    (cheapest < 0 ||
			     attempt->lost_s < model->snapshot.attempts[cheapest].lost_s))
				cheapest = i;
		}
		if (cheapest < 0)
			return INFINITY;
		victims[cheapest] = true;
		cpus += model->snapshot.attempts[cheapest].used.cpus;
		gpus += model->snapshot.attempts[cheapest].used.gpus;
		ram_gb += model->snapshot.attempts[cheapest].used.ram_gb;
		cost += model->snapshot.attempts[cheapest].lost_s + 1;
	}
	return cost;
}

/* Capacity for one more task is reserved; `image`: only where it is cached, at 60 s of loss at
 * most. */
static bool model_request_one(struct model *model, struct fl_sched_job *job, bool within_guarantee,
                              bool image, const double *latest_end, double estimate_s)
{
	double best_cost = INFINITY;
	bool victims[ATTEMPTS_MAX];
	int best = -1;

	for (int i = 0; i < model->snapshot.machine_count; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];
		double cost;

		if (!model_machine_allowed(job, machine) ||
		    !model_zone_allowed(job, machine->zone) ||
		    (latest_end && estimate_s > latest_end[i]))
			continue;
		cost = model_preemption_cost(model, job, i, within_guarantee, victims);
		if (image &&
		    (cost > 60 || (!model_image_cached(job, machine) && job->image_gb > 0)))
			continue;
		cost += model_score(model, job, machine);
		if (cost < best_cost) {
			best_cost = cost;
			best = i;
		}
	}
	if (best < 0)
		return false;
	model_preemption_cost(model, job, best, within_guarantee, victims);
	/* Cheapest first, as they were chosen. */
	for (;;) {
		int next = -1;

		for (int i = 0; i < model->snapshot.attempt_count; i++)
			if (victims[i] &&
			    (next < 0 || model->snapshot.attempts[i].lost_s <
			                         model->snapshot.attempts[next].lost_s))
				next = i;
		if (next < 0)
			break;
		victims[next] = false;
		model->preemptions[model->preemption_count++] = next;
		model->snapshot.attempts[next].stopping = true;
		model->freed_later[best][0] += model->snapshot.attempts[next].used.cpus;
		model->freed_later[best][1] += model->snapshot.attempts[next].used.gpus;
		model->freed_later[best][2] += model->snapshot.attempts[next].used.ram_gb;
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

static uint32_t model_request_all(struct model *model, int index, const double *latest_end,
                                  double estimate_s)
{
	struct fl_sched_job *job = &model->snapshot.jobs[index];
	struct fl_team saved_team = model->snapshot.teams[job->team],
		       *team = &model->snapshot.teams[job->team];
	uint32_t requested = 0;

	while (requested + model->awaiting_image_count < job->startable_count && !job->gang) {
		bool within_guarantee =
			job->within_guaranteed &&
			model_within_guarantee(team, team->used_cpus + job->need.cpus,
		                               team->used_gpus + job->need.gpus);

		if (!model_within_team_maximum(model, job) ||
		    (!within_guarantee && job->priority == FL_BEST_EFFORT) ||
		    !model_request_one(model, job, within_guarantee, false, latest_end, estimate_s))
			break;
		team->used_cpus += job->need.cpus;
		team->used_gpus += job->need.gpus;
		requested++;
	}
	*team = saved_team;
	return requested;
}

/* The machine with the lowest score that may take one more task now; -1: none. */
static int model_best_machine(const struct model *model, const struct fl_sched_job *job, int zone,
                              const double *latest_end, double estimate_s)
{
	double available[3];
	int best = -1;

	for (int i = 0; i < model->snapshot.machine_count; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];

		if (zone >= 0 && machine->zone != zone)
			continue;
		if (!model_machine_allowed(job, machine) ||
		    !model_fits(job, machine->free.cpus, machine->free.gpus,
		                machine->free.ram_gb) ||
		    !model_zone_allowed(job, machine->zone) ||
		    (latest_end && estimate_s > latest_end[i]))
			continue;
		/* Reserved to one before this job. */
		model_available(model, job, i, available);
		if (!model_fits(job, available[0], available[1], available[2]))
			continue;
		if (best < 0 || model_score(model, job, machine) <
		                        model_score(model, job, &model->snapshot.machines[best]))
			best = i;
	}
	return best;
}

static bool model_start_tasks(struct model *model, int index, const double *latest_end,
                              double estimate_s)
{
	struct fl_sched_job *job = &model->snapshot.jobs[index];
	struct model *before = NULL;
	int zone = model_zone_choice(model, job);
	bool no_capacity = false;
	bool one = !job->service && !job->begun && job->waited_s > 120 && !job->gang;

	model->awaiting_image_count = 0;
	if (job->gang) {
		before = malloc(sizeof(*before));
		*before = *model;
	}
	for (uint32_t all = job->startable_count;
	     job->startable_count > model->awaiting_image_count &&
	     !(one && job->startable_count < all);) {
		double fetch;
		int best;

		if (!model_within_team_maximum(model, job))
			break;
		best = model_best_machine(model, job, zone, latest_end, estimate_s);
		if (best < 0) {
			no_capacity = true;
			break;
		}
		fetch = model_image_cached(job, &model->snapshot.machines[best])
		                ? 0
		                : job->image_gb / model->snapshot.machines[best].pull_gb_s;
		if (model_goes_first(job) && !job->gang && fetch > 4 && job->waited_s < fetch &&
		    model_request_one(model, job, false, true, NULL, 0)) {
			model->awaiting_image_count++;
			continue;
		}
		model->starts[model->start_count++] = (struct fl_sched_start){index, best};
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
	return no_capacity;
}

/* The job to be looked at next: by rank, then by the priority formula; -1: none is left. */
static int model_next_job(const struct model *model, const bool *examined, int *next_rank)
{
	int next = -1;
	double next_priority = 0;

	for (int i = 0; i < model->snapshot.job_count; i++) {
		const struct fl_sched_job *candidate = &model->snapshot.jobs[i];
		int rank = candidate->service && candidate->priority >= FL_URGENT ? 3
		           : !candidate->service && !candidate->begun && candidate->waited_s > 120
		                   ? 2
		           : candidate->within_guaranteed ? 1
		                                          : 0;
		double wait = fmax(candidate->waited_s, 0.1),
		       duration_s = candidate->estimate_s > 0 ? candidate->estimate_s : 3600;
		double weights[] = {0.1, 1, 10, 100};
		double priority = wait / 3600 * (1 + pow(wait / 120, 4)) * (3600 / duration_s) *
		                  (1 / sqrt(candidate->need.cpus * candidate->task_count / 32)) *
		                  weights[candidate->priority];

		if (examined[i])
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

void model_cycle(struct model *model)
{
	bool examined[JOBS_MAX] = {false};
	double latest_end[MACHINES_MAX];

	model->top_job = -1;
	for (int i = 0; i < model->snapshot.attempt_count; i++) {
		if (!model->snapshot.attempts[i].stopping)
			continue;
		model->freed_later[model->snapshot.attempts[i].machine][0] +=
			model->snapshot.attempts[i].used.cpus;
		model->freed_later[model->snapshot.attempts[i].machine][1] +=
			model->snapshot.attempts[i].used.gpus;
		model->freed_later[model->snapshot.attempts[i].machine][2] +=
			model->snapshot.attempts[i].used.ram_gb;
	}
	for (;;) {
		int next_rank = 0, next = model_next_job(model, examined, &next_rank);
		struct fl_sched_job *job;
		bool first, backfill;
		const double *latest_end_bound;
		double estimate_s;

		if (next < 0)
			return;
		examined[next] = true;
		job = &model->snapshot.jobs[next];
		if (job->startable_count == 0)
			continue;
		first = next_rank == 3;
		backfill = model->top_job >= 0 && !first;
		/* The top's window does not bind what may stop the top's tasks. */
		latest_end_bound =
			backfill && job->priority <= model->snapshot.jobs[model->top_job].priority
				? latest_end
				: NULL;
		estimate_s = job->estimate_s > 0 ? job->estimate_s : job->service ? INFINITY : 3600;
		if (!model_start_tasks(model, next, latest_end_bound, estimate_s))
			continue;
		model->unplaced_tasks[next] =
			job->startable_count - model->awaiting_image_count -
			model_request_all(model, next, latest_end_bound, estimate_s);
		if (model->unplaced_tasks[next] == 0 || model->top_job >= 0)
			continue;
		model->top_job = next;
		model->window_s = 4 * model_time_to_fit(model, job);
		if (job->window_left_s >= 0)
			model->window_s = fmin(model->window_s, job->window_left_s);
		for (int i = 0; i < model->snapshot.machine_count; i++)
			latest_end[i] = model_machine_allowed(job, &model->snapshot.machines[i])
			                        ? model->window_s
			                        : INFINITY;
	}
}
