/* Listing the machines of the cloud, and returning those that are of no use. */
#include "coordination/autoscaler_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/failure_detector.h"
#include "coordination/reachability.h"
#include "coordination/reconciliation.h"
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

static void apply_listed_machine(struct fl_node *n, const struct fl_cloud_machine *listed,
                                 double now, int known)
{
	struct fl_machine *m = fl_machine_get(&n->cluster.machines, listed->host, now);

	if (!m)
		return;
	fl_cluster_describe(
		&n->cluster, m, fl_machine_type_find(&n->cluster.machines, listed->type),
		fl_symbol_find(&n->cluster.zones, listed->zone), listed->spot, listed->endpoint);
	if (m->id < known)
		m->listed = true;
	if (listed->status == FL_CLOUD_MACHINE_FAILED && !m->decommissioned)
		fl_reconcile_decommission(n, m, "it failed");
	if (listed->status == FL_CLOUD_MACHINE_FAILED)
		m->draining = true;
}

/*
 * Missing from a list proves a machine gone only if that list, which may be twice the lag old,
 * must have been made after the machine was there.
 */
static void decommission_missing(struct fl_node *n, double sent, int known)
{
	double age_s = tunables.list_lags * n->config->list_lag_s + tunables.list_slack_s;

	for (int i = 0; i < known; i++) {
		struct fl_machine *m = n->cluster.machines.by_id[i];

		if (m->decommissioned || m->listed || sent <= m->first_seen_at + age_s)
			continue;
		n->autoscaler.spot_losses += m->spot;
		fl_reconcile_decommission(n, m, "no longer listed");
	}
}

int fl_autoscaler_list_machines(struct fl_node *n)
{
	double sent = fl_now();
	int known = n->cluster.machines.count, rc;
	char from[FL_NAME_MAX] = "";
	bool more = true;

	for (int i = 0; i < known; i++)
		n->cluster.machines.by_id[i]->listed = false;
	while (more) {
		struct fl_cloud_machine *listed;
		int count;

		rc = fl_autoscaler_await_call_budget(n);
		if (!rc)
			rc = fl_cloud_list(&n->cloud, from, &listed, &count, &more);
		if (rc)
			return rc;
		for (int i = 0; i < count; i++)
			apply_listed_machine(n, &listed[i], fl_now(), known);
		if (count > 0)
			fl_copy_string(from, sizeof(from), listed[count - 1].host);
		else
			more = false;
		free(listed);
	}
	n->autoscaler.listed_at = sent;
	decommission_missing(n, sent, known);
	return 0;
}

/* Whether an ordinary machine may go without cutting into the reserve for services. */
static bool take_surplus(struct fl_autoscaler *autoscaler, const struct fl_machine *m,
                         const struct fl_machine_type *machine_type)
{
	int *surplus;

	if (autoscaler->headroom_shares == 0)
		return true;
	surplus = &autoscaler->headroom_surplus[m->zone % autoscaler->headroom_shares];
	if (*surplus < machine_type->gpus)
		return false;
	*surplus -= (int)machine_type->gpus;
	return true;
}

/* Why a machine is to be returned; NULL: it is kept. */
static const char *scale_in_reason(struct fl_node *n, struct fl_machine *m, double now,
                                   const double leases[FL_ZONES_MAX])
{
	const struct fl_machine_type *machine_type =
		m->type >= 0 ? &n->cluster.machines.types[m->type] : NULL;
	bool empty = m->assignment_count == 0 && m->orphan_task_count == 0;

	if (m->draining)
		return "given up";
	if (m->decommissioned)
		return NULL;
	if (fl_failure_detector_expired(n, m, now, leases))
		return fl_reachability_lost_since(m) < INFINITY ? "does not hear us" : "silent";
	if (!machine_type)
		return NULL;
	if (!m->up && m->assignment_count == 0 &&
	    now - m->first_seen_at >
	            tunables.boot_most * machine_type->ready_s + tunables.boot_slack_s)
		return "never came up";
	if (!m->up || !empty) {
		m->idle_since = 0;
		return NULL;
	}
	if (m->idle_since <= 0)
		m->idle_since = now;
	if (m->quarantined_until > now && m->fault_count > tunables.faults_most)
		return "faulty";
	if (now - m->idle_since <= tunables.idle_boots * machine_type->ready_s)
		return NULL;
	if (m->spot)
		return "idle";
	return take_surplus(&n->autoscaler, m, machine_type) ? "idle" : NULL;
}

int fl_autoscaler_scale_in(struct fl_node *n)
{
	const char *names[FL_DELETE_MAX];
	struct fl_machine *returning[FL_DELETE_MAX];
	double now = fl_now(), leases[FL_ZONES_MAX];
	int count = 0, rc;

	fl_failure_detector_timeouts(n, now, leases);
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (leases[z] > 1)
			n->autoscaler.zone_suspected_until[z] = now + tunables.suspected_s;

	for (int i = 0; i < n->cluster.machines.count && count < FL_DELETE_MAX; i++) {
		struct fl_machine *m = n->cluster.machines.by_id[i];
		const char *why = m->scaled_in ? NULL : scale_in_reason(n, m, now, leases);

		if (!why)
			continue;
		fl_info("cloud", "returning %s: %s", m->name, why);
		/* Half of those that are reclaimed give no notice: their silence is the first sign.
		 */
		n->autoscaler.spot_losses += m->spot && strcmp(why, "silent") == 0;
		m->draining = true;
		returning[count] = m;
		names[count++] = m->name;
	}
	if (count == 0)
		return 0;
	rc = fl_autoscaler_await_call_budget(n);
	if (!rc)
		rc = fl_cloud_delete(&n->cloud, names, count);
	for (int i = 0; i < count && rc == 0; i++) {
		returning[i]->scaled_in = true;
		fl_reconcile_decommission(n, returning[i], "returned");
	}
	return rc;
}
