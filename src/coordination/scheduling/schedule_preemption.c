/* Preemption: which attempts may be stopped for a job, and the requests for their resources. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

static const struct {
	double max_fetch_s, max_cached_loss_s, stop_cost_s;
} tunables = {
	.max_fetch_s = 4,        /* s; a longer fetch of an urgent service is worth a preemption */
	.max_cached_loss_s = 60, /* s of work that such a preemption may lose */
	.stop_cost_s = 1,        /* s that each stop costs beside the work it loses */
};

/* What entitles a job to preempt, in addition to its priority. */
enum entitlement {
	ENTITLED_BY_PRIORITY, /* nothing */
	ENTITLED_BY_GUARANTEE /* its team's guaranteed quota, against teams beyond theirs */
};

/* Which machines a request may choose. */
enum machine_choice {
	ANY_MACHINE,
	MACHINES_WITH_IMAGE /* and only at a small loss */
};

/* The terms of a request for resources. */
struct preemption_terms {
	enum entitlement entitlement;
	enum machine_choice choice;
	const double *max_duration_s; /* per machine; NULL: no bound */
};

/* The cheapest victims on a machine: the first `count` of cycle->victims. */
struct victim_selection {
	int count;
	double cost_s; /* INFINITY: the task would not fit even without them */
};

/*
 * Found in the simulated fault combinations: a standard array beyond its team's guaranteed quota
 * preempted a best-effort service within its own by priority, and that preempted the array by its
 * guarantee, 39 times in a row. A guarantee holds whatever the priority, so the first of the two
 * preemptions is forbidden. No service is preempted for a guarantee, so services may preempt by
 * priority all that is lower.
 */
static bool could_preempt_in_turn(const struct fl_sched_job *job,
                                  const struct fl_sched_attempt *attempt)
{
	return attempt->within_guaranteed && !job->within_guaranteed && !job->service &&
	       attempt->team != job->team;
}

/*
 * Whether a job within its team's guaranteed quota may preempt the attempt for that.
 *
 * An attempt that is itself within a guaranteed quota is exempt, though its team uses more besides:
 * found in the simulated fault combinations, it went first in the next cycle, and was preempted
 * again.
 */
static bool may_preempt_by_guarantee(const struct fl_sched_cycle *cycle,
                                     const struct fl_sched_job *job,
                                     const struct fl_sched_attempt *attempt)
{
	const struct fl_team *team = &cycle->input->teams[attempt->team];

	if (attempt->team == job->team || attempt->service || attempt->within_guaranteed)
		return false;
	return !fl_team_within_guaranteed(team, team->used_cpus, team->used_gpus);
}

/* Whether the job may preempt the attempt: by priority, or by its team's guaranteed quota. */
static bool may_preempt(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                        const struct fl_sched_attempt *attempt, enum entitlement entitlement)
{
	if (attempt->stopping || !attempt->preemptible)
		return false;
	if (attempt->last_running_task && job->priority < FL_URGENT)
		return false;
	if (attempt->priority < job->priority)
		return !could_preempt_in_turn(job, attempt);
	return entitlement == ENTITLED_BY_GUARANTEE &&
	       may_preempt_by_guarantee(cycle, job, attempt);
}

static int compare_losses(const void *left_item, const void *right_item, void *context)
{
	const struct fl_sched_input *input = context;
	int left_index = *(const int *)left_item, right_index = *(const int *)right_item;
	const struct fl_sched_attempt *left = &input->attempts[left_index];
	const struct fl_sched_attempt *right = &input->attempts[right_index];

	if (left->stop_loss_s != right->stop_loss_s)
		return left->stop_loss_s < right->stop_loss_s ? -1 : 1;
	return left_index - right_index;
}

/* Puts what the job may preempt on a machine into cycle->victims, the smallest loss first. */
static int collect_victims(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                           int machine_index, enum entitlement entitlement)
{
	int count = 0, *victims = cycle->victims;

	if (entitlement == ENTITLED_BY_PRIORITY &&
	    cycle->lowest_priority[machine_index] >= (int)job->priority)
		return 0;
	for (int k = cycle->first_attempt[machine_index];
	     k < cycle->first_attempt[machine_index + 1]; k++) {
		int attempt_index = cycle->attempts_by_machine[k];

		if (may_preempt(cycle, job, &cycle->input->attempts[attempt_index], entitlement))
			victims[count++] = attempt_index;
	}
	if (count > 1)
		qsort_r(victims, (size_t)count, sizeof(*victims), compare_losses, cycle->input);
	return count;
}

