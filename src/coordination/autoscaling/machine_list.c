#include "coordination/autoscaling/machine_list.h"

#include <stdlib.h>

#include "coordination/autoscaling/call_budget.h"
#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
#include "transport/clock.h"
#include "transport/text.h"

static const struct {
	double max_list_lags, list_slack_s;
} tunables = {
	.max_list_lags = 2.0, /* list lags by which a list may be out of date */
	.list_slack_s = 1.0,  /* added to these lags, for the call itself */
};

/* Applies one entry of the list. `known_count`: number of machines known when the list began. */
static void apply_listed_machine(struct fl_node *node, const struct fl_cloud_machine *listed,
                                 double now, int known_count)
{
	struct fl_cluster *cluster = &node->cluster;
	struct fl_machine *machine = fl_machine_get_or_add(&cluster->machines, listed->host, now);

	if (!machine)
		return;
	fl_cluster_describe_machine(machine, fl_machine_type_find(&cluster->machines, listed->type),
	                            fl_symbol_find(&cluster->zones, listed->zone), listed->spot,
	                            listed->endpoint);
	if (machine->id < known_count)
		machine->lifecycle.seen_in_list = true;
	if (listed->status == FL_CLOUD_MACHINE_FAILED && !machine->lifecycle.decommissioned)
		fl_reconcile_decommission(node, machine, "failed");
	if (listed->status == FL_CLOUD_MACHINE_FAILED)
		machine->lifecycle.draining = true;
}

/*
 * Decommissions machines that the list does not contain. A missing machine is proven gone only if
 * even the oldest state that the list may show, of max_list_lags lags ago, is later than the time
 * when the machine was first seen.
 */
static void decommission_missing(struct fl_node *node, double begun_at, int known_count)
{
	double max_age_s =
		tunables.max_list_lags * node->config->list_lag_s + tunables.list_slack_s;

	for (int i = 0; i < known_count; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine->lifecycle.decommissioned || machine->lifecycle.seen_in_list ||
		    begun_at <= machine->lifecycle.first_seen_at + max_age_s)
			continue;
		node->autoscaler.spot_losses += machine->spot;
		fl_reconcile_decommission(node, machine, "no longer listed");
	}
}

void fl_autoscaler_list_machines(struct fl_node *node)
{
	double begun_at = fl_now();
	int known_count = node->cluster.machines.count;
	char from[FL_NAME_MAX] = "";
	bool more = true;

	for (int i = 0; i < known_count; i++)
		node->cluster.machines.by_id[i]->lifecycle.seen_in_list = false;
	while (more) {
		struct fl_cloud_machine *listed;
		int count;

		if (fl_autoscaler_await_call_budget(node) != FL_CALL_ALLOWED ||
		    fl_cloud_list_machines(&node->cloud, from, &listed, &count, &more) !=
		            FL_CLOUD_OK)
			return;
		for (int i = 0; i < count; i++)
			apply_listed_machine(node, &listed[i], fl_now(), known_count);
		if (count > 0)
			fl_copy_string(from, sizeof(from), listed[count - 1].host);
		else
			more = false;
		free(listed);
	}
	node->autoscaler.last_list_started_at = begun_at;
	decommission_missing(node, begun_at, known_count);
}
