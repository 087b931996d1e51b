/* Preemption: which runs may be stopped for a job, and the requests for their room. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

static const struct {
	double fetch_wait_s, cached_loss_s, stop_cost_s;
} tunables = {
	.fetch_wait_s = 4,   /* s; a longer fetch of an urgent service is worth a stop elsewhere */
	.cached_loss_s = 60, /* s of work that such a stop may lose at most */
	.stop_cost_s = 1,    /* s that each stop costs beside the work it loses */
};

/* What entitles a job to preempt, beside its priority. */
enum entitlement {
	ENTITLED_BY_PRIORITY, /* nothing */
	ENTITLED_BY_GUARANTEE /* its team's guarantee, against teams beyond theirs */
};

/* Which machines a request may choose. */
enum machine_choice {
	ANY_MACHINE,
	MACHINES_WITH_IMAGE /* and only at a small loss */
};

/* The terms of a request for room. */
struct preemption_terms {
	enum entitlement entitlement;
	enum machine_choice choice;
	const double *must_end_by; /* per machine; NULL: no bound */
};

/*
 * Found in the simulated fault combinations: a standard array beyond its team's guarantee stopped a
 * best-effort service within its own by priority, and that stopped the array by its guarantee, 39
 * times in a row. A guarantee holds whatever the priority, so the first of the two stops goes. No
 * service is stopped for a guarantee, so services may stop by priority all that is lower.
 */
static bool could_preempt_in_turn(const struct fl_sched_job *job,
                                  const struct fl_sched_attempt *attempt)
{
	return attempt->within_guaranteed && !job->within_guaranteed && !job->service &&
	       attempt->team != job->team;
}

/* Whether `job` may stop `attempt`: by priority, or by its team's guarantee. */
static bool may_preempt(const struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                        const struct fl_sched_attempt *attempt, enum entitlement entitlement)
{
	const struct fl_team *team;

	if (attempt->stopping || !attempt->preemptible ||
	    (attempt->last_running_task && job->priority < FL_URGENT))
		return false;
	if (attempt->priority < job->priority)
		return !could_preempt_in_turn(job, attempt);
	/*
	 * A run that is itself within a guarantee is exempt, though its team uses more besides:
	 * found in the simulated fault combinations, it went first in the next pass, and was
	 * stopped again.
	 */
	if (entitlement != ENTITLED_BY_GUARANTEE || attempt->team == job->team ||
	    attempt->service || attempt->within_guaranteed)
		return false;
	team = &cycle->input->teams[attempt->team];
	return !fl_team_within_guaranteed(team, team->used_cpus, team->used_gpus);
}

static int compare_losses(const void *pa, const void *pb, void *context)
{
	const struct fl_sched_input *input = context;
	const struct fl_sched_attempt *left = &input->attempts[*(const int *)pa];
	const struct fl_sched_attempt *right = &input->attempts[*(const int *)pb];

	if (left->lost_s != right->lost_s)
		return left->lost_s < right->lost_s ? -1 : 1;
	return *(const int *)pa - *(const int *)pb;
}

/*
 * Selects the cheapest victims on one machine that make room, into pass->victims. Returns their
 * cost in seconds; INFINITY if there is no room even without them.
 */
static double select_victims(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                             int machine_index, enum entitlement entitlement, int *victim_count)
{
	struct fl_resources available = fl_sched_capacity_for(cycle, job, machine_index);
	double cpus = available.cpus, gpus = available.gpus, ram = available.ram_gb, cost = 0;
	int n = 0, used = 0, *victims = cycle->victims;
	bool none = entitlement == ENTITLED_BY_PRIORITY &&
	            cycle->lowest_priority[machine_index] >= (int)job->priority;
	int end = none ? cycle->first_attempt[machine_index]
	               : cycle->first_attempt[machine_index + 1];

	for (int k = cycle->first_attempt[machine_index]; k < end; k++)
		if (may_preempt(cycle, job, &cycle->input->attempts[cycle->attempts_by_machine[k]],
		                entitlement))
			victims[n++] = cycle->attempts_by_machine[k];
	if (n > 1)
		qsort_r(victims, (size_t)n, sizeof(*victims), compare_losses, cycle->input);
	while (used < n && !fl_sched_fits(job, cpus, gpus, ram)) {
		const struct fl_sched_attempt *attempt = &cycle->input->attempts[victims[used++]];

		cpus += attempt->used.cpus;
		gpus += attempt->used.gpus;
		ram += attempt->used.ram_gb;
		cost += attempt->lost_s + tunables.stop_cost_s;
	}
	*victim_count = used;
	return fl_sched_fits(job, cpus, gpus, ram) ? cost : INFINITY;
}

static void preempt_attempt(struct fl_sched_cycle *cycle, int attempt_index)
{
	struct fl_sched_attempt *attempt = &cycle->input->attempts[attempt_index];

	if (!fl_sched_grow((void **)&cycle->output->preemptions, cycle->output->preemption_count,
	                   &cycle->output->preemption_capacity,
	                   sizeof(*cycle->output->preemptions))) {
		cycle->failed = true;
		return;
	}
	cycle->output->preemptions[cycle->output->preemption_count++] = attempt_index;
	attempt->stopping = true;
	cycle->releasing_cpus[attempt->machine] += attempt->used.cpus;
	cycle->releasing_gpus[attempt->machine] += attempt->used.gpus;
	cycle->releasing_ram_gb[attempt->machine] += attempt->used.ram_gb;
}

