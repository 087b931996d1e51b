/* Preemption: which attempts may be stopped for a job, and how their resources are requested. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

static const struct {
	double max_fetch_s, max_cached_loss_s, stop_cost_s;
} tunables = {
	.max_fetch_s = 4,        /* an urgent service may preempt to avoid a longer image fetch */
	.max_cached_loss_s = 60, /* work that such a preemption may lose */
	.stop_cost_s = 1,        /* cost of each stop in addition to the lost work */
};

/* What entitles a job to preempt, in addition to its priority. */
enum entitlement {
	ENTITLED_BY_PRIORITY, /* nothing else */
	ENTITLED_BY_GUARANTEE /* its team's guaranteed quota, against teams that exceed theirs */
};

/* Which machines a request may use. */
enum machine_choice {
	ANY_MACHINE,
	MACHINES_WITH_IMAGE /* with the job's image cached, and only if little work is lost */
};

/* The terms of a request for resources by preemption. */
struct preemption_request {
	enum entitlement entitlement;
	enum machine_choice choice;
	const double *max_duration_s; /* per machine; NULL: no limit */
};

/* The cheapest victims on a machine: the first `count` entries of cycle->victims. */
struct victim_selection {
	int count;
	double cost_s; /* INFINITY: the task would not fit even without the victims */
};

/*
 * The classes of preemption, lowest first. An attempt is preempted only for a job of the same class
 * and a higher priority, or of a higher class. Class and priority thus only rise on a machine by
 * preemption, so an exchange of jobs in which each is preempted for the next one must end: see
 * "Preemption ends" in docs/design.md.
 */
enum preemption_class {
	CLASS_OTHER,
	CLASS_GUARANTEED,      /* holds its team's guarantee */
	CLASS_CRITICAL_SERVICE /* nothing may preempt it */
};

static enum preemption_class preemption_class(bool service, enum fl_priority priority,
                                              bool holds_guarantee)
{
	if (service && priority == FL_CRITICAL)
		return CLASS_CRITICAL_SERVICE;
	return holds_guarantee ? CLASS_GUARANTEED : CLASS_OTHER;
}

static enum preemption_class class_of_job(const struct fl_sched_job *job)
{
	return preemption_class(job->service, job->priority, job->holds_guarantee);
}

static enum preemption_class class_of_attempt(const struct fl_sched_attempt *attempt)
{
	return preemption_class(attempt->service, attempt->priority, attempt->holds_guarantee);
}

/*
 * Returns whether a job that holds its team's guarantee may preempt the attempt by it, regardless
 * of the priorities. Services are exempt.
 */
static bool may_preempt_by_guarantee(const struct fl_sched_cycle *cycle,
                                     const struct fl_sched_job *job,
                                     const struct fl_sched_attempt *attempt)
{
	const struct fl_team *team = &cycle->input->teams[attempt->team];

	if (attempt->team == job->team || attempt->service ||
	    class_of_attempt(attempt) != CLASS_OTHER)
		return false;
	return !fl_team_fits_guaranteed_quota(team, team->used_cpus, team->used_gpus);
}

/* Returns whether the job may preempt the attempt, by priority or by its team's guarantee. */
static bool may_preempt(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                        const struct fl_sched_attempt *attempt, enum entitlement entitlement)
{
	if (attempt->stopping || !attempt->preemptible)
		return false;
	if (attempt->last_running_task && job->priority < FL_URGENT)
		return false;
	if (class_of_job(job) < class_of_attempt(attempt))
		return false;
	if (attempt->priority < job->priority)
		return true;
	return entitlement == ENTITLED_BY_GUARANTEE &&
	       may_preempt_by_guarantee(cycle, job, attempt);
}

static int compare_stop_losses(const void *left_item, const void *right_item, void *context)
{
	const struct fl_sched_input *input = context;
	int left_index = *(const int *)left_item, right_index = *(const int *)right_item;
	const struct fl_sched_attempt *left = &input->attempts[left_index];
	const struct fl_sched_attempt *right = &input->attempts[right_index];

	if (left->stop_loss_s != right->stop_loss_s)
		return left->stop_loss_s < right->stop_loss_s ? -1 : 1;
	return left_index - right_index;
}

/*
 * Stores the attempts on a machine that the job may preempt in cycle->victims, the smallest loss
 * first; returns their number.
 */
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
		qsort_r(victims, (size_t)count, sizeof(*victims), compare_stop_losses,
		        cycle->input);
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

/* Returns whether the job may start on the machine, apart from the resources. */
static bool constraints_allow_start(const struct fl_sched_cycle *cycle,
                                    const struct fl_sched_job *job,
                                    struct preemption_request request, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];

	if (!fl_sched_job_allows_machine(job, machine) ||
	    !fl_sched_job_allows_zone(job, machine->zone))
		return false;
	if (request.choice == MACHINES_WITH_IMAGE && fl_sched_image_fetch_s(job, machine) > 0)
		return false;
	return !request.max_duration_s || request.max_duration_s[machine_index] >= job->estimate_s;
}

