/* The rentals that the last plan asked for. */
#include "coordination/autoscaling/autoscaler_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double refused_s;
	int tries;
} tunables = {
	.refused_s = 20.0, /* s for which a refused kind of machine is not asked for again */
	.tries = 3,        /* of one rental that goes unanswered */
};

static enum fl_cloud_result scale_out_one(struct fl_node *node,
                                          const struct fl_scale_out_request *request)
{
	const char *type = node->cluster.machines.types[request->type].name;
	const char *zone = fl_symbol_name(&node->cluster.zones, request->zone);
	char name[64], (*hosts)[FL_NAME_MAX] = NULL;
	const struct fl_cloud_rental rental = {name, type, zone, request->spot, request->count};
	enum fl_cloud_result result = FL_CLOUD_UNAVAILABLE;
	int got = 0;

	/* With the epoch of the takeover in it no other leader uses the name, ever. */
	snprintf(name, sizeof(name), "r-%llu-%llu",
	         (unsigned long long)node->leadership.first_fencing_token,
	         (unsigned long long)++node->autoscaler.rental_name_count);
	for (int i = 0; i < tunables.tries; i++) {
		enum fl_cloud_result budget = fl_autoscaler_await_call_budget(node);

		if (budget != FL_CLOUD_OK)
			return budget;
		result = fl_cloud_rent(&node->cloud, &rental, &hosts, &got);
		if (result != FL_CLOUD_OUTCOME_UNKNOWN && result != FL_CLOUD_UNREADABLE)
			break;
	}
	for (int i = 0; i < got; i++) {
		struct fl_machine *machine =
			fl_machine_get(&node->cluster.machines, hosts[i], fl_now());

		if (!machine)
			continue;
		fl_cluster_describe(&node->cluster, machine, request->type, request->zone,
		                    request->spot, NULL);
		fl_debug("cloud", "%s is %s", machine->name,
		         request->spot ? "reclaimable" : "ordinary");
	}
	free(hosts);
	if (result == FL_CLOUD_OK)
		fl_info("cloud", "rented %d of %d %s%s in %s", got, request->count,
		        request->spot ? "reclaimable " : "", type, zone);
	else
		fl_info("cloud", "no %s%s in %s: %s", request->spot ? "reclaimable " : "", type,
		        zone, fl_cloud_result_text(result));
	if (result == FL_CLOUD_NO_CAPACITY || (result == FL_CLOUD_OK && got < request->count))
		node->autoscaler.no_capacity_until[request->type][request->zone][request->spot] =
			fl_now() + tunables.refused_s;
	return result == FL_CLOUD_NO_CAPACITY ? FL_CLOUD_OK : result;
}

enum fl_cloud_result fl_autoscaler_scale_out(struct fl_node *node)
{
	struct fl_scale_out_request requests[FL_SCALE_OUT_REQUESTS_MAX];
	enum fl_cloud_result result = FL_CLOUD_OK;
	int count = node->autoscaler.request_count;

	if (count == 0)
		return FL_CLOUD_OK;
	memcpy(requests, node->autoscaler.requests, sizeof(requests));
	node->autoscaler.scale_out_in_flight = true;
	node->autoscaler.request_count = 0;
	for (int i = 0; i < count && result == FL_CLOUD_OK; i++)
		result = scale_out_one(node, &requests[i]);
	node->autoscaler.scale_out_in_flight = false;
	fl_condition_broadcast(&node->leadership.work_available);
	return result;
}
