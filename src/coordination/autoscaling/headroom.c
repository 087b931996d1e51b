/* The reserve: room on ordinary machines that lets services start without waiting for a boot. */
#include "coordination/autoscaling/autoscaler_internal.h"

#include <math.h>

static const struct {
	double learn_s, spread;
} tunables = {
	.learn_s = 300.0, /* s over which the arrival of services is counted */
	.spread = 2.0,    /* standard deviations of the arrivals while a machine boots, on top */
};

/* Room that a service could have at once: free, or used by what it may preempt. */
static uint32_t service_capacity(const struct fl_node *node, const struct fl_machine *machine,
                                 const struct fl_job *service)
{
	const struct fl_machine_type *machine_type = &node->cluster.machines.types[machine->type];
	double cpus = machine_type->cpus, gpus = machine_type->gpus, ram_gb = machine_type->ram_gb;

	if (machine->spot || machine->lifecycle.draining ||
	    !fl_autoscaler_job_allows(service, machine->type, machine->zone, machine->spot))
		return 0;
	for (int i = 0; i < machine->assignment_count; i++) {
		const struct fl_job *job = machine->assignments[i].job;

		if (job->priority < service->priority)
			continue;
		cpus -= job->cpus;
		gpus -= job->gpus;
		ram_gb -= job->ram_gb;
	}
	return fl_autoscaler_placement_capacity(service, cpus, gpus, ram_gb);
}

/* The newest of the services that came lately, the model for those to come; NULL: none came. */
static const struct fl_job *recent_services(const struct fl_autoscaler_plan *plan, double *tasks)
{
	const struct fl_job *newest = NULL;
	struct fl_job *job, *tmp;

	*tasks = 0;
	HASH_ITER (hh, plan->node->cluster.jobs, job, tmp) {
		if (job->kind != FL_SERVICE || job->priority < FL_URGENT ||
		    plan->wall - job->submitted_wall > tunables.learn_s)
			continue;
		*tasks += job->task_count;
		if (!newest || job->submitted_wall > newest->submitted_wall)
			newest = job;
	}
	return newest;
}

/* Rents until each share has room for `need` tasks; `room`: what each share has so far. */
static void plan_headroom_machines(struct fl_autoscaler_plan *plan, const struct fl_job *service,
                                   double *room, double need, int shares)
{
	static const uint32_t none_placed[FL_ZONES_MAX];

	for (int z = 0; z < shares; z++) {
		while (room[z] < need) {
			const struct fl_planned_machine *rented = fl_autoscaler_plan_machine(
				plan, service, none_placed, shares > 1 ? z : -1);

			if (!rented)
				break;
			room[z] += fmax(1, fl_autoscaler_placement_capacity(service, rented->cpus,
			                                                    rented->gpus,
			                                                    rented->ram_gb));
		}
	}
}

/*
 * A service should not wait for a machine to boot. As many tasks as lately came in one boot time,
 * and a spread more, must find room at once on machines that are up, be it by preempting arrays.
 */
void fl_autoscaler_plan_headroom(struct fl_autoscaler_plan *plan)
{
	struct fl_autoscaler *autoscaler = &plan->node->autoscaler;
	const struct fl_machines *machines = &plan->node->cluster.machines;
	double tasks, need, room[FL_ZONES_MAX] = {0};
	const struct fl_job *service = recent_services(plan, &tasks);
	int shares;

	autoscaler->headroom_shares = 0;
	if (!service || machines->type_count == 0)
		return;
	/* What must be apart needs room in each zone, also to replace what is lost in one. */
	shares = service->spread_zones ? plan->node->cluster.zones.count : 1;
	autoscaler->headroom_shares = shares;
	need = tasks / tunables.learn_s * machines->types[0].ready_s;
	need = ceil((need + tunables.spread * sqrt(need)) / shares);
	for (int i = 0; i < machines->count; i++) {
		const struct fl_machine *machine = machines->by_id[i];

		if (!machine->lifecycle.decommissioned && machine->described &&
		    machine->lifecycle.up)
			room[machine->zone % shares] +=
				service_capacity(plan->node, machine, service);
	}
	for (int z = 0; z < shares; z++)
		autoscaler->headroom_surplus[z] = (int)(room[z] - need);
	for (int i = 0; i < plan->count; i++) {
		const struct fl_planned_machine *planned = &plan->machines[i];

		if (!planned->spot)
			room[planned->zone % shares] += fl_autoscaler_placement_capacity(
				service, planned->cpus, planned->gpus, planned->ram_gb);
	}
	plan_headroom_machines(plan, service, room, need, shares);
}
