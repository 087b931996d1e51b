#include "coordination/autoscaling/scale_in.h"

#include <math.h>

#include "coordination/autoscaling/call_budget.h"
#include "coordination/node.h"
#include "coordination/workers/failure_detector.h"
#include "coordination/workers/reachability.h"
#include "coordination/workers/reconciliation.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double zone_suspected_s, idle_boot_times, max_boot_times, boot_slack_s;
	int max_faults;
} tunables = {
	.zone_suspected_s = 20.0, /* time for which a zone with many silent machines costs more */
	.idle_boot_times = 0.4,   /* boot times for which an idle machine is kept */
	.max_boot_times = 3.0,    /* boot times after which a booting machine is drained */
	.boot_slack_s = 5.0,      /* in addition, for types that boot very fast */
	.max_faults = 2,          /* of a quarantined machine; with more faults it is returned */
};

/* Why a machine is to be returned. */
enum scale_in_reason {
	KEPT, /* not to be returned */
	IDLE,
	FAULTY,       /* quarantined with too many faults */
	SILENT,       /* no heartbeats arrive */
	UNREACHABLE,  /* heartbeats arrive, but the leader's replies do not reach the machine */
	NEVER_BOOTED, /* no heartbeat long after the rental */
	DRAINING      /* already being drained */
};

static const char *reason_text(enum scale_in_reason reason)
{
	switch (reason) {
	case KEPT:
		return "kept";
	case IDLE:
		return "idle";
	case FAULTY:
		return "faulty";
	case SILENT:
		return "silent";
	case UNREACHABLE:
		return "unreachable";
	case NEVER_BOOTED:
		return "never booted";
	case DRAINING:
		return "draining";
	}
	return "unknown";
}

/*
 * Returns whether the headroom for services stays intact without an on-demand machine; if so,
 * deducts the machine from the surplus.
 */
static bool take_headroom_surplus(struct fl_autoscaler *autoscaler,
                                  const struct fl_machine *machine,
                                  const struct fl_machine_type *type)
{
	int *surplus;

	if (autoscaler->headroom_share_count == 0)
		return true;
	surplus = &autoscaler->headroom_surplus[machine->zone % autoscaler->headroom_share_count];
	if (*surplus < type->gpus)
		return false;
	*surplus -= (int)type->gpus;
	return true;
}

static bool never_booted(const struct fl_machine *machine, const struct fl_machine_type *type,
                         double now)
{
	double max_boot_s = tunables.max_boot_times * type->boot_time_s + tunables.boot_slack_s;

	return !machine->lifecycle.up && machine->assignment_count == 0 &&
	       now - machine->lifecycle.first_seen_at > max_boot_s;
}

/* Returns why a machine that is up and runs no tasks is to be returned. */
static enum scale_in_reason empty_machine_reason(struct fl_autoscaler *autoscaler,
                                                 struct fl_machine *machine,
                                                 const struct fl_machine_type *type, double now)
{
	if (machine->lifecycle.idle_since <= 0)
		machine->lifecycle.idle_since = now;
	if (machine->health.quarantined_until > now &&
	    machine->health.fault_count > tunables.max_faults)
		return FAULTY;
	if (now - machine->lifecycle.idle_since <= tunables.idle_boot_times * type->boot_time_s)
		return KEPT;
	if (machine->spot)
		return IDLE;
	return take_headroom_surplus(autoscaler, machine, type) ? IDLE : KEPT;
}

/*
 * Returns why a machine is to be returned. `timeout_leases`: the timeout of silent machines, by
 * zone, in worker leases.
 */
static enum scale_in_reason scale_in_reason(struct fl_node *node, struct fl_machine *machine,
                                            double now, const double timeout_leases[FL_ZONES_MAX])
{
	const struct fl_machine_type *type =
		machine->type >= 0 ? &node->cluster.machines.types[machine->type] : NULL;

	if (machine->lifecycle.scaled_in)
		return KEPT;
	if (machine->lifecycle.draining)
		return DRAINING;
	if (machine->lifecycle.decommissioned)
		return KEPT;
	if (fl_failure_detector_machine_is_lost(node, machine, now, timeout_leases))
		return fl_reachability_lost_since(machine) < INFINITY ? UNREACHABLE : SILENT;
	if (!type)
		return KEPT;
	if (never_booted(machine, type, now))
		return NEVER_BOOTED;
	if (!machine->lifecycle.up || machine->assignment_count > 0 ||
	    machine->heartbeat.orphan_task_count != 0) {
		machine->lifecycle.idle_since = 0;
		return KEPT;
	}
	return empty_machine_reason(&node->autoscaler, machine, type, now);
}

/* Makes rentals cost more in each zone whose timeout is raised because many machines are silent. */
static void suspect_silent_zones(struct fl_autoscaler *autoscaler, double now,
                                 const double timeout_leases[FL_ZONES_MAX])
{
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (timeout_leases[z] > 1)
			autoscaler->zone_suspected_until[z] = now + tunables.zone_suspected_s;
}

/* Chooses the machines to be returned, and marks them as draining; returns their number. */
static int choose_machines_to_return(struct fl_node *node,
                                     struct fl_machine *chosen[FL_CLOUD_DELETE_MACHINES_MAX])
{
	double now = fl_now(), timeout_leases[FL_ZONES_MAX];
	int count = 0;

	fl_failure_detector_zone_timeouts(node, now, timeout_leases);
	suspect_silent_zones(&node->autoscaler, now, timeout_leases);
	for (int i = 0; i < node->cluster.machines.count && count < FL_CLOUD_DELETE_MACHINES_MAX;
	     i++) {
		struct fl_machine *machine = node->cluster.machines.by_id[i];
		enum scale_in_reason reason = scale_in_reason(node, machine, now, timeout_leases);

		if (reason == KEPT)
			continue;
		fl_info("cloud", "machine draining machine=%s reason=\"%s\"", machine->name,
		        reason_text(reason));
		/*
		 * Half of the reclaimed spot machines give no notice: silence is then the first
		 * sign.
		 */
		node->autoscaler.spot_losses += machine->spot && reason == SILENT;
		machine->lifecycle.draining = true;
		chosen[count++] = machine;
	}
	return count;
}

void fl_autoscaler_scale_in(struct fl_node *node)
{
	struct fl_machine *chosen[FL_CLOUD_DELETE_MACHINES_MAX];
	const char *names[FL_CLOUD_DELETE_MACHINES_MAX];
	int count = choose_machines_to_return(node, chosen);

	for (int i = 0; i < count; i++)
		names[i] = chosen[i]->name;
	if (count == 0 || fl_autoscaler_await_call_budget(node) != FL_CALL_ALLOWED ||
	    fl_cloud_delete_machines(&node->cloud, names, count) != FL_CLOUD_OK)
		return;
	for (int i = 0; i < count; i++) {
		chosen[i]->lifecycle.scaled_in = true;
		fl_reconcile_decommission(node, chosen[i], "scaled in");
	}
}
