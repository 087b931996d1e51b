/* Preemption: which runs may be stopped for a job, and the requests for their room. */
#include "coordination/schedule_internal.h"

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
static bool could_preempt_in_turn(const struct fl_sched_job *job, const struct fl_sched_run *run)
{
	return run->within_guaranteed && !job->within_guaranteed && !job->service &&
	       run->team != job->team;
}

/* Whether `job` may stop `run`: by priority, or by its team's guarantee. */
static bool may_preempt(const struct fl_sched_pass *pass, const struct fl_sched_job *job,
                        const struct fl_sched_run *run, enum entitlement entitlement)
{
	const struct fl_team *team;

	if (run->stopping || !run->movable || (run->last_running_task && job->priority < FL_URGENT))
		return false;
	if (run->priority < job->priority)
		return !could_preempt_in_turn(job, run);
	/*
	 * A run that is itself within a guarantee is exempt, though its team uses more besides:
	 * found in the simulated fault combinations, it went first in the next pass, and was
	 * stopped again.
	 */
	if (entitlement != ENTITLED_BY_GUARANTEE || run->team == job->team || run->service ||
	    run->within_guaranteed)
		return false;
	team = &pass->in->teams[run->team];
	return !fl_team_within_guaranteed(team, team->used_cpus, team->used_gpus);
}

static int compare_losses(const void *pa, const void *pb, void *ctx)
{
	const struct fl_sched_in *in = ctx;
	const struct fl_sched_run *a = &in->runs[*(const int *)pa];
	const struct fl_sched_run *b = &in->runs[*(const int *)pb];

	if (a->lost_s != b->lost_s)
		return a->lost_s < b->lost_s ? -1 : 1;
	return *(const int *)pa - *(const int *)pb;
}

/*
 * Selects the cheapest victims on one machine that make room, into pass->victims. Returns their
 * cost in seconds; INFINITY if there is no room even without them.
 */
static double select_victims(struct fl_sched_pass *pass, const struct fl_sched_job *job,
                             int machine_index, enum entitlement entitlement, int *n_victims)
{
	struct fl_resources room = fl_sched_room_for(pass, job, machine_index);
	double cpus = room.cpus, gpus = room.gpus, ram = room.ram_gb, cost = 0;
	int n = 0, used = 0, *victims = pass->victims;
	bool none = entitlement == ENTITLED_BY_PRIORITY &&
	            pass->lowest_priority[machine_index] >= (int)job->priority;
	int end = none ? pass->first_run[machine_index] : pass->first_run[machine_index + 1];

	for (int k = pass->first_run[machine_index]; k < end; k++)
		if (may_preempt(pass, job, &pass->in->runs[pass->run_by_machine[k]], entitlement))
			victims[n++] = pass->run_by_machine[k];
	if (n > 1)
		qsort_r(victims, (size_t)n, sizeof(*victims), compare_losses, pass->in);
	while (used < n && !fl_sched_fits(job, cpus, gpus, ram)) {
		const struct fl_sched_run *run = &pass->in->runs[victims[used++]];

		cpus += run->cpus;
		gpus += run->gpus;
		ram += run->ram_gb;
		cost += run->lost_s + tunables.stop_cost_s;
	}
	*n_victims = used;
	return fl_sched_fits(job, cpus, gpus, ram) ? cost : INFINITY;
}

static void preempt_run(struct fl_sched_pass *pass, int run_index)
{
	struct fl_sched_run *run = &pass->in->runs[run_index];

	if (!fl_sched_grow((void **)&pass->out->stops, pass->out->n_stops, &pass->out->cap_stops,
	                   sizeof(*pass->out->stops))) {
		pass->failed = true;
		return;
	}
	pass->out->stops[pass->out->n_stops++] = run_index;
	run->stopping = true;
	pass->releasing_cpus[run->machine] += run->cpus;
	pass->releasing_gpus[run->machine] += run->gpus;
	pass->releasing_ram_gb[run->machine] += run->ram_gb;
}

static double rate_preemption(struct fl_sched_pass *pass, const struct fl_sched_job *job,
                              struct preemption_terms terms, int machine_index)
{
	const struct fl_sched_machine *machine = &pass->in->machines[machine_index];
	double cost;
	int n_victims;

	/* Where it may not start, a stop would only make room for others. */
	if (!fl_sched_allowed(job, machine) || !fl_sched_zone_allows(job, machine->zone) ||
	    (terms.choice == MACHINES_WITH_IMAGE && fl_sched_fetch_s(job, machine) > 0) ||
	    (terms.must_end_by && terms.must_end_by[machine_index] < job->estimate_s))
		return INFINITY;
	cost = select_victims(pass, job, machine_index, terms.entitlement, &n_victims);
	/* Mostly there is no room to be made, and what a place would be worth need not be known. */
	if (cost == INFINITY ||
	    (terms.choice == MACHINES_WITH_IMAGE && cost > tunables.cached_loss_s))
		return INFINITY;
	return cost + fl_sched_placement_cost(pass->in, job, machine);
}

