#include "coordination/autoscaling/planned_machines.h"

#include <math.h>

#include "coordination/node.h"

static const struct {
	double suspected_cost, zone_balance, spread_weight;
} tunables = {
	.suspected_cost = 2.0, /* times the price, in a zone where too many machines are silent */
	.zone_balance = 1e-4,  /* of the price, per machine in the zone: decides between equals */
	.spread_weight = 0.1,  /* of the price, per task in the zone, of a job to be spread */
};

struct fl_planned_machine *fl_autoscaler_add_planned_machine(struct fl_autoscaler_plan *plan,
                                                             struct fl_machine_kind kind,
                                                             enum fl_planned_origin origin)
{
	const struct fl_machine_type *type = &plan->cluster->machines.types[kind.type];

	if (plan->planned_machine_count == plan->planned_machine_capacity)
		return NULL;
	plan->machines[plan->planned_machine_count] =
		(struct fl_planned_machine){kind, origin, fl_machine_type_capacity(type)};
	plan->rental_count += origin == FL_PLANNED_RENTAL;
	return &plan->machines[plan->planned_machine_count++];
}

bool fl_autoscaler_job_allows_kind(const struct fl_job *job, struct fl_machine_kind kind)
{
	struct fl_kind_rule rule = {job->types, job->zone, job->spot_allowed};

	return fl_kind_rule_admits(rule, kind);
}

bool fl_autoscaler_job_allows_zone(const struct fl_planned_job *planned, int zone)
{
	const struct fl_job *job = planned->job;
	/* The plan leaves tasks in unknown zones out: placed_in_unknown_zone is 0. */
	const struct fl_zone_rule rule = {.same_zone = job->same_zone,
	                                  .spread_zones = job->spread_zones,
	                                  .task_count = job->task_count,
	                                  .placed_by_zone = planned->placed_by_zone};

	return fl_zone_rule_admits(&rule, zone);
}

/* Price a second of one task's share of the machine. */
static double unit_price(const struct fl_machine_type *type, const struct fl_job *job, bool spot)
{
	uint32_t task_count =
		fl_placement_capacity(fl_job_need(job), fl_machine_type_capacity(type));

	return (spot ? type->spot_price : type->price) / (task_count > 0 ? task_count : 1);
}

/* Whether one more task of the job could run on such a machine, and one can be had. */
static bool may_rent(const struct fl_autoscaler_plan *plan, const struct fl_planned_job *planned,
                     struct fl_machine_kind kind)
{
	const struct fl_machine_type *type = &plan->cluster->machines.types[kind.type];
	const struct fl_autoscaler *autoscaler = plan->autoscaler;

	if (!(type->zones >> kind.zone & 1))
		return false;
	if (!fl_resources_fit(fl_job_need(planned->job), fl_machine_type_capacity(type)))
		return false;
	if (!fl_autoscaler_job_allows_kind(planned->job, kind) ||
	    !fl_autoscaler_job_allows_zone(planned, kind.zone))
		return false;
	return autoscaler->no_capacity_until[kind.type][kind.zone][kind.spot] <= plan->now;
}

/* The cost of a rental as the choice counts it; INFINITY: not possible, or refused lately. */
static double rental_cost(const struct fl_autoscaler_plan *plan,
                          const struct fl_planned_job *planned, struct fl_machine_kind kind)
{
	const struct fl_machine_type *type = &plan->cluster->machines.types[kind.type];
	const struct fl_job *job = planned->job;
	double spread, cost;

	if (!may_rent(plan, planned, kind))
		return INFINITY;
	spread =
		job->spread_zones ? tunables.spread_weight * planned->placed_by_zone[kind.zone] : 0;
	/* Among equal prices, the zone with the fewest machines. */
	cost = unit_price(type, job, kind.spot) *
	       (1 + tunables.zone_balance * plan->machines_by_zone[kind.zone] + spread);
	/* A machine whose heartbeats do not arrive is paid for nothing. */
	if (plan->autoscaler->zone_suspected_until[kind.zone] > plan->now)
		cost *= tunables.suspected_cost;
	return cost;
}

/* The cheapest kind in one zone, if it costs less than `*lowest_cost`, which it then replaces. */
static void find_cheaper(const struct fl_autoscaler_plan *plan,
                         const struct fl_planned_job *planned, struct fl_machine_kind kind,
                         double *lowest_cost, struct fl_machine_kind *cheapest)
{
	for (int spot = 0; spot < 2; spot++) {
		double cost;

		kind.spot = spot;
		cost = rental_cost(plan, planned, kind);
		if (cost < *lowest_cost) {
			*lowest_cost = cost;
			*cheapest = kind;
		}
	}
}

struct fl_planned_machine *fl_autoscaler_add_cheapest_rental(struct fl_autoscaler_plan *plan,
                                                             const struct fl_planned_job *planned,
                                                             int only_zone)
{
	const struct fl_cluster *cluster = plan->cluster;
	struct fl_machine_kind cheapest = {0};
	double lowest_cost = INFINITY;

	if (plan->rental_count >= FL_PLANNED_RENTALS_MAX)
		return NULL;
	for (int type = 0; type < cluster->machines.type_count; type++) {
		for (int z = 0; z < cluster->zones.count && z < FL_ZONES_MAX; z++) {
			struct fl_machine_kind kind = {.type = type, .zone = z};

			if (only_zone == FL_ANY_ZONE || z == only_zone)
				find_cheaper(plan, planned, kind, &lowest_cost, &cheapest);
		}
	}
	if (lowest_cost == INFINITY)
		return NULL;
	plan->machines_by_zone[cheapest.zone]++;
	return fl_autoscaler_add_planned_machine(plan, cheapest, FL_PLANNED_RENTAL);
}
