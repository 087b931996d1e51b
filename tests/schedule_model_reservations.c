/* The reservations of the model: the machine for each, and the attempts preempted there. */
#include "schedule_model.h"

#include <math.h>
#include <string.h>

bool model_duration_allowed(const struct model_constraint *constraint, int machine)
{
	return !constraint->max_task_duration_s ||
	       constraint->estimate_s <= constraint->max_task_duration_s[machine];
}

/* Returns the preemptible attempt on a machine that would lose the least work; -1: none. */
static int model_cheapest_victim(const struct model *model, const struct fl_sched_job *job,
                                 int machine, bool within_guarantee, const bool *victims)
{
	int cheapest = -1;

	for (int i = 0; i < model->snapshot.attempt_count; i++) {
		const struct fl_sched_attempt *attempt = &model->snapshot.attempts[i];

		if (attempt->machine == machine && !victims[i] &&
		    model_may_preempt(model, job, attempt, within_guarantee) &&
		    (cheapest < 0 ||
		     attempt->stop_loss_s < model->snapshot.attempts[cheapest].stop_loss_s))
			cheapest = i;
	}
	return cheapest;
}

/* Returns the cost of freeing resources for a task on a machine; INFINITY: not possible. */
static double model_preemption_cost(const struct model *model, const struct fl_sched_job *job,
                                    int machine, bool within_guarantee, bool *victims)
{
	struct fl_resources available = model_available_resources(model, job, machine);
	double cost = 0;

	memset(victims, 0, sizeof(bool) * ATTEMPTS_MAX);
	while (!model_task_fits(job, available)) {
		int cheapest =
			model_cheapest_victim(model, job, machine, within_guarantee, victims);

		if (cheapest < 0)
			return INFINITY;
		victims[cheapest] = true;
		fl_resources_add(&available, model->snapshot.attempts[cheapest].used);
		cost += model->snapshot.attempts[cheapest].stop_loss_s + 1;
	}
	return cost;
}

/* Returns the machine with the lowest cost of preemption and placement of a task; -1: none. */
static int model_machine_to_reserve(const struct model *model, const struct fl_sched_job *job,
                                    const struct model_constraint *constraint)
{
	double best_cost = INFINITY;
	bool victims[ATTEMPTS_MAX];
	int best = -1;

	for (int i = 0; i < model->snapshot.machine_count; i++) {
		const struct fl_sched_machine *machine = &model->snapshot.machines[i];
		double cost;

		if (!model_machine_allowed(job, machine) ||
		    !model_zone_allowed(job, machine->zone) ||
		    !model_duration_allowed(constraint, i))
			continue;
		cost = model_preemption_cost(model, job, i, constraint->within_guarantee, victims);
		if (constraint->image_cached_only &&
		    (cost > 60 || (!model_image_cached(job, machine) && job->image_gb > 0)))
			continue;
		cost += model_placement_cost(model, job, machine);
		if (cost < best_cost) {
			best_cost = cost;
			best = i;
		}
	}
	return best;
}

/* Preempts the victims, the cheapest first, which is the order in which they were chosen. */
static void model_preempt_victims(struct model *model, int machine, bool *victims)
{
	for (;;) {
		int next = -1;

		for (int i = 0; i < model->snapshot.attempt_count; i++)
			if (victims[i] &&
			    (next < 0 || model->snapshot.attempts[i].stop_loss_s <
			                         model->snapshot.attempts[next].stop_loss_s))
				next = i;
		if (next < 0)
			return;
		victims[next] = false;
		model->preemptions[model->preemption_count++] = next;
		model->snapshot.attempts[next].stopping = true;
		fl_resources_add(&model->releasing_resources[machine],
		                 model->snapshot.attempts[next].used);
	}
}

bool model_request_task_capacity(struct model *model, struct fl_sched_job *job,
                                 const struct model_constraint *constraint)
{
	int best = model_machine_to_reserve(model, job, constraint);
	struct fl_sched_machine *machine = &model->snapshot.machines[best < 0 ? 0 : best];
	bool victims[ATTEMPTS_MAX];

	if (best < 0)
		return false;
	model_preemption_cost(model, job, best, constraint->within_guarantee, victims);
	model_preempt_victims(model, best, victims);
	fl_resources_subtract(&machine->free, job->need);
	job->placed_by_zone[machine->zone]++;
	if (!machine->requested.active) {
		machine->requested.active = true;
		machine->requested.by_guarantee = constraint->within_guarantee;
		machine->requested.priority = job->priority;
	}
	fl_resources_add(&machine->requested.resources, job->need);
	return true;
}

uint32_t model_request_job_capacity(struct model *model, int job_index,
                                    struct model_constraint constraint)
{
	struct fl_sched_job *job = &model->snapshot.jobs[job_index];
	struct fl_team saved_team = model->snapshot.teams[job->team],
		       *team = &model->snapshot.teams[job->team];
	uint32_t requested = 0;

	while (requested + model->awaiting_image_count < job->startable_count && !job->gang) {
		constraint.within_guarantee =
			job->holds_guarantee &&
			model_usage_within_guarantee(team, team->used_cpus + job->need.cpus,
		                                     team->used_gpus + job->need.gpus);
		if (!model_within_team_maximum(model, job) ||
		    (!constraint.within_guarantee && job->priority == FL_BEST_EFFORT) ||
		    !model_request_task_capacity(model, job, &constraint))
			break;
		team->used_cpus += job->need.cpus;
		team->used_gpus += job->need.gpus;
		requested++;
	}
	*team = saved_team;
	return requested;
}
