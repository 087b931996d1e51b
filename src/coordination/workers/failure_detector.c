#include "coordination/workers/failure_detector.h"

#include <math.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/workers/reachability.h"
#include "coordination/workers/renewal_rules.h"

static const struct {
	double margin_s;
	int tolerated_silent;
	double silent_leases, network_share, network_zone_share, machine_share, machine_leases,
		network_leases, zone_slack_s;
} tunables = {
	.margin_s = 0.5,       /* s beyond a worker's lease before its machine is lost */
	.tolerated_silent = 2, /* machines that may be silent at once in any case */
	.silent_leases = 0.6,  /* leases without contact after which a machine is silent */
	.network_share = 0.4,  /* share of all machines silent at once that blames the network */
	.network_zone_share = 0.6, /* the same of the machines of one zone */
	.machine_share = 0.15,     /* share up to which the machines themselves are blamed */
	.machine_leases = 0.7,     /* leases allowed then, if all controllers are stable */
	.network_leases = 3.0,     /* leases allowed if the network is blamed */
	.zone_slack_s = 5.0, /* s within which a machine and its zone's controller fall silent */
};

/* The last time at which the machine was surely in contact both ways. */
static double last_contact(const struct fl_node *node, const struct fl_machine *machine)
{
	double heartbeat_at = fmax(fmax(machine->heartbeat.last_received_at,
	                                node->leadership.heartbeats_receivable_since),
	                           machine->lifecycle.first_seen_at);

	/* Heartbeats from a machine that is not reachable for our replies do not count. */
	return fmin(heartbeat_at, fl_reachability_lost_since(machine));
}

/* Whether a controller fell silent at about this time (steady). */
static bool fell_silent_at(const struct fl_peer *peer, double at)
{
	return peer->last_response_at > at - tunables.zone_slack_s &&
	       peer->last_response_at < at + tunables.zone_slack_s;
}

/*
 * Seconds for which the controllers of the machine's zone may renew its lease without us; 0: not at
 * all. A zone that is partitioned goes on working inside, as long as its controllers have a recent
 * cancellation watermark. Its machines fall silent together with them, and until then their work is
 * valid: considered lost early, it would all start again, on machines that are still to boot.
 */
static double renewal_by_zone_s(const struct fl_node *node, const struct fl_machine *machine)
{
	double last = last_contact(node, machine);
	const char *zone;

	if (machine->zone < 0)
		return 0;
	zone = fl_symbol_name(&node->cluster.zones, machine->zone);
	for (int i = 0; i < node->peer_count; i++) {
		const struct fl_peer *peer = &node->peers[i];

		if (!peer->up && strcmp(peer->location, zone) == 0 && fell_silent_at(peer, last))
			return fl_renewal_window_s(node->config);
	}
	return 0;
}

bool fl_failure_detector_machine_expired(const struct fl_node *node,
                                         const struct fl_machine *machine, double now,
                                         const double leases[FL_ZONES_MAX])
{
	double silent_s = now - last_contact(node, machine) - tunables.margin_s;
	double allowed_s, renewed_s;

	if (!machine->lifecycle.up && machine->assignment_count == 0)
		return false;
	allowed_s = (machine->zone >= 0 ? leases[machine->zone] : 1) * node->config->lease_s;
	/* Thousands are in time; only for the few others the zone's controllers are looked up. */
	if (silent_s <= allowed_s)
		return false;
	renewed_s = renewal_by_zone_s(node, machine);
	return renewed_s <= 0 || silent_s > node->config->lease_s + renewed_s;
}

/* Of a set of machines, how many are silent. */
struct silence {
	int silent_count, machine_count;
};

static void count_machine(struct silence *silence, bool is_silent)
{
	silence->machine_count++;
	silence->silent_count += is_silent;
}

static bool exceeds(const struct silence *silence, double share)
{
	return silence->silent_count > tunables.tolerated_silent &&
	       silence->silent_count > share * silence->machine_count;
}

/*
 * Whether every controller has been up for a lease, so that no worker is looking for a new one: a
 * machine that is silent now is dead or isolated by itself, and its tasks end with its lease in any
 * case.
 */
static bool controllers_stable(const struct fl_node *node, double now)
{
	for (int i = 0; i < node->peer_count; i++)
		if (!node->peers[i].up || now < node->peers[i].up_since + node->config->lease_s)
			return false;
	return now > node->leadership.heartbeats_receivable_since + node->config->lease_s;
}

/* Whether the machine's silence says anything of the network. */
static bool is_counted(const struct fl_machine *machine)
{
	return !machine->lifecycle.decommissioned && !machine->lifecycle.draining &&
	       !machine->spot && (machine->lifecycle.up || machine->assignment_count > 0);
}

/* Counts the silent machines, in all and in each zone. */
static void count_silent(const struct fl_node *node, double now, struct silence *all,
                         struct silence by_zone[FL_ZONES_MAX])
{
	for (int i = 0; i < node->cluster.machines.count; i++) {
		const struct fl_machine *machine = node->cluster.machines.by_id[i];
		bool is_silent;

		if (!is_counted(machine))
			continue;
		is_silent = now - last_contact(node, machine) >
		            tunables.silent_leases * node->config->lease_s;
		count_machine(all, is_silent);
		if (machine->zone >= 0)
			count_machine(&by_zone[machine->zone], is_silent);
	}
}

/*
 * Many silent at once point at the network rather than at each of them: then it takes much longer
 * until they are considered lost. That must be detected before the first of them is due, or they
 * are lost by twos and threes. Spot machines are interrupted in waves, so only on-demand ones are
 * counted, in all and in each zone.
 */
void fl_failure_detector_zone_timeouts(const struct fl_node *node, double now,
                                       double leases[FL_ZONES_MAX])
{
	struct silence all = {0}, by_zone[FL_ZONES_MAX] = {{0}};

	count_silent(node, now, &all, by_zone);
	for (int z = 0; z < FL_ZONES_MAX; z++) {
		leases[z] = 1;
		if (exceeds(&all, tunables.network_share) ||
		    exceeds(&by_zone[z], tunables.network_zone_share))
			leases[z] = tunables.network_leases;
		else if (!exceeds(&all, tunables.machine_share) && controllers_stable(node, now))
			leases[z] = tunables.machine_leases;
	}
}
