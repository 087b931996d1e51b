/* Listing the machines of the cloud, and returning those that are of no use. */
#include "coordination/autoscaling/autoscaler_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/workers/failure_detector.h"
#include "coordination/workers/reachability.h"
#include "coordination/workers/reconciliation.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double suspected_s, idle_boots, boot_most, boot_slack_s, list_lags, list_slack_s;
	int faults_most;
} tunables = {
	.suspected_s = 20.0, /* s for which a zone with too many silent machines costs more */
	.idle_boots = 0.4,   /* boot times for which an idle machine is kept */
	.boot_most = 3.0,    /* boot times after which a booting machine is given up */
	.boot_slack_s = 5.0, /* s beyond them, for types that boot in no time */
	.list_lags = 2.0,    /* lags of a list by which it may be out of date */
	.list_slack_s = 1.0, /* s beyond them, for the call itself */
	.faults_most = 2,    /* failures on a machine that is avoided before it is returned */
};

static void apply_listed_machine(struct fl_node *node, const struct fl_cloud_machine *listed,
                                 double now, int known)
{
	struct fl_machine *machine = fl_machine_get(&node->cluster.machines, listed->host, now);

	if (!machine)
		return;
	fl_cluster_describe(&node->cluster, machine,
	                    fl_machine_type_find(&node->cluster.machines, listed->type),
	                    fl_symbol_find(&node->cluster.zones, listed->zone), listed->spot,
	                    listed->endpoint);
	if (machine->id < known)
		machine->lifecycle.listed = true;
	if (listed->status == FL_CLOUD_MACHINE_FAILED && !machine->lifecycle.decommissioned)
		fl_reconcile_decommission(node, machine, "it failed");
	if (listed->status == FL_CLOUD_MACHINE_FAILED)
		machine->lifecycle.draining = true;
}

/*
 * Missing from a list proves a machine gone only if that list, which may be twice the lag old,
 * must have been made after the machine was there.
 */
static void decommission_missing(struct fl_node *node, double sent, int known)
{
	double age_s = tunables.list_lags * node->config->list_lag_s + tunables.list_slack_s;

	for (int i = 0; i < known; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];

		if (machine->lifecycle.decommissioned || machine->lifecycle.listed ||
		    sent <= machine->lifecycle.first_seen_at + age_s)
			continue;
		node->autoscaler.spot_losses += machine->spot;
		fl_reconcile_decommission(node, machine, "no longer listed");
	}
}

enum fl_cloud_result fl_autoscaler_list_machines(struct fl_node *node)
{
	double sent = fl_now();
	int known = node->cluster.machines.count;
	enum fl_cloud_result result;
	char from[FL_NAME_MAX] = "";
	bool more = true;

	for (int i = 0; i < known; i++)
		node->cluster.machines.by_id[i]->lifecycle.listed = false;
	while (more) {
		struct fl_cloud_machine *listed;
		int count;

		result = fl_autoscaler_await_call_budget(node);
		if (result == FL_CLOUD_OK)
			result = fl_cloud_list(&node->cloud, from, &listed, &count, &more);
		if (result != FL_CLOUD_OK)
			return result;
		for (int i = 0; i < count; i++)
			apply_listed_machine(node, &listed[i], fl_now(), known);
		if (count > 0)
			fl_copy_string(from, sizeof(from), listed[count - 1].host);
		else
			more = false;
		free(listed);
	}
	node->autoscaler.listed_at = sent;
	decommission_missing(node, sent, known);
	return FL_CLOUD_OK;
}

/* Whether an ordinary machine may go without cutting into the reserve for services. */
static bool take_surplus(struct fl_autoscaler *autoscaler, const struct fl_machine *machine,
                         const struct fl_machine_type *machine_type)
{
	int *surplus;

	if (autoscaler->headroom_shares == 0)
		return true;
	surplus = &autoscaler->headroom_surplus[machine->zone % autoscaler->headroom_shares];
	if (*surplus < machine_type->gpus)
		return false;
	*surplus -= (int)machine_type->gpus;
	return true;
}

/* Why a machine is to be returned; NULL: it is kept. */
static const char *scale_in_reason(struct fl_node *node, struct fl_machine *machine, double now,
                                   const double leases[FL_ZONES_MAX])
{
	const struct fl_machine_type *machine_type =
		machine->type >= 0 ? &node->cluster.machines.types[machine->type] : NULL;
	bool empty = machine->assignment_count == 0 && machine->heartbeat.orphan_task_count == 0;

	if (machine->lifecycle.draining)
		return "given up";
	if (machine->lifecycle.decommissioned)
		return NULL;
	if (fl_failure_detector_expired(node, machine, now, leases))
		return fl_reachability_lost_since(machine) < INFINITY ? "does not hear us"
		                                                      : "silent";
	if (!machine_type)
		return NULL;
	if (!machine->lifecycle.up && machine->assignment_count == 0 &&
	    now - machine->lifecycle.first_seen_at >
	            tunables.boot_most * machine_type->ready_s + tunables.boot_slack_s)
		return "never came up";
	if (!machine->lifecycle.up || !empty) {
		machine->lifecycle.idle_since = 0;
		return NULL;
	}
	if (machine->lifecycle.idle_since <= 0)
		machine->lifecycle.idle_since = now;
	if (machine->health.quarantined_until > now &&
	    machine->health.fault_count > tunables.faults_most)
		return "faulty";
	if (now - machine->lifecycle.idle_since <= tunables.idle_boots * machine_type->ready_s)
		return NULL;
	if (machine->spot)
		return "idle";
	return take_surplus(&node->autoscaler, machine, machine_type) ? "idle" : NULL;
}

enum fl_cloud_result fl_autoscaler_scale_in(struct fl_node *node)
{
	const char *names[FL_DELETE_MAX];
	struct fl_machine *returning[FL_DELETE_MAX];
	double now = fl_now(), leases[FL_ZONES_MAX];
	enum fl_cloud_result result;
	int count = 0;

	fl_failure_detector_timeouts(node, now, leases);
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (leases[z] > 1)
			node->autoscaler.zone_suspected_until[z] = now + tunables.suspected_s;

	for (int i = 0; i < node->cluster.machines.count && count < FL_DELETE_MAX; i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];
		const char *why = machine->lifecycle.scaled_in
		                          ? NULL
		                          : scale_in_reason(node, machine, now, leases);

		if (!why)
			continue;
		fl_info("cloud", "returning %s: %s", machine->name, why);
		/* Half of those that are reclaimed give no notice: their silence is the first sign.
		 */
		node->autoscaler.spot_losses += machine->spot && strcmp(why, "silent") == 0;
		machine->lifecycle.draining = true;
		returning[count] = machine;
		names[count++] = machine->name;
	}
	if (count == 0)
		return FL_CLOUD_OK;
	result = fl_autoscaler_await_call_budget(node);
	if (result == FL_CLOUD_OK)
		result = fl_cloud_delete(&node->cloud, names, count);
	for (int i = 0; i < count && result == FL_CLOUD_OK; i++) {
		returning[i]->lifecycle.scaled_in = true;
		fl_reconcile_decommission(node, returning[i], "returned");
	}
	return result;
}
