/* The plan of rentals: the tasks without room are placed on machines that boot or could be rented.
 */
#include "coordination/autoscaling/autoscaler_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double suspected_cost, boot_late, soon_boots, zone_balance, spread_weight, epsilon;
	int rentals_most;
} tunables = {
	.suspected_cost = 2.0, /* times the price that a zone counts for while it is cut off */
	.boot_late = 1.6,      /* boot times after which a booting machine is not counted on */
	.soon_boots = 0.7,     /* boot times within which an ending task's room is waited for */
	.zone_balance = 1e-4,  /* of the price, per machine in the zone: decides between equals */
	.spread_weight = 0.1,  /* of the price, per task in the zone, of a job to be kept apart */
	.epsilon = 1e-6,       /* amounts are sums of decimal fractions */
	.rentals_most = 400,   /* machines rented by one plan */
};

static struct fl_planned_machine *add_planned(struct fl_autoscaler_plan *plan, int type, int zone,
                                              bool spot, enum fl_planned_origin origin)
{
	const struct fl_machine_type *machine_type = &plan->node->cluster.machines.types[type];

	if (plan->count == plan->capacity)
		return NULL;
	plan->machines[plan->count] = (struct fl_planned_machine){type,
	                                                          zone,
	                                                          spot,
	                                                          origin,
	                                                          machine_type->cpus,
	                                                          machine_type->gpus,
	                                                          machine_type->ram_gb};
	plan->rental_count += origin == FL_PLANNED_RENTAL;
	return &plan->machines[plan->count++];
}

bool fl_autoscaler_job_allows(const struct fl_job *job, int type, int zone, bool spot)
{
	return (job->types >> type & 1) && (job->zone < 0 || job->zone == zone) &&
	       (job->spot_allowed || !spot);
}

static bool zone_allows(const struct fl_job *job, const uint32_t *placed, int zone)
{
	if (job->spread_zones && placed[zone] + 1 > (job->task_count + 1) / 2)
		return false;
	for (int z = 0; job->same_zone && z < FL_ZONES_MAX; z++)
		if (z != zone && placed[z] > 0)
			return false;
	return true;
}

static bool task_fits(const struct fl_job *job, double cpus, double gpus, double ram_gb)
{
	return cpus + tunables.epsilon >= job->cpus && gpus + tunables.epsilon >= job->gpus &&
	       ram_gb + tunables.epsilon >= job->ram_gb;
}

uint32_t fl_autoscaler_placement_capacity(const struct fl_job *job, double cpus, double gpus,
                                          double ram_gb)
{
	return fl_placement_capacity((struct fl_resources){job->cpus, job->gpus, job->ram_gb},
	                             (struct fl_resources){cpus, gpus, ram_gb});
}

/* Price a second of one task's share of the machine. */
static double unit_price(const struct fl_machine_type *machine_type, const struct fl_job *job,
                         bool spot)
{
	uint32_t tasks = fl_autoscaler_placement_capacity(job, machine_type->cpus,
	                                                  machine_type->gpus, machine_type->ram_gb);

	return (spot ? machine_type->spot_price : machine_type->price) / (tasks > 0 ? tasks : 1);
}

/* What a rental counts for in the choice; INFINITY: it cannot be, or was refused lately. */
static double rental_cost(const struct fl_autoscaler_plan *plan, const struct fl_job *job,
                          const uint32_t *placed, int type, int zone, bool spot)
{
	const struct fl_machine_type *machine_type = &plan->node->cluster.machines.types[type];
	const struct fl_autoscaler *autoscaler = &plan->node->autoscaler;
	double cost;

	if (!(machine_type->zones >> zone & 1) ||
	    !task_fits(job, machine_type->cpus, machine_type->gpus, machine_type->ram_gb) ||
	    !fl_autoscaler_job_allows(job, type, zone, spot) || !zone_allows(job, placed, zone) ||
	    autoscaler->no_capacity_until[type][zone][spot] > plan->now)
		return INFINITY;
	/* Among equal prices, the zone with the fewest machines. */
	cost = unit_price(machine_type, job, spot) *
	       (1 + tunables.zone_balance * plan->machines_by_zone[zone] +
	        (job->spread_zones ? tunables.spread_weight * placed[zone] : 0));
	/* A machine that cannot report is paid for nothing. */
	if (autoscaler->zone_suspected_until[zone] > plan->now)
		cost *= tunables.suspected_cost;
	return cost;
}

