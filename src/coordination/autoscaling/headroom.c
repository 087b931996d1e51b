#include "coordination/autoscaling/headroom.h"

#include <math.h>

#include "coordination/node.h"

static const struct {
	double learn_s, spread;
} tunables = {
	.learn_s = 300.0, /* s over which the arrivals of services are counted */
	.spread = 2.0,    /* standard deviations of the arrivals while a machine boots, on top */
};

/* The headroom that is needed and that there is, in tasks of a model service. */
struct headroom {
	const struct fl_job *service;  /* the model */
	int shares;                    /* by zone, or 1: for all zones together */
	double needed;                 /* of each share */
	double capacity[FL_ZONES_MAX]; /* of each share */
};

/* Tasks of a service that could start on the machine at once, preempting what they may. */
static uint32_t service_capacity(const struct fl_machines *machines,
                                 const struct fl_machine *machine, const struct fl_job *service)
{
	struct fl_machine_kind kind = {machine->type, machine->zone, machine->spot};
	struct fl_resources available;

	if (machine->spot || machine->lifecycle.draining ||
	    !fl_autoscaler_job_allows_kind(service, kind))
		return 0;
	available = fl_machine_type_capacity(&machines->types[machine->type]);
	for (int i = 0; i < machine->assignment_count; i++) {
		const struct fl_job *job = machine->assignments[i].job;

		if (job->priority >= service->priority)
			fl_resources_subtract(&available, fl_job_need(job));
	}
	return fl_placement_capacity(fl_job_need(service), available);
}

/*
 * The newest of the services submitted in the last learn_s, the model for those to come, and how
 * many tasks all of them have; NULL: there was none.
 */
static const struct fl_job *recent_services(const struct fl_autoscaler_plan *plan,
                                            double *task_count)
{
	const struct fl_job *newest = NULL;
	struct fl_job *job, *next;

	*task_count = 0;
	HASH_ITER (hh, plan->cluster->jobs, job, next) {
		if (job->kind != FL_SERVICE || job->priority < FL_URGENT ||
		    plan->now_wall - job->submitted_wall > tunables.learn_s)
			continue;
		*task_count += job->task_count;
		if (!newest || job->submitted_wall > newest->submitted_wall)
			newest = job;
	}
	return newest;
}

/* Counts the machines that are up. */
static void add_machines(const struct fl_autoscaler_plan *plan, struct headroom *headroom)
{
	const struct fl_machines *machines = &plan->cluster->machines;

	for (int i = 0; i < machines->count; i++) {
		const struct fl_machine *machine = machines->by_id[i];

		if (machine->lifecycle.up && !machine->lifecycle.decommissioned &&
		    machine->described)
			headroom->capacity[machine->zone % headroom->shares] +=
				service_capacity(machines, machine, headroom->service);
	}
}

/* Counts what the plan has left on machines that boot or are to be rented. */
static void add_planned_machines(const struct fl_autoscaler_plan *plan, struct headroom *headroom)
{
	struct fl_resources need = fl_job_need(headroom->service);

	for (int i = 0; i < plan->planned_machine_count; i++) {
		const struct fl_planned_machine *planned = &plan->machines[i];

		if (!planned->kind.spot)
			headroom->capacity[planned->kind.zone % headroom->shares] +=
				fl_placement_capacity(need, planned->free);
	}
}

/* Rents until each share has the capacity that is needed. */
static void add_rentals(struct fl_autoscaler_plan *plan, struct headroom *headroom)
{
	struct fl_planned_job model = {.job = headroom->service};
	struct fl_resources need = fl_job_need(headroom->service);

	for (int z = 0; z < headroom->shares; z++) {
		int only_zone = headroom->shares > 1 ? z : FL_ANY_ZONE;

		while (headroom->capacity[z] < headroom->needed) {
			const struct fl_planned_machine *rental =
				fl_autoscaler_add_cheapest_rental(plan, &model, only_zone);

			if (!rental)
				break;
			headroom->capacity[z] += fmax(1, fl_placement_capacity(need, rental->free));
		}
	}
}

/*
 * A service should not wait for a machine to boot. As many tasks as arrived lately in one boot
 * time, and a spread more, must find capacity at once on machines that are up, be it by preempting
 * arrays.
 */
void fl_autoscaler_plan_headroom(struct fl_autoscaler_plan *plan)
{
	struct fl_autoscaler *autoscaler = plan->autoscaler;
	const struct fl_cluster *cluster = plan->cluster;
	struct headroom headroom = {0};
	double task_count, arrivals;

	autoscaler->headroom_share_count = 0;
	headroom.service = recent_services(plan, &task_count);
	if (!headroom.service || cluster->machines.type_count == 0)
		return;
	/* What must be apart needs capacity in each zone, also to replace what is lost in one. */
	headroom.shares = headroom.service->spread_zones ? cluster->zones.count : 1;
	autoscaler->headroom_share_count = headroom.shares;
	arrivals = task_count / tunables.learn_s * cluster->machines.types[0].ready_s;
	headroom.needed = ceil((arrivals + tunables.spread * sqrt(arrivals)) / headroom.shares);
	add_machines(plan, &headroom);
	for (int z = 0; z < headroom.shares; z++)
		autoscaler->headroom_surplus[z] = (int)(headroom.capacity[z] - headroom.needed);
	add_planned_machines(plan, &headroom);
	add_rentals(plan, &headroom);
}
