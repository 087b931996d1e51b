/* Cost: the cost of a task on a machine where it fits, and the search for the lowest cost. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>

static const struct {
	double zone_replica_cost_s, empty_machine_cost_s, on_demand_cost_s, free_gpu_cost_s,
		restart_s, urgent_fetch_weight;
} tunables = {
	.zone_replica_cost_s = 1000, /* per replica in the zone: outweighs an image fetch */
	/* On a machine without services: once it is empty, it could be scaled in. */
	.empty_machine_cost_s = 8,
	/* In addition, if that machine is on-demand and the job may use spot machines. */
	.on_demand_cost_s = 8,
	/* Per accelerator left free: bin packing, so that other machines become empty. */
	.free_gpu_cost_s = 1,
	.restart_s = 30,          /* time to restart a lost task, in addition to the lost work */
	.urgent_fetch_weight = 3, /* weight of the image fetch of an urgent service */
};

/*
 * Returns the expected loss of the task on a spot machine. Where many spot machines are reclaimed,
 * a long task is lost repeatedly, and its job ends last. This only matters for a job that has
 * waited long, possibly because of such losses; other jobs use spot machines for their lower price.
 */
static double expected_loss_s(const struct fl_sched_input *input, const struct fl_sched_job *job)
{
	double estimate_s = fl_sched_estimate_s(input->params, job);

	if (job->service || job->waited_s <= input->params->overdue_after_s)
		return 0;
	return fmin(1, input->spot_loss_rate * estimate_s) * (estimate_s / 2 + tunables.restart_s);
}

double fl_sched_image_fetch_s(const struct fl_sched_job *job,
                              const struct fl_sched_machine *machine)
{
	for (int i = 0; i < FL_IMAGE_CACHE_MAX && machine->cached_images; i++)
		if (machine->cached_images[i] == job->image)
			return 0;
	return job->image_gb / (machine->pull_gb_per_s > 0 ? machine->pull_gb_per_s : 1);
}

double fl_sched_placement_cost(const struct fl_sched_input *input, const struct fl_sched_job *job,
                               const struct fl_sched_machine *machine)
{
	double cost = tunables.free_gpu_cost_s * (machine->free.gpus - job->need.gpus);
	double fetch_weight = fl_sched_is_urgent_service(job) ? tunables.urgent_fetch_weight : 1;
	double on_demand_cost_s =
		job->spot_allowed && !machine->spot ? tunables.on_demand_cost_s : 0;

	cost += fl_sched_image_fetch_s(job, machine) * fetch_weight;
	if (!machine->runs_service)
		cost += tunables.empty_machine_cost_s + on_demand_cost_s;
	if (machine->spot)
		cost += expected_loss_s(input, job);
	if (job->spread_zones)
		cost += tunables.zone_replica_cost_s * job->placed_by_zone[machine->zone];
	return cost;
}

int fl_sched_lowest_cost_index(const double *costs, int count)
{
	double lowest = INFINITY;
	int best_index = -1;

	for (int i = 0; i < count; i++) {
		if (costs[i] < lowest) {
			lowest = costs[i];
			best_index = i;
		}
	}
	return best_index;
}
