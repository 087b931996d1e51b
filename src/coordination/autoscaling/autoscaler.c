/* The autoscaler's coroutine, and the loss rate of spot machines. */
#include "coordination/autoscaling/autoscaler.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/autoscaling/call_budget.h"
#include "coordination/autoscaling/machine_list.h"
#include "coordination/autoscaling/machine_type_refresh.h"
#include "coordination/autoscaling/scale_in.h"
#include "coordination/autoscaling/scale_out.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/log.h"

static const struct {
	double interval_s, list_interval_s, types_interval_s, tombstone_retention_s, spot_prior_s;
	double call_share, burst_s;
} tunables = {
	.interval_s = 0.5,              /* between two rounds of scale in and scale out */
	.list_interval_s = 3.0,         /* between two machine lists */
	.types_interval_s = 30.0,       /* between two requests for types and prices */
	.tombstone_retention_s = 900.0, /* messages may arrive minutes late */
	.spot_prior_s = 3600.0,         /* machine-seconds without a loss, added as a prior */
	.call_share = 0.8,              /* share of the cloud's rate limit that is used */
	.burst_s = 2,                   /* calls that may be saved up, in seconds of the rate */
};

double fl_autoscaler_spot_loss_rate(const struct fl_autoscaler *autoscaler)
{
	return autoscaler->spot_losses / (autoscaler->spot_machine_seconds + tunables.spot_prior_s);
}

/* Adds the time since the last call for each spot machine that is up. */
static void add_spot_machine_time(struct fl_node *node)
{
	struct fl_autoscaler *autoscaler = &node->autoscaler;
	double now = fl_now(), since_s = now - autoscaler->spot_time_counted_until;
	bool first = autoscaler->spot_time_counted_until <= 0;

	for (int i = 0; i < node->cluster.machines.count && !first; i++) {
		const struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine->spot && machine->lifecycle.up && !machine->lifecycle.decommissioned)
			autoscaler->spot_machine_seconds += since_s;
	}
	autoscaler->spot_time_counted_until = now;
}

void fl_autoscaler_reset(struct fl_node *node)
{
	struct fl_autoscaler *autoscaler = &node->autoscaler;
	double calls_per_s = node->config->cloud_rps * tunables.call_share;
	double burst_calls = tunables.burst_s * node->config->cloud_rps * tunables.call_share;

	memset(autoscaler, 0, sizeof(*autoscaler));
	autoscaler->types_refreshed_at = FL_LONG_AGO; /* types from a record may be outdated */
	fl_token_bucket_init(&autoscaler->call_budget, calls_per_s, burst_calls, fl_now());
}

void fl_autoscaler_run(struct fl_node *node)
{
	struct fl_autoscaler *autoscaler = &node->autoscaler;

	while (fl_sleep(tunables.interval_s) == 0) {
		if (!fl_leader_lease_is_valid(&node->leader_lease))
			continue;
		/*
		 * Freeing machines is safe here: this coroutine has no call in flight, and machines
		 * with a command in flight are kept.
		 */
		fl_cluster_purge_tombstones(&node->cluster,
		                            fl_now() - tunables.tombstone_retention_s);
		add_spot_machine_time(node);
		fl_autoscaler_scale_in(node);
		fl_autoscaler_scale_out(node);
		if (fl_now() > autoscaler->last_list_started_at + tunables.list_interval_s)
			fl_autoscaler_list_machines(node);
		if (fl_now() > autoscaler->types_refreshed_at + tunables.types_interval_s) {
			autoscaler->types_refreshed_at = fl_now();
			fl_autoscaler_refresh_machine_types(node);
		}
	}
}