/* Selects the cheapest victims on one machine that let a task of the job fit there. */
static struct victim_selection select_victims(struct fl_sched_cycle *cycle,
                                              const struct fl_sched_job *job, int machine_index,
                                              enum entitlement entitlement)
{
	struct fl_resources available = fl_sched_available_resources(cycle, job, machine_index);
	int candidate_count = collect_victims(cycle, job, machine_index, entitlement);
	struct victim_selection selection = {0};

	while (selection.count < candidate_count && !fl_resources_fit(job->need, available)) {
		const struct fl_sched_attempt *victim =
			&cycle->input->attempts[cycle->victims[selection.count++]];

		fl_resources_add(&available, victim->used);
		selection.cost_s += victim->stop_loss_s + tunables.stop_cost_s;
	}
	if (!fl_resources_fit(job->need, available))
		selection.cost_s = INFINITY;
	return selection;
}

static void preempt_attempt(struct fl_sched_cycle *cycle, int attempt_index)
{
	struct fl_sched_attempt *attempt = &cycle->input->attempts[attempt_index];
	struct fl_sched_output *output = cycle->output;
	int *preemptions;

	preemptions = fl_array_grow(output->preemptions, output->preemption_count,
	                            &output->preemption_capacity, sizeof(*preemptions),
	                            FL_SCHED_FIRST_CAPACITY);
	if (!preemptions) {
		cycle->out_of_memory = true;
		return;
	}
	output->preemptions = preemptions;
	output->preemptions[output->preemption_count++] = attempt_index;
	attempt->stopping = true;
	fl_resources_add(&cycle->releasing[attempt->machine], attempt->used);
}

/* Whether the job may start on the machine by all but its resources. */
static bool may_start_on(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                         struct preemption_terms terms, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];

	if (!fl_sched_job_allows_machine(job, machine) ||
	    !fl_sched_job_allows_zone(job, machine->zone))
		return false;
	if (terms.choice == MACHINES_WITH_IMAGE && fl_sched_image_fetch_s(job, machine) > 0)
		return false;
	return !terms.max_duration_s || terms.max_duration_s[machine_index] >= job->estimate_s;
}

/* The cost of a request on one machine; INFINITY: not possible. */
static double preemption_cost(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                              struct preemption_terms terms, int machine_index)
{
	double cost_s;

	/* Where it may not start, a preemption would only free resources for others. */
	if (!may_start_on(cycle, job, terms, machine_index))
		return INFINITY;
	cost_s = select_victims(cycle, job, machine_index, terms.entitlement).cost_s;
	/* On most machines nothing can be freed: that saves the cost of the placement. */
	if (cost_s == INFINITY)
		return INFINITY;
	if (terms.choice == MACHINES_WITH_IMAGE && cost_s > tunables.max_cached_loss_s)
		return INFINITY;
	return cost_s +
	       fl_sched_placement_cost(cycle->input, job, &cycle->input->machines[machine_index]);
}

static void compute_preemption_costs(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                                     struct preemption_terms terms)
{
	cycle->output->machines_examined += cycle->input->machine_count;
	for (int i = 0; i < cycle->input->machine_count; i++)
		cycle->preemption_cost[i] = preemption_cost(cycle, job, terms, i);
}

/*
 * Reserves what one task of the job needs: no other job of this cycle may use it, the part that is
 * free already included.
 */
static void reserve(struct fl_sched_machine *machine, struct fl_sched_job *job,
                    enum entitlement entitlement)
{
	fl_resources_subtract(&machine->free, job->need);
	job->placed_by_zone[machine->zone]++;
	if (!machine->requested.active)
		machine->requested = (struct fl_reservation){
			.active = true,
			.within_guaranteed = entitlement == ENTITLED_BY_GUARANTEE,
			.priority = job->priority};
	fl_resources_add(&machine->requested.resources, job->need);
}