struct fl_planned_machine *fl_autoscaler_plan_machine(struct fl_autoscaler_plan *plan,
                                                      const struct fl_job *job,
                                                      const uint32_t *placed, int only_zone)
{
	const struct fl_cluster *cluster = &plan->node->cluster;
	double best_cost = INFINITY;
	int type = -1, zone = -1, spot = 0;

	if (plan->rental_count >= tunables.rentals_most)
		return NULL;
	for (int k = 0; k < cluster->machines.type_count; k++) {
		for (int z = 0; z < cluster->zones.count && z < FL_ZONES_MAX; z++) {
			for (int s = 0; s < 2 && (only_zone < 0 || z == only_zone); s++) {
				double cost = rental_cost(plan, job, placed, k, z, s);

				if (cost < best_cost) {
					best_cost = cost;
					type = k;
					zone = z;
					spot = s;
				}
			}
		}
	}
	if (type < 0)
		return NULL;
	plan->machines_by_zone[zone]++;
	return add_planned(plan, type, zone, spot, FL_PLANNED_RENTAL);
}

static bool can_take_task(const struct fl_planned_machine *machine, const struct fl_job *job,
                          const uint32_t *placed)
{
	return fl_autoscaler_job_allows(job, machine->type, machine->zone, machine->spot) &&
	       task_fits(job, machine->cpus, machine->gpus, machine->ram_gb) &&
	       zone_allows(job, placed, machine->zone);
}

/*
 * Places a task on a planned machine, a further rental if need be; false if there is none. `next`
 * is the first machine that may still take a task of this job: its tasks are all alike, room only
 * gets less and zones only close, so one that was passed over need not be looked at again.
 */
static bool place_task(struct fl_autoscaler_plan *plan, const struct fl_job *job, uint32_t *placed,
                       int *next)
{
	struct fl_planned_machine *chosen;

	while (*next < plan->count && !can_take_task(&plan->machines[*next], job, placed)) {
		plan->node->autoscaler.machines_examined++;
		++*next;
	}
	plan->node->autoscaler.machines_examined++;
	chosen = *next < plan->count ? &plan->machines[*next]
	                             : fl_autoscaler_plan_machine(plan, job, placed, -1);
	if (!chosen)
		return false;
	chosen->cpus -= job->cpus;
	chosen->gpus -= job->gpus;
	chosen->ram_gb -= job->ram_gb;
	placed[chosen->zone]++;
	return true;
}

/* Of `count` tasks, how many the maximum of the job's team lets run: more need no machine. */
static uint32_t limit_by_team(const struct fl_node *node, const struct fl_job *job, uint32_t count)
{
	const struct fl_team *team = &node->cluster.teams.by_index[job->team];
	double most = count;

	if (team->max_gpus > 0 && job->gpus > 0)
		most = fmin(most, floor((team->max_gpus - team->used_gpus) / job->gpus +
		                        tunables.epsilon));
	if (team->max_cpus > 0 && job->cpus > 0)
		most = fmin(most, floor((team->max_cpus - team->used_cpus) / job->cpus +
		                        tunables.epsilon));
	return most > 0 ? (uint32_t)most : 0;
}

