#include "coordination/autoscaling/planned_machines.h"

#include <math.h>

#include "coordination/node.h"

static const struct {
	double suspected_zone_cost_factor, zone_balance_weight, spread_weight;
} tunables = {
	.suspected_zone_cost_factor = 2.0, /* for zones where too many machines are silent */
	.zone_balance_weight = 1e-4, /* share of the price, per machine in the zone: breaks ties */
	.spread_weight = 0.1, /* share of the price, per task in the zone, for a job to be spread */
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
	struct fl_kind_rule rule = {job->allowed_type_mask, job->zone, job->spot_allowed};

	return fl_kind_rule_admits(rule, kind);
}

bool fl_autoscaler_job_allows_zone(const struct fl_planned_job *planned, int zone)
{
	const struct fl_job *job = planned->job;
	/* The plan ignores tasks in unknown zones: placed_in_unknown_zone is 0. */
	const struct fl_zone_rule rule = {.same_zone = job->same_zone,
	                                  .spread_zones = job->spread_zones,
	                                  .task_count = job->task_count,
	                                  .placed_by_zone = planned->placed_by_zone};

	return fl_zone_rule_admits(&rule, zone);
}

/* Returns the price per second of one task's share of the machine. */
static double price_per_task(const struct fl_machine_type *type, const struct fl_job *job,
                             bool spot)
{
	uint32_t task_count =
		fl_fitting_task_count(fl_job_task_resources(job), fl_machine_type_capacity(type));

	return (spot ? type->spot_price : type->price) / (task_count > 0 ? task_count : 1);
}

/* Returns whether this kind can be rented and could run one more task of the job. */
static bool can_rent(const struct fl_autoscaler_plan *plan, const struct fl_planned_job *planned,
                     struct fl_machine_kind kind)
{
	const struct fl_machine_type *type = &plan->cluster->machines.types[kind.type];
	const struct fl_autoscaler *autoscaler = plan->autoscaler;

	if (!(type->zone_mask >> kind.zone & 1))
		return false;
	if (!fl_resources_fit(fl_job_task_resources(planned->job), fl_machine_type_capacity(type)))
		return false;
	if (!fl_autoscaler_job_allows_kind(planned->job, kind) ||
	    !fl_autoscaler_job_allows_zone(planned, kind.zone))
		return false;
	return autoscaler->no_capacity_until[kind.type][kind.zone][kind.spot] <= plan->now;
}

/* Returns the cost by which rentals are compared; INFINITY if not possible or refused recently. */
static double rental_cost(const struct fl_autoscaler_plan *plan,
                          const struct fl_planned_job *planned, struct fl_machine_kind kind)
{
	const struct fl_machine_type *type = &plan->cluster->machines.types[kind.type];
	const struct fl_job *job = planned->job;
	double spread, cost;

	if (!can_rent(plan, planned, kind))
		return INFINITY;
	spread =
		job->spread_zones ? tunables.spread_weight * planned->placed_by_zone[kind.zone] : 0;
	/* Among equal prices, prefer the zone with the fewest machines. */
	cost = price_per_task(type, job, kind.spot) *
	       (1 + tunables.zone_balance_weight * plan->machines_by_zone[kind.zone] + spread);
	/* A machine whose heartbeats do not arrive costs money but runs no tasks. */
	if (plan->autoscaler->zone_suspected_until[kind.zone] > plan->now)
		cost *= tunables.suspected_zone_cost_factor;
	return cost;
}

/* Replaces `*cheapest` and `*lowest_cost` if a spot or on-demand rental of this kind costs less. */
static void update_cheapest(const struct fl_autoscaler_plan *plan,
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
				update_cheapest(plan, planned, kind, &lowest_cost, &cheapest);
		}
	}
	if (lowest_cost == INFINITY)
		return NULL;
	plan->machines_by_zone[cheapest.zone]++;
	return fl_autoscaler_add_planned_machine(plan, cheapest, FL_PLANNED_RENTAL);
}
