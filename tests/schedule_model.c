/* The model's scheduling cycle: the order of the jobs, their starts, and their preemptions. */
#include "schedule_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum { OVERDUE_AFTER_S = 120, RANK_URGENT_SERVICE = 3 };

/* Returns the machine with the lowest cost on which one more task may start now; -1: none. */
static int model_best_machine(const struct model *model, const struct fl_sched_job *job, int zone,
                              const struct model_constraint *constraint)
{
	int best = -1;

	for (int i = 0; i < model->snapshot.machine_count; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];

		if (zone >= 0 && machine->zone != zone)
			continue;
		if (!model_machine_allowed(job, machine) || !model_task_fits(job, machine->free) ||
		    !model_zone_allowed(job, machine->zone) ||
		    !model_duration_allowed(constraint, i))
			continue;
		/* Resources reserved for a job that precedes this one are not available. */
		if (!model_task_fits(job, model_available_resources(model, job, i)))
			continue;
		if (best < 0 ||
		    model_placement_cost(model, job, machine) <
		            model_placement_cost(model, job, &model->snapshot.machines[best]))
			best = i;
	}
	return best;
}

/*
 * Returns whether a task of an urgent service waits for a machine that has its image cached, rather
 * than starting on this machine. If so, capacity has been requested there.
 */
static bool model_task_awaits_image(struct model *model, struct fl_sched_job *job,
                                    const struct fl_sched_machine *machine)
{
	const struct model_constraint constraint = {.image_cached_only = true};
	double fetch_s =
		model_image_cached(job, machine) ? 0 : job->image_gb / machine->pull_gb_per_s;

	return model_is_urgent_service(job) && !job->gang && fetch_s > 4 &&
	       job->waited_s < fetch_s && model_request_task_capacity(model, job, &constraint);
}

static void model_start_one_task(struct model *model, int job_index, int machine_index)
{
	struct fl_sched_job *job = &model->snapshot.jobs[job_index];
	struct fl_sched_machine *machine = &model->snapshot.machines[machine_index];
	struct fl_team *team = &model->snapshot.teams[job->team];

	model->starts[model->start_count++] = (struct fl_sched_start){job_index, machine_index};
	fl_resources_subtract(&machine->free, job->need);
	team->used_cpus += job->need.cpus;
	team->used_gpus += job->need.gpus;
	job->placed_by_zone[machine->zone]++;
	job->startable_count--;
}

/*
 * Starts the tasks that fit, at most one if `only_one_task` and the job is no gang. Returns whether
 * a remaining task found no machine.
 */
static bool model_start_fitting_tasks(struct model *model, int job_index,
                                      const struct model_constraint *constraint, bool only_one_task)
{
	struct fl_sched_job *job = &model->snapshot.jobs[job_index];
	const uint32_t startable_at_begin = job->startable_count;
	struct model *saved_model = NULL;
	int zone = model_zone_choice(model, job);
	bool no_machine = false;

	model->awaiting_image_count = 0;
	if (job->gang) {
		saved_model = malloc(sizeof(*saved_model));
		*saved_model = *model;
	}
	while (job->startable_count > model->awaiting_image_count &&
	       !(only_one_task && !job->gang && job->startable_count < startable_at_begin)) {
		int best;

		if (!model_within_team_maximum(model, job))
			break;
		best = model_best_machine(model, job, zone, constraint);
		no_machine = best < 0;
		if (no_machine)
			break;
		if (model_task_awaits_image(model, job, &model->snapshot.machines[best]))
			model->awaiting_image_count++;
		else
			model_start_one_task(model, job_index, best);
	}
	if (saved_model && job->startable_count > 0)
		*model = *saved_model;
	free(saved_model);
	return no_machine;
}

static bool model_is_overdue(const struct fl_sched_job *job)
{
	return !job->service && !job->begun && job->waited_s > OVERDUE_AFTER_S;
}

static int model_job_rank(const struct fl_sched_job *job)
{
	if (job->service && job->priority >= FL_URGENT)
		return RANK_URGENT_SERVICE;
	if (model_is_overdue(job))
		return 2;
	return job->within_guaranteed_quota || job->holds_guarantee ? 1 : 0;
}

/* Returns the priority of the paper that schedule.h cites, with a growing weight of the wait. */
static double model_effective_priority(const struct fl_sched_job *job)
{
	static const double weights[] = {0.1, 1, 10, 100};
	double waited_s = fmax(job->waited_s, 0.1);
	double duration_s = job->estimate_s > 0 ? job->estimate_s : 3600;

	return waited_s / 3600 * (1 + pow(waited_s / OVERDUE_AFTER_S, 4)) * (3600 / duration_s) *
	       (1 / sqrt(job->need.cpus * job->task_count / 32)) * weights[job->priority];
}