/* Returns the cost of a request on one machine; INFINITY: not possible. */
static double preemption_cost(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                              struct preemption_request request, int machine_index)
{
	double cost_s;

	/* Where the job may not start, a preemption would only free resources for other jobs. */
	if (!constraints_allow_start(cycle, job, request, machine_index))
		return INFINITY;
	cost_s = select_victims(cycle, job, machine_index, request.entitlement).cost_s;
	/* On most machines nothing can be freed: this return saves computing the placement cost. */
	if (cost_s == INFINITY)
		return INFINITY;
	if (request.choice == MACHINES_WITH_IMAGE && cost_s > tunables.max_cached_loss_s)
		return INFINITY;
	return cost_s +
	       fl_sched_placement_cost(cycle->input, job, &cycle->input->machines[machine_index]);
}

static void compute_preemption_costs(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                                     struct preemption_request request)
{
	cycle->output->machines_examined += cycle->input->machine_count;
	for (int i = 0; i < cycle->input->machine_count; i++)
		cycle->preemption_cost[i] = preemption_cost(cycle, job, request, i);
}

/*
 * Reserves the resources of one task: no other job of this cycle may use them, including the part
 * that is already free.
 */
static void reserve_resources(struct fl_sched_machine *machine, struct fl_sched_job *job,
                              enum entitlement entitlement)
{
	fl_resources_subtract(&machine->free, job->need);
	job->placed_by_zone[machine->zone]++;
	if (!machine->requested.active)
		machine->requested = (struct fl_reservation){.active = true,
		                                             .by_guarantee = entitlement ==
		                                                             ENTITLED_BY_GUARANTEE,
		                                             .priority = job->priority};
	fl_resources_add(&machine->requested.resources, job->need);
}

/*
 * Requests resources for one more task on the machine of the lowest cost: resources that are being
 * freed already, otherwise those of the cheapest victims. The task starts in a later cycle, when
 * the victims are proven gone. Returns false if no machine can provide the resources.
 */
static bool request_preemption(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                               struct preemption_request request)
{
	int best = fl_sched_lowest_cost_index(cycle->preemption_cost, cycle->input->machine_count);
	struct victim_selection selection;

	if (best < 0)
		return false;
	selection = select_victims(cycle, job, best, request.entitlement);
	for (int k = 0; k < selection.count; k++)
		preempt_attempt(cycle, cycle->victims[k]);
	reserve_resources(&cycle->input->machines[best], job, request.entitlement);
	if (fl_sched_cost_depends_on_zones(job))
		compute_preemption_costs(cycle, job, request);
	else
		cycle->preemption_cost[best] = preemption_cost(cycle, job, request, best);
	return true;
}

/*
 * A new service need not wait for a long image fetch on a free machine if another machine has the
 * image cached and a preemption there would lose little work. The resources there are freed within
 * about a second, long before the fetch could end; if they are not, the task starts on the free
 * machine after all.
 */
bool fl_sched_request_machine_with_image(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                                         int machine_index)
{
	double fetch_s = fl_sched_image_fetch_s(job, &cycle->input->machines[machine_index]);
	struct preemption_request request = {.choice = MACHINES_WITH_IMAGE};

	if (!fl_sched_is_urgent_service(job) || job->gang)
		return false;
	if (fetch_s <= tunables.max_fetch_s || job->waited_s >= fetch_s)
		return false;
	compute_preemption_costs(cycle, job, request);
	return request_preemption(cycle, job, request);
}

/* Returns what entitles one more task of the job to preempt, given the team's usage so far. */
static enum entitlement next_task_entitlement(const struct fl_sched_job *job,
                                              const struct fl_team *team)
{
	bool within = job->holds_guarantee &&
	              fl_team_fits_guaranteed_quota(team, team->used_cpus + job->need.cpus,
	                                            team->used_gpus + job->need.gpus);

	return within ? ENTITLED_BY_GUARANTEE : ENTITLED_BY_PRIORITY;
}

/*
 * Requests resources for tasks one by one, until no machine can provide them; returns the number of
 * tasks. Adds these tasks to the team's usage; the caller restores it.
 */
static uint32_t request_tasks_one_by_one(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                                         const double *max_duration_s)
{
	struct fl_team *team = &cycle->input->teams[job->team];
	struct preemption_request request = {.max_duration_s = max_duration_s};
	uint32_t requested = 0;
	bool costs_computed = false;

	while (requested < job->startable_count - cycle->tasks_awaiting_image &&
	       !cycle->out_of_memory) {
		enum entitlement entitlement = next_task_entitlement(job, team);

		if (!fl_sched_within_team_maximum(cycle->input, job))
			break;
		if (entitlement == ENTITLED_BY_PRIORITY && job->priority == FL_BEST_EFFORT)
			break;
		/*
		 * A request on one machine does not change the cost of any other machine, unless
		 * costs depend on zones (request_preemption then updates all): the costs are
		 * computed once per job, and again if the entitlement changes.
		 */
		if (!costs_computed || request.entitlement != entitlement) {
			request.entitlement = entitlement;
			compute_preemption_costs(cycle, job, request);
		}
		costs_computed = true;
		if (!request_preemption(cycle, job, request))
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

	/*
	 * A gang requests nothing: victims for a part of it would free resources that it cannot use
	 * yet.
	 */
	if (job->gang)
		return 0;
	requested = request_tasks_one_by_one(cycle, job, max_duration_s);
	team->used_cpus = used_cpus;
	team->used_gpus = used_gpus;
	return requested;
}