static void plan_job(struct fl_autoscaler_plan *plan, const struct fl_job *job, uint32_t count)
{
	uint32_t placed[FL_ZONES_MAX];
	int next = 0;

	memcpy(placed, job->placed_by_zone, sizeof(placed));
	count = limit_by_team(plan->node, job, count);
	while (count > 0 && job->kind == FL_ARRAY && plan->tasks_ending_soon >= 1) {
		plan->tasks_ending_soon -= 1;
		count--;
	}
	while (count > 0 && place_task(plan, job, placed, &next))
		count--;
}

/* Takes in the machines there are: those that boot, and the tasks that end soon. */
static void add_existing(struct fl_autoscaler_plan *plan)
{
	struct fl_machines *machines = &plan->node->cluster.machines;

	for (int i = 0; i < machines->count; i++) {
		struct fl_machine *machine = machines->by_id[i];
		double boot_s;

		if (machine->decommissioned || !machine->described)
			continue;
		boot_s = machines->types[machine->type].ready_s;
		plan->machines_by_zone[machine->zone]++;
		/* Some boot for minutes and a few never end: nothing must wait for those. */
		if (!machine->up && !machine->draining && machine->assignment_count == 0 &&
		    plan->now - machine->first_seen_at < tunables.boot_late * boot_s)
			add_planned(plan, machine->type, machine->zone, machine->spot,
			            FL_PLANNED_BOOTING);
		for (int k = 0; machine->up && k < machine->assignment_count; k++) {
			const struct fl_job *job = machine->assignments[k].job;
			const struct fl_task *task =
				fl_task_peek(job, machine->assignments[k].index);

			if (job->kind == FL_ARRAY && task->observed == FL_OBSERVED_RUNNING &&
			    job->expected_s - (plan->now - task->running_since) <
			            tunables.soon_boots * boot_s)
				plan->tasks_ending_soon += 1;
		}
	}
}

/* Puts the planned rentals of one kind together into requests. */
static void store_requests(struct fl_autoscaler *autoscaler, const struct fl_autoscaler_plan *plan)
{
	autoscaler->request_count = 0;
	for (int i = 0; i < plan->count; i++) {
		const struct fl_planned_machine *planned = &plan->machines[i];
		struct fl_scale_out_request *request = autoscaler->requests;
		int k = 0;

		if (planned->origin != FL_PLANNED_RENTAL)
			continue;
		/* Past a request that is full already, the rest goes into another. */
		while (k < autoscaler->request_count &&
		       !(request[k].type == planned->type && request[k].zone == planned->zone &&
		         request[k].spot == planned->spot && request[k].count < FL_RENT_MAX))
			k++;
		if (k == autoscaler->request_count) {
			if (k == FL_SCALE_OUT_REQUESTS_MAX) {
				fl_debug("cloud", "more than %d rentals: the rest next time", k);
				break;
			}
			request[autoscaler->request_count++] = (struct fl_scale_out_request){
				planned->type, planned->zone, 0, planned->spot};
		}
		request[k].count++;
	}
}

void fl_autoscaler_plan_scale_out(struct fl_node *node, struct fl_job **jobs,
                                  const uint32_t *unplaced_tasks, int count)
{
	struct fl_autoscaler_plan plan = {.node = node, .now = fl_now(), .wall = fl_wall()};

	if (node->autoscaler.scale_out_in_flight)
		return;
	node->autoscaler.machines_examined = 0;
	plan.capacity = node->cluster.machines.count + tunables.rentals_most + 1;
	plan.machines = malloc((size_t)plan.capacity * sizeof(*plan.machines));
	if (!plan.machines)
		return;
	add_existing(&plan);
	for (int priority = FL_CRITICAL; priority >= FL_BEST_EFFORT; priority--)
		for (int i = 0; i < count; i++)
			if ((int)jobs[i]->priority == priority && unplaced_tasks[i] > 0)
				plan_job(&plan, jobs[i], unplaced_tasks[i]);
	fl_autoscaler_plan_headroom(&plan);
	store_requests(&node->autoscaler, &plan);
	free(plan.machines);
}