static void rate_preemptions(struct fl_sched_pass *pass, const struct fl_sched_job *job,
                             struct preemption_terms terms)
{
	pass->out->looks += pass->in->n_machines;
	for (int i = 0; i < pass->in->n_machines; i++)
		pass->preemption_cost[i] = rate_preemption(pass, job, terms, i);
}

/*
 * Reserves room for one more task on the machine of the lowest cost: what is being freed already,
 * else that of the cheapest victims. The task starts in a later pass, when the victims are proven
 * gone.
 */
static bool request_preemption(struct fl_sched_pass *pass, struct fl_sched_job *job,
                               struct preemption_terms terms)
{
	int best = fl_sched_lowest(pass->preemption_cost, pass->in->n_machines), n_victims;
	struct fl_sched_machine *machine;

	if (best < 0)
		return false;
	machine = &pass->in->machines[best];
	select_victims(pass, job, best, terms.entitlement, &n_victims);
	for (int k = 0; k < n_victims; k++)
		preempt_run(pass, pass->victims[k]);
	/* No other job of this pass may use it, its free part included. */
	machine->cpus -= job->cpus;
	machine->gpus -= job->gpus;
	machine->ram_gb -= job->ram_gb;
	job->placed_by_zone[machine->zone]++;
	if (!machine->requested.made)
		machine->requested = (struct fl_reservation){
			.made = true,
			.within_guaranteed = terms.entitlement == ENTITLED_BY_GUARANTEE,
			.priority = job->priority};
	machine->requested.cpus += job->cpus;
	machine->requested.gpus += job->gpus;
	machine->requested.ram_gb += job->ram_gb;
	if (fl_sched_depends_on_zones(job))
		rate_preemptions(pass, job, terms);
	else
		pass->preemption_cost[best] = rate_preemption(pass, job, terms, best);
	return true;
}

/*
 * A new service need not wait out a long fetch_s on a free machine, if another has its image and
 * little would be lost by a stop there. That room is freed within a second or so, long before the
 * fetch_s could end; when it is not, the free machine is taken after all.
 */
bool fl_sched_wait_for_cached_image(struct fl_sched_pass *pass, struct fl_sched_job *job,
                                    int machine_index)
{
	double fetch_s = fl_sched_fetch_s(job, &pass->in->machines[machine_index]);
	struct preemption_terms terms = {.choice = MACHINES_WITH_IMAGE};

	if (!fl_sched_precedes_arrays(job) || job->gang || fetch_s <= tunables.fetch_wait_s ||
	    job->waited_s >= fetch_s)
		return false;
	rate_preemptions(pass, job, terms);
	return request_preemption(pass, job, terms);
}

/* What entitles one more task of the job, the team's use so far included. */
static enum entitlement entitlement_of(const struct fl_sched_job *job, const struct fl_team *team)
{
	bool within = job->within_guaranteed &&
	              fl_team_within_guaranteed(team, team->used_cpus + job->cpus,
	                                        team->used_gpus + job->gpus);

	return within ? ENTITLED_BY_GUARANTEE : ENTITLED_BY_PRIORITY;
}

uint32_t fl_sched_request_preemptions(struct fl_sched_pass *pass, int job_index,
                                      const double *must_end_by)
{
	struct fl_sched_job *job = &pass->in->jobs[job_index];
	struct fl_team *team = &pass->in->teams[job->team];
	double cpus = team->used_cpus, gpus = team->used_gpus;
	uint32_t requested = 0;
	struct preemption_terms terms = {.must_end_by = must_end_by};
	bool rated = false;

	/* A gang requests nothing: stops for some of it would free room it cannot use yet. */
	while (requested < job->waiting - pass->awaiting_image && !job->gang && !pass->failed) {
		enum entitlement entitlement = entitlement_of(job, team);

		if (!fl_sched_team_allows(pass->in, job) ||
		    (entitlement == ENTITLED_BY_PRIORITY && job->priority == FL_BEST_EFFORT))
			break;
		/* A request on one machine changes the cost on no other: all are rated once a job.
		 */
		if (!rated || terms.entitlement != entitlement) {
			terms.entitlement = entitlement;
			rate_preemptions(pass, job, terms);
		}
		rated = true;
		if (!request_preemption(pass, job, terms))
			break;
		team->used_cpus += job->cpus;
		team->used_gpus += job->gpus;
		requested++;
	}
	team->used_cpus = cpus;
	team->used_gpus = gpus;
	return requested;
}
