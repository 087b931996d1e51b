/* What a task costs on a machine where it fits, and how the lowest cost is found. */
#include "coordination/scheduling/schedule_internal.h"

#include <math.h>
#include <stdlib.h>

static const struct {
	double zone_weight, empty_s, ordinary_s, pack_weight, restart_s, urgent_fetch_weight;
} tunables = {
	.zone_weight = 1000, /* s per replica already in the zone: spreading beats a fetch */
	.empty_s = 8,        /* s; a machine without a service: empty, it could be returned */
	.ordinary_s = 8,     /* s; such a machine, ordinary, for a job that may use spot ones */
	.pack_weight = 1,    /* s per free accelerator left: fill machines, others empty */
	.restart_s = 30,     /* s to start over what was lost, beside the work itself */
	.urgent_fetch_weight = 3, /* times that a fetch counts for an urgent service */
};

/* Items of an array that grows, at first. */
#define FIRST_CAPACITY 32
/*
 * The expected loss of this task on a spot machine: where many are reclaimed, a long task is lost
 * again and again there, and its job is the last to end. That matters for a job that has waited,
 * be it because of what it lost; others are welcome to the price.
 */
static double expected_loss_s(const struct fl_sched_input *input, const struct fl_sched_job *job)
{
	double estimate_s =
		job->estimate_s > 0 ? job->estimate_s : input->params->default_estimate_s;

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
	return job->image_gb / (machine->pull_gb_s > 0 ? machine->pull_gb_s : 1);
}

double fl_sched_placement_cost(const struct fl_sched_input *input, const struct fl_sched_job *job,
                               const struct fl_sched_machine *machine)
{
	double cost = tunables.pack_weight * (machine->free.gpus - job->need.gpus);

	cost += fl_sched_image_fetch_s(job, machine) *
	        (fl_sched_precedes_arrays(job) ? tunables.urgent_fetch_weight : 1);
	if (!machine->runs_service)
		cost += tunables.empty_s +
		        (job->spot_allowed && !machine->spot ? tunables.ordinary_s : 0);
	if (machine->spot)
		cost += expected_loss_s(input, job);
	if (job->spread_zones)
		cost += tunables.zone_weight * job->placed_by_zone[machine->zone];
	return cost;
}

int fl_sched_lowest_cost(const double *costs, int count)
{
	double best = INFINITY;
	int at = -1;

	for (int i = 0; i < count; i++) {
		if (costs[i] < best) {
			best = costs[i];
			at = i;
		}
	}
	return at;
}

bool fl_sched_grow(void **items, int count, int *capacity, size_t size)
{
	int larger = *capacity ? *capacity * 2 : FIRST_CAPACITY;
	void *moved;

	if (count < *capacity)
		return true;
	moved = realloc(*items, (size_t)larger * size);
	if (!moved)
		return false;
	*items = moved;
	*capacity = larger;
	return true;
}
