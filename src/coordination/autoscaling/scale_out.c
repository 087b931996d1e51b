#include "coordination/autoscaling/scale_out.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/autoscaling/call_budget.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double no_capacity_s;
	int max_tries;
} tunables = {
	.no_capacity_s = 20.0, /* a kind without capacity is not requested for this time */
	.max_tries = 3,        /* calls for one rental while its outcome is unknown */
};

/* One rental and its result. */
struct rental {
	const struct fl_scale_out_request *request;
	char name[64];
	struct fl_cloud_rental call; /* points to the name above */
	char (*hosts)[FL_NAME_MAX];  /* names of the rented machines; owned */
	int host_count;
	enum fl_cloud_result result;
};

static void init_rental(struct fl_node *node, const struct fl_scale_out_request *request,
                        struct rental *rental)
{
	struct fl_machine_kind kind = request->kind;

	*rental = (struct rental){.request = request, .result = FL_CLOUD_UNAVAILABLE};
	/* The fencing token of the failover keeps any other leader from using the same name. */
	snprintf(rental->name, sizeof(rental->name), "r-%llu-%llu",
	         (unsigned long long)node->leadership.first_fencing_token,
	         (unsigned long long)++node->autoscaler.rental_name_count);
	rental->call = (struct fl_cloud_rental){
		rental->name, node->cluster.machines.types[kind.type].name,
		fl_symbol_name(&node->cluster.zones, kind.zone), kind.spot, request->count};
}

/* Makes the rental call, and repeats it if the outcome is unknown: the name makes it idempotent. */
static enum fl_call_permission rent_with_retries(struct fl_node *node, struct rental *rental)
{
	for (int i = 0; i < tunables.max_tries; i++) {
		enum fl_call_permission permission = fl_autoscaler_await_call_budget(node);

		if (permission != FL_CALL_ALLOWED)
			return permission;
		rental->result = fl_cloud_rent_machines(&node->cloud, &rental->call, &rental->hosts,
		                                        &rental->host_count);
		if (rental->result != FL_CLOUD_OUTCOME_UNKNOWN &&
		    rental->result != FL_CLOUD_UNEXPECTED_RESPONSE)
			break;
	}
	return FL_CALL_ALLOWED;
}

static void add_rented_machines(struct fl_node *node, const struct rental *rental)
{
	struct fl_machine_kind kind = rental->request->kind;

	for (int i = 0; i < rental->host_count; i++) {
		struct fl_machine *machine =
			fl_machine_get_or_add(&node->cluster.machines, rental->hosts[i], fl_now());

		if (!machine)
			continue;
		fl_cluster_describe_machine(machine, kind.type, kind.zone, kind.spot, NULL);
		fl_debug("cloud", "machine rented machine=%s spot=%d", machine->name, kind.spot);
	}
}

static void log_rental(const struct rental *rental)
{
	const struct fl_cloud_rental *call = &rental->call;

	if (rental->result == FL_CLOUD_OK)
		fl_info("cloud", "machines rented type=%s zone=%s spot=%d count=%d requested=%d",
		        call->type, call->zone, call->spot, rental->host_count, call->count);
	else
		fl_info("cloud",
		        "rental failed; planned again by the next cycle type=%s zone=%s spot=%d "
		        "error=\"%s\"",
		        call->type, call->zone, call->spot, fl_cloud_result_text(rental->result));
}

/* Makes one rental; returns false if the next one must not be made. */
static bool make_rental(struct fl_node *node, const struct fl_scale_out_request *request)
{
	struct fl_machine_kind kind = request->kind;
	struct rental rental;

	init_rental(node, request, &rental);
	if (rent_with_retries(node, &rental) != FL_CALL_ALLOWED)
		return false;
	add_rented_machines(node, &rental);
	free(rental.hosts);
	log_rental(&rental);
	if (rental.result == FL_CLOUD_NO_CAPACITY ||
	    (rental.result == FL_CLOUD_OK && rental.host_count < request->count))
		node->autoscaler.no_capacity_until[kind.type][kind.zone][kind.spot] =
			fl_now() + tunables.no_capacity_s;
	return rental.result == FL_CLOUD_OK || rental.result == FL_CLOUD_NO_CAPACITY;
}

void fl_autoscaler_scale_out(struct fl_node *node)
{
	struct fl_scale_out_request requests[FL_SCALE_OUT_REQUESTS_MAX];
	int count = node->autoscaler.request_count;

	if (count == 0)
		return;
	memcpy(requests, node->autoscaler.requests, sizeof(requests));
	node->autoscaler.scale_out_in_flight = true;
	node->autoscaler.request_count = 0;
	for (int i = 0; i < count; i++)
		if (!make_rental(node, &requests[i]))
			break;
	node->autoscaler.scale_out_in_flight = false;
	fl_condition_broadcast(&node->leadership.work_available);
}