/* Returns the job to be considered next, by rank and then by priority; -1: none is left. */
static int model_next_job(const struct model *model, const bool *examined)
{
	int next = -1, next_rank = 0;
	double next_priority = 0;

	for (int i = 0; i < model->snapshot.job_count; i++) {
		const struct fl_sched_job *job = &model->snapshot.jobs[i];
		double priority = model_effective_priority(job);
		int rank = model_job_rank(job);

		if (examined[i])
			continue;
		if (next < 0 || rank > next_rank ||
		    (rank == next_rank && priority > next_priority)) {
			next = i;
			next_rank = rank;
			next_priority = priority;
		}
	}
	return next;
}

/*
 * Makes the job the top job. By the paper, a lower job may start if it ends within omega (4) times
 * the time until the top job can start: without limit, if no end of a task lets the top job start.
 * Of windows of the same top job the shortest counts. A machine limits lower jobs only if the top
 * job may use it and a task of the top job will fit there.
 */
static void model_set_top_job(struct model *model, int job_index, double *max_task_duration_s)
{
	const struct fl_sched_job *job = &model->snapshot.jobs[job_index];
	double time_to_fit_s = model_time_to_fit_s(model, job);

	model->top_job = job_index;
	model->window_s = INFINITY;
	if (time_to_fit_s < INFINITY)
		model->window_s = 4 * time_to_fit_s;
	if (time_to_fit_s < INFINITY && job->window_remaining_s >= 0)
		model->window_s = fmin(model->window_s, job->window_remaining_s);
	for (int i = 0; i < model->snapshot.machine_count; i++) {
		bool limited = model_machine_allowed(job, &model->snapshot.machines[i]) &&
		               model_task_will_fit(model, job, i);

		max_task_duration_s[i] = limited ? model->window_s : INFINITY;
	}
}

/*
 * No job may be left waiting for 90 s beside a machine with room. So a job of which nothing runs,
 * or a service, that has had room for 60 s, but for the window, gets one task, and a gang all.
 */
static void model_start_held_task(struct model *model, int job_index)
{
	const struct model_constraint no_limit = {0};

	if (model->snapshot.jobs[job_index].held_s >= 60)
		model_start_fitting_tasks(model, job_index, &no_limit, true);
}

/* Returns whether a task of the job, or the whole gang, could start but for the window. */
static bool model_could_start_without_window(const struct model *model, int job_index)
{
	const struct model_constraint no_limit = {0};
	struct model *copy = malloc(sizeof(*copy));
	bool could_start;

	*copy = *model;
	model_start_fitting_tasks(copy, job_index, &no_limit, true);
	could_start = copy->start_count > model->start_count;
	free(copy);
	return could_start;
}

static bool model_waits_with_nothing_placed(const struct fl_sched_job *job)
{
	uint32_t placed = job->placed_in_unknown_zone;

	for (int z = 0; z < FL_ZONES_MAX; z++)
		placed += job->placed_by_zone[z];
	return job->service || placed == 0;
}

static void model_place_job(struct model *model, int job_index, double *max_task_duration_s)
{
	struct fl_sched_job *job = &model->snapshot.jobs[job_index];
	struct model_constraint constraint = {.estimate_s = job->estimate_s > 0 ? job->estimate_s
	                                                    : job->service      ? INFINITY
	                                                                        : 3600};
	const int earlier_starts = model->start_count;

	/* The window of the top job does not limit jobs that may preempt the top job's tasks. */
	if (model->top_job >= 0 && model_job_rank(job) != RANK_URGENT_SERVICE &&
	    job->priority <= model->snapshot.jobs[model->top_job].priority) {
		constraint.max_task_duration_s = max_task_duration_s;
		model_start_held_task(model, job_index);
	}
	if (!model_start_fitting_tasks(model, job_index, &constraint, model_is_overdue(job)))
		return;
	model->held[job_index] = constraint.max_task_duration_s &&
	                         model->start_count == earlier_starts &&
	                         model_waits_with_nothing_placed(job) &&
	                         model_could_start_without_window(model, job_index);
	model->unplaced_tasks[job_index] = job->startable_count - model->awaiting_image_count -
	                                   model_request_job_capacity(model, job_index, constraint);
	if (model->unplaced_tasks[job_index] > 0 && model->top_job < 0)
		model_set_top_job(model, job_index, max_task_duration_s);
}

void model_run_cycle(struct model *model)
{
	bool examined[JOBS_MAX] = {false};
	double max_task_duration_s[MACHINES_MAX];
	int next;

	model->top_job = -1;
	for (int i = 0; i < model->snapshot.attempt_count; i++) {
		const struct fl_sched_attempt *attempt = &model->snapshot.attempts[i];

		if (attempt->stopping)
			fl_resources_add(&model->releasing_resources[attempt->machine],
			                 attempt->used);
	}
	while ((next = model_next_job(model, examined)) >= 0) {
		examined[next] = true;
		if (model->snapshot.jobs[next].startable_count > 0)
			model_place_job(model, next, max_task_duration_s);
	}
}
