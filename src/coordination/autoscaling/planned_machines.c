/* The machines of a plan: which rentals are possible, what each costs, and the choice of the
 * cheapest. */
#include "coordination/autoscaling/autoscaler_internal.h"

#include <math.h>

static const struct {
	double suspected_cost, zone_balance, spread_weight, epsilon;
} tunables = {
	.suspected_cost = 2.0, /* times the price that a zone counts for while it is cut off */
	.zone_balance = 1e-4,  /* of the price, per machine in the zone: decides between equals */
	.spread_weight = 0.1,  /* of the price, per task in the zone, of a job to be spread */
	.epsilon = 1e-6,       /* amounts are sums of decimal fractions */
};
struct fl_planned_machine *fl_autoscaler_add_planned(struct fl_autoscaler_plan *plan, int type,
                                                     int zone, bool spot,
                                                     enum fl_planned_origin origin)
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

bool fl_autoscaler_zone_allows(const struct fl_job *job, const uint32_t *placed, int zone)
{
	if (job->spread_zones && placed[zone] + 1 > (job->task_count + 1) / 2)
		return false;
	for (int z = 0; job->same_zone && z < FL_ZONES_MAX; z++)
		if (z != zone && placed[z] > 0)
			return false;
	return true;
}

bool fl_autoscaler_task_fits(const struct fl_job *job, double cpus, double gpus, double ram_gb)
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
	    !fl_autoscaler_task_fits(job, machine_type->cpus, machine_type->gpus,
	                             machine_type->ram_gb) ||
	    !fl_autoscaler_job_allows(job, type, zone, spot) ||
	    !fl_autoscaler_zone_allows(job, placed, zone) ||
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

	if (plan->rental_count >= FL_PLANNED_RENTALS_MAX)
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
	return fl_autoscaler_add_planned(plan, type, zone, spot, FL_PLANNED_RENTAL);
}