static double preemption_cost(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                              struct preemption_terms terms, int machine_index)
{
	const struct fl_sched_machine *machine = &cycle->input->machines[machine_index];
	double cost;
	int victim_count;

	/* Where it may not start, a stop would only make room for others. */
	if (!fl_sched_allowed(job, machine) || !fl_sched_zone_allows(job, machine->zone) ||
	    (terms.choice == MACHINES_WITH_IMAGE && fl_sched_image_fetch_s(job, machine) > 0) ||
	    (terms.must_end_by && terms.must_end_by[machine_index] < job->estimate_s))
		return INFINITY;
	cost = select_victims(cycle, job, machine_index, terms.entitlement, &victim_count);
	/* Mostly there is no room to be made, and what a place would be worth need not be known. */
	if (cost == INFINITY ||
	    (terms.choice == MACHINES_WITH_IMAGE && cost > tunables.cached_loss_s))
		return INFINITY;
	return cost + fl_sched_placement_cost(cycle->input, job, machine);
}

static void compute_preemption_costs(struct fl_sched_cycle *cycle, const struct fl_sched_job *job,
                                     struct preemption_terms terms)
{
	cycle->output->machines_examined += cycle->input->machine_count;
	for (int i = 0; i < cycle->input->machine_count; i++)
		cycle->preemption_cost[i] = preemption_cost(cycle, job, terms, i);
}

/*
 * Reserves room for one more task on the machine of the lowest cost: what is being freed already,
 * else that of the cheapest victims. The task starts in a later pass, when the victims are proven
 * gone.
 */
static bool request_preemption(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                               struct preemption_terms terms)
{
	int best = fl_sched_lowest_cost(cycle->preemption_cost, cycle->input->machine_count),
	    victim_count;
	struct fl_sched_machine *machine;

	if (best < 0)
		return false;
	machine = &cycle->input->machines[best];
	select_victims(cycle, job, best, terms.entitlement, &victim_count);
	for (int k = 0; k < victim_count; k++)
		preempt_attempt(cycle, cycle->victims[k]);
	/* No other job of this pass may use it, its free part included. */
	machine->free.cpus -= job->need.cpus;
	machine->free.gpus -= job->need.gpus;
	machine->free.ram_gb -= job->need.ram_gb;
	job->placed_by_zone[machine->zone]++;
	if (!machine->requested.active)
		machine->requested = (struct fl_reservation){
			.active = true,
			.within_guaranteed = terms.entitlement == ENTITLED_BY_GUARANTEE,
			.priority = job->priority};
	machine->requested.resources.cpus += job->need.cpus;
	machine->requested.resources.gpus += job->need.gpus;
	machine->requested.resources.ram_gb += job->need.ram_gb;
	if (fl_sched_depends_on_zones(job))
		compute_preemption_costs(cycle, job, terms);
	else
		cycle->preemption_cost[best] = preemption_cost(cycle, job, terms, best);
	return true;
}

/*
 * A new service need not wait out a long fetch_s on a free machine, if another has its image and
 * little would be lost by a stop there. That room is freed within a second or so, long before the
 * fetch_s could end; when it is not, the free machine is taken after all.
 */
bool fl_sched_wait_for_cached_image(struct fl_sched_cycle *cycle, struct fl_sched_job *job,
                                    int machine_index)
{
	double fetch_s = fl_sched_image_fetch_s(job, &cycle->input->machines[machine_index]);
	struct preemption_terms terms = {.choice = MACHINES_WITH_IMAGE};

	if (!fl_sched_precedes_arrays(job) || job->gang || fetch_s <= tunables.fetch_wait_s ||
	    job->waited_s >= fetch_s)
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

uint32_t fl_sched_request_preemptions(struct fl_sched_cycle *cycle, int job_index,
                                      const double *must_end_by)
{
	struct fl_sched_job *job = &cycle->input->jobs[job_index];
	struct fl_team *team = &cycle->input->teams[job->team];
	double cpus = team->used_cpus, gpus = team->used_gpus;
	uint32_t requested = 0;
	struct preemption_terms terms = {.must_end_by = must_end_by};
	bool rated = false;

	/* A gang requests nothing: stops for some of it would free room it cannot use yet. */
	while (requested < job->startable_count - cycle->tasks_awaiting_image && !job->gang &&
	       !cycle->failed) {
		enum entitlement entitlement = entitlement_of(job, team);

		if (!fl_sched_team_allows(cycle->input, job) ||
		    (entitlement == ENTITLED_BY_PRIORITY && job->priority == FL_BEST_EFFORT))
			break;
		/* A request on one machine changes the cost on no other: all are rated once a job.
		 */
		if (!rated || terms.entitlement != entitlement) {
			terms.entitlement = entitlement;
			compute_preemption_costs(cycle, job, terms);
		}
		rated = true;
		if (!request_preemption(cycle, job, terms))
			break;
		team->used_cpus += job->need.cpus;
		team->used_gpus += job->need.gpus;
		requested++;
	}
	team->used_cpus = cpus;
	team->used_gpus = gpus;
	return requested;
}
