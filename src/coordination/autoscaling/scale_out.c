/* The rentals that the last plan asked for. */
#include "coordination/autoscaling/autoscaler_internal.h"

#include <errno.h>
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

static int scale_out_one(struct fl_node *node, const struct fl_scale_out_request *request)
{
	const char *type = node->cluster.machines.types[request->type].name;
	const char *zone = fl_symbol_name(&node->cluster.zones, request->zone);
	char name[64], (*hosts)[FL_NAME_MAX] = NULL;
	int got = 0, rc = -EAGAIN;

	/* With the epoch of the takeover in it no other leader uses the name, ever. */
	snprintf(name, sizeof(name), "r-%llu-%llu",
	         (unsigned long long)node->leadership.first_fencing_token,
	         (unsigned long long)++node->autoscaler.rental_name_count);
	for (int i = 0; i < tunables.tries; i++) {
		int rc_call = fl_autoscaler_await_call_budget(node);

		if (rc_call)
			return rc_call;
		rc = fl_cloud_rent(&node->cloud, name, type, zone, request->spot, request->count,
		                   &hosts, &got);
		if (rc == 0 || rc == -ENOSPC || rc == -EAGAIN || rc == -ECANCELED)
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
	if (rc == 0)
		fl_info("cloud", "rented %d of %d %s%s in %s", got, request->count,
		        request->spot ? "reclaimable " : "", type, zone);
	else
		fl_info("cloud", "no %s%s in %s: %s", request->spot ? "reclaimable " : "", type,
		        zone, strerror(-rc));
	if (rc == -ENOSPC || (rc == 0 && got < request->count))
		node->autoscaler.no_capacity_until[request->type][request->zone][request->spot] =
			fl_now() + tunables.refused_s;
	return rc == -ENOSPC ? 0 : rc;
}

int fl_autoscaler_scale_out(struct fl_node *node)
{
	struct fl_scale_out_request requests[FL_SCALE_OUT_REQUESTS_MAX];
	int count = node->autoscaler.request_count, rc = 0;

	if (count == 0)
		return 0;
	memcpy(requests, node->autoscaler.requests, sizeof(requests));
	node->autoscaler.scale_out_in_flight = true;
	node->autoscaler.request_count = 0;
	for (int i = 0; i < count && rc == 0; i++)
		rc = scale_out_one(node, &requests[i]);
	node->autoscaler.scale_out_in_flight = false;
	fl_condition_broadcast(&node->leadership.work_available);
	return rc;
}
