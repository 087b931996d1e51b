#include "coordination/workers/failure_detector.h"

#include <math.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/workers/reachability.h"
#include "coordination/workers/renewal_rules.h"

static const struct {
	double timeout_margin_s;
	int tolerated_silent_machines;
	double silent_after_leases, network_fault_share, network_fault_zone_share,
		machine_fault_share, machine_fault_timeout_leases, network_fault_timeout_leases,
		zone_silence_slack_s;
} tunables = {
	.timeout_margin_s = 0.5, /* beyond the timeout, before the machine is considered lost */
	.tolerated_silent_machines = 2,  /* so few silent machines exceed no share */
	.silent_after_leases = 0.6,      /* without contact; must be below the shortest timeout */
	.network_fault_share = 0.4,      /* silent share of all machines, if exceeded */
	.network_fault_zone_share = 0.6, /* silent share of one zone's machines, if exceeded */
	.machine_fault_share = 0.15,     /* up to this silent share, single machines are faulty */
	.machine_fault_timeout_leases = 0.7, /* only while all controllers are stable */
	.network_fault_timeout_leases = 3.0,
	.zone_silence_slack_s = 5.0, /* between a machine and its controller falling silent */
};

/* Returns the time from which silence is counted: of the last contact in both directions. */
static double last_contact_at(const struct fl_node *node, const struct fl_machine *machine)
{
	double heartbeat_at = fmax(fmax(machine->heartbeat.last_received_at,
	                                node->leadership.heartbeats_receivable_since),
	                           machine->lifecycle.first_seen_at);

	/* Heartbeats from a machine that the leader's replies do not reach are no contact. */
	return fmin(heartbeat_at, fl_reachability_lost_since(machine));
}

/* Returns whether a controller's last gossip exchange was at about this time. */
static bool peer_fell_silent_near(const struct fl_peer *peer, double silent_at)
{
	return peer->last_response_at > silent_at - tunables.zone_silence_slack_s &&
	       peer->last_response_at < silent_at + tunables.zone_silence_slack_s;
}

/*
 * Returns for how many seconds the controllers of the machine's zone may renew its lease without
 * the leader; 0 if none can. A partitioned zone keeps running its tasks while its controllers have
 * a recent cancellation watermark; its machines and controllers fall silent together. If such
 * machines were considered lost earlier, all their valid work would start again, on machines that
 * still have to boot.
 */
static double zone_renewal_window_s(const struct fl_node *node, const struct fl_machine *machine)
{
	double contact_at = last_contact_at(node, machine);
	const char *zone;

	if (machine->zone < 0)
		return 0;
	zone = fl_symbol_name(&node->cluster.zones, machine->zone);
	for (int i = 0; i < node->peer_count; i++) {
		const struct fl_peer *peer = &node->peers[i];

		if (!peer->up && strcmp(peer->location, zone) == 0 &&
		    peer_fell_silent_near(peer, contact_at))
			return fl_renewal_window_s(node->config);
	}
	return 0;
}

bool fl_failure_detector_machine_is_lost(const struct fl_node *node,
                                         const struct fl_machine *machine, double now,
                                         const double timeout_leases[FL_ZONES_MAX])
{
	double silent_s = now - last_contact_at(node, machine) - tunables.timeout_margin_s;
	double timeout_s, renewal_window_s;

	if (!machine->lifecycle.up && machine->assignment_count == 0)
		return false;
	timeout_s =
		(machine->zone >= 0 ? timeout_leases[machine->zone] : 1) * node->config->lease_s;
	/* Almost all of the thousands of machines return here, without a scan of the peers. */
	if (silent_s <= timeout_s)
		return false;
	renewal_window_s = zone_renewal_window_s(node, machine);
	return renewal_window_s <= 0 || silent_s > node->config->lease_s + renewal_window_s;
}

/* How many machines of a set are silent. */
struct silence_counts {
	int silent_count, machine_count;
};

static void count_machine(struct silence_counts *counts, bool is_silent)
{
	counts->machine_count++;
	counts->silent_count += is_silent;
}

static bool silent_share_exceeds(const struct silence_counts *counts, double share)
{
	return counts->silent_count > tunables.tolerated_silent_machines &&
	       counts->silent_count > share * counts->machine_count;
}

/*
 * Returns whether every controller has been up for longer than a worker lease, so that no worker is
 * still searching for a controller. A silent machine has then failed or is isolated by itself, and
 * its tasks end with its lease in any case.
 */
static bool all_controllers_stable(const struct fl_node *node, double now)
{
	for (int i = 0; i < node->peer_count; i++)
		if (!node->peers[i].up || now < node->peers[i].up_since + node->config->lease_s)
			return false;
	return now > node->leadership.heartbeats_receivable_since + node->config->lease_s;
}

/* Returns whether silence of the machine would be evidence of a network fault. */
static bool counts_as_network_evidence(const struct fl_machine *machine)
{
	return !machine->lifecycle.decommissioned && !machine->lifecycle.draining &&
	       !machine->spot && (machine->lifecycle.up || machine->assignment_count > 0);
}

/* Counts the silent machines, in total and by zone. */
static void count_silent_machines(const struct fl_node *node, double now,
                                  struct silence_counts *all,
                                  struct silence_counts by_zone[FL_ZONES_MAX])
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		const struct fl_machine *machine = node->cluster.machines.by_id[i];
		bool is_silent;

		if (!counts_as_network_evidence(machine))
			continue;
		is_silent = now - last_contact_at(node, machine) >
		            tunables.silent_after_leases * node->config->lease_s;
		count_machine(all, is_silent);
		if (machine->zone >= 0)
			count_machine(&by_zone[machine->zone], is_silent);
	}
}

/*
 * Many machines silent at once indicate a network fault rather than a fault of each machine, so
 * their timeout is much longer. The network fault must be detected before the first machine times
 * out; otherwise they are considered lost two or three at a time. Spot machines are interrupted in
 * waves, so only on-demand machines are counted, in total and by zone.
 */
void fl_failure_detector_zone_timeouts(const struct fl_node *node, double now,
                                       double timeout_leases[FL_ZONES_MAX])
{
	struct silence_counts all = {0}, by_zone[FL_ZONES_MAX] = {{0}};

	count_silent_machines(node, now, &all, by_zone);
	for (int z = 0; z < FL_ZONES_MAX; z++) {
		timeout_leases[z] = 1;
		if (silent_share_exceeds(&all, tunables.network_fault_share) ||
		    silent_share_exceeds(&by_zone[z], tunables.network_fault_zone_share))
			timeout_leases[z] = tunables.network_fault_timeout_leases;
		else if (!silent_share_exceeds(&all, tunables.machine_fault_share) &&
		         all_controllers_stable(node, now))
			timeout_leases[z] = tunables.machine_fault_timeout_leases;
	}
}
