#include "coordination/autoscaling/headroom.h"

#include <math.h>

#include "coordination/node.h"

static const struct {
	double arrival_window_s, margin_std_devs;
} tunables = {
	.arrival_window_s = 300.0, /* time over which the arrivals of services are counted */
	.margin_std_devs = 2.0,    /* margin above the mean arrivals in one boot time */
};

/* The headroom that is needed and that is available, in tasks of a model service. */
struct headroom {
	const struct fl_job *service;  /* the model service */
	int share_count;               /* one per zone, or 1 for all zones together */
	double needed;                 /* tasks of each share */
	double capacity[FL_ZONES_MAX]; /* tasks of each share */
};

/*
 * Returns how many tasks of the service could start on the machine at once. Resources of
 * lower-priority tasks count as available, since the service may preempt them.
 */
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
			fl_resources_subtract(&available, fl_job_task_resources(job));
	}
	return fl_fitting_task_count(fl_job_task_resources(service), available);
}

/*
 * Returns the newest urgent or critical service submitted within arrival_window_s, which is the
 * model for future services; NULL if there is none. Stores the number of tasks of all such services
 * in `*task_count`.
 */
static const struct fl_job *newest_recent_service(const struct fl_autoscaler_plan *plan,
                                                  double *task_count)
{
	const struct fl_job *newest = NULL;
	struct fl_job *job, *next;

	*task_count = 0;
	HASH_ITER (hh, plan->cluster->jobs, job, next) {
		if (job->kind != FL_SERVICE || job->priority < FL_URGENT ||
		    plan->now_wall - job->submitted_wall > tunables.arrival_window_s)
			continue;
		*task_count += job->task_count;
		if (!newest || job->submitted_wall > newest->submitted_wall)
			newest = job;
	}
	return newest;
}

/* Adds the capacity of the machines that are up. */
static void add_running_machines(const struct fl_autoscaler_plan *plan, struct headroom *headroom)
{
	const struct fl_machines *machines = &plan->cluster->machines;

	for (int i = 0; i < machines->count; i++) {
		const struct fl_machine *machine = machines->by_id[i];

		if (machine->lifecycle.up && !machine->lifecycle.decommissioned &&
		    machine->described)
			headroom->capacity[machine->zone % headroom->share_count] +=
				service_capacity(machines, machine, headroom->service);
	}
}

/* Adds the capacity that the plan leaves on booting machines and planned rentals. */
static void add_planned_machines(const struct fl_autoscaler_plan *plan, struct headroom *headroom)
{
	struct fl_resources need = fl_job_task_resources(headroom->service);

	for (int i = 0; i < plan->planned_machine_count; i++) {
		const struct fl_planned_machine *planned = &plan->machines[i];

		if (!planned->kind.spot)
			headroom->capacity[planned->kind.zone % headroom->share_count] +=
				fl_fitting_task_count(need, planned->free);
	}
}

/* Adds rentals until each share has the needed capacity. */
static void add_rentals(struct fl_autoscaler_plan *plan, struct headroom *headroom)
{
	struct fl_planned_job model = {.job = headroom->service};
	struct fl_resources need = fl_job_task_resources(headroom->service);

	for (int z = 0; z < headroom->share_count; z++) {
		int only_zone = headroom->share_count > 1 ? z : FL_ANY_ZONE;

		while (headroom->capacity[z] < headroom->needed) {
			const struct fl_planned_machine *rental =
				fl_autoscaler_add_cheapest_rental(plan, &model, only_zone);

			if (!rental)
				break;
			headroom->capacity[z] += fmax(1, fl_fitting_task_count(need, rental->free));
		}
	}
}

/*
 * A service should not wait for a machine to boot. The capacity needed is the recent average number
 * of tasks that arrive in one boot time, plus a margin; resources of lower-priority tasks, which
 * the service may preempt, count as capacity. The surplus counts only machines that are up; booting
 * machines and planned rentals count as well before rentals for headroom are added.
 */
void fl_autoscaler_plan_headroom(struct fl_autoscaler_plan *plan)
{
	struct fl_autoscaler *autoscaler = plan->autoscaler;
	const struct fl_cluster *cluster = plan->cluster;
	struct headroom headroom = {0};
	double task_count, arrivals;

	autoscaler->headroom_share_count = 0;
	headroom.service = newest_recent_service(plan, &task_count);
	if (!headroom.service || cluster->machines.type_count == 0)
		return;
	/* A service spread over zones needs headroom in each, also to replace lost replicas. */
	headroom.share_count = headroom.service->spread_zones ? cluster->zones.count : 1;
	autoscaler->headroom_share_count = headroom.share_count;
	arrivals = task_count / tunables.arrival_window_s * cluster->machines.types[0].boot_time_s;
	headroom.needed =
		ceil((arrivals + tunables.margin_std_devs * sqrt(arrivals)) / headroom.share_count);
	add_running_machines(plan, &headroom);
	for (int z = 0; z < headroom.share_count; z++)
		autoscaler->headroom_surplus[z] = (int)(headroom.capacity[z] - headroom.needed);
	add_planned_machines(plan, &headroom);
	add_rentals(plan, &headroom);
}