/*
 * Requests resources for one more task on the machine of the lowest cost: what is being freed
 * already, else that of the cheapest victims. The task starts in a later cycle, when the victims
 * are proven gone. False: no machine can give them.
 */
static bool request_preemption(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                               struct preemption_terms terms)
{
	int best = fl_sched_lowest_cost_index(cycle->preemption_cost, cycle->input->machine_count);
	struct victim_selection selection;

	if (best < 0)
		return false;
	selection = select_victims(cycle, job, best, terms.entitlement);
	for (int k = 0; k < selection.count; k++)
		preempt_attempt(cycle, cycle->victims[k]);
	reserve(&cycle->input->machines[best], job, terms.entitlement);
	if (fl_sched_cost_depends_on_zones(job))
		compute_preemption_costs(cycle, job, terms);
	else
		cycle->preemption_cost[best] = preemption_cost(cycle, job, terms, best);
	return true;
}

/*
 * A new service need not wait out a long fetch on a free machine, if another has its image and
 * little would be lost by a preemption there. That machine's resources are freed within a second or
 * so, long before the fetch could end; when they are not, the task starts on the free machine after
 * all.
 */
bool fl_sched_request_machine_with_image(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                                         int machine_index)
{
	double fetch_s = fl_sched_image_fetch_s(job, &cycle->input->machines[machine_index]);
	struct preemption_terms terms = {.choice = MACHINES_WITH_IMAGE};

	if (!fl_sched_is_urgent_service(job) || job->gang)
		return false;
	if (fetch_s <= tunables.max_fetch_s || job->waited_s >= fetch_s)
		return false;
	compute_preemption_costs(cycle, job, terms);
	return request_preemption(cycle, job, terms);
}

/* What entitles one more task of the job, the team's use so far included. */
static enum entitlement entitlement_of(const struct fl_sched_job *job, const struct fl_team *team)
{
	bool within = job->within_guaranteed &&
	              fl_team_within_guaranteed(team, team->used_cpus + job->need.cpus,
	                                        team->used_gpus + job->need.gpus);

	return within ? ENTITLED_BY_GUARANTEE : ENTITLED_BY_PRIORITY;
}

/*
 * Requests resources for tasks one by one, until none can be had; returns their number. The team's
 * use includes them meanwhile.
 */
static uint32_t request_each(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                             const double *max_duration_s)
{
	struct fl_team *team = &cycle->input->teams[job->team];
	struct preemption_terms terms = {.max_duration_s = max_duration_s};
	uint32_t requested = 0;
	bool costs_computed = false;

	while (requested < job->startable_count - cycle->tasks_awaiting_image &&
	       !cycle->out_of_memory) {
		enum entitlement entitlement = entitlement_of(job, team);

		if (!fl_sched_within_team_maximum(cycle->input, job))
			break;
		if (entitlement == ENTITLED_BY_PRIORITY && job->priority == FL_BEST_EFFORT)
			break;
		/*
		 * A request on one machine changes the cost on no other: they are all computed
		 * once a job, unless the entitlement changes.
		 */
		if (!costs_computed || terms.entitlement != entitlement) {
			terms.entitlement = entitlement;
			compute_preemption_costs(cycle, job, terms);
		}
		costs_computed = true;
		if (!request_preemption(cycle, job, terms))
			break;
		team->used_cpus += job->need.cpus;
		team->used_gpus += job->need.gpus;
		requested++;
	}
	return requested;
}

uint32_t fl_sched_request_preemptions(struct fl_sched_cycle *cycle, int job_index,
                                      const double *max_duration_s)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	struct fl_team *team = &cycle->input->teams[job->team];
	double used_cpus = team->used_cpus, used_gpus = team->used_gpus;
	uint32_t requested;

	/* A gang requests nothing: victims of some of it would free what it cannot use yet. */
	if (job->gang)
		return 0;
	requested = request_each(cycle, job, max_duration_s);
	team->used_cpus = used_cpus;
	team->used_gpus = used_gpus;
	return requested;
}
