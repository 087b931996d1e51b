#include "coordination/failure_detector.h"

#include <math.h>
#include <string.h>

#include "coordination/reachability.h"
#include "coordination/node.h"

static const struct {
	double extra_s;
	int few;
	double quiet_leases, mass_share, zone_share, calm_share, calm_leases, mass_leases,
		with_zone_s;
} tunables = {
	.extra_s = 0.5,      /* s beyond a worker's lease before a silent machine is given up */
	.few = 2,            /* machines that may be silent at once in any case */
	.quiet_leases = 0.6, /* leases of silence from which on a machine counts as quiet */
	.mass_share = 0.4,   /* share of all machines quiet at once that points at links */
	.zone_share = 0.6,   /* the same of one zone's */
	.calm_share = 0.15,  /* the same up to which the machines must be the cause */
	.calm_leases = 0.7,  /* leases of silence if so, and nothing else is amiss */
	.mass_leases = 3.0,  /* leases of silence after which they are given up all the same */
	.with_zone_s = 5.0,  /* s within which a machine and its zone's controller fall silent */
};

static double last_sign(const struct fl_node *n, const struct fl_machine *m)
{
	double heard = fmax(fmax(m->heard, n->lead.since), m->created);

	/* Reports of one that does not hear us are no sign that it can be used. */
	return fmin(heard, fl_reachability_lost_at(m));
}

/*
 * A zone that is cut off goes on working inside, as long as its controllers have a proof to renew
 * with. Its machines fall silent together with them, and until then their work is as good as ever:
 * given up early, it would all start again, on machines that are still to boot.
 */
static double renewed_by_zone(const struct fl_node *n, const struct fl_machine *m)
{
	double last = last_sign(n, m), slack = tunables.with_zone_s;

	for (int i = 0; i < n->n_peers; i++) {
		const struct fl_peer *p = &n->peers[i];

		if (m->zone >= 0 && !p->up &&
		    strcmp(p->location, fl_names_at(&n->cluster.zones, m->zone)) == 0 &&
		    p->heard_at > last - slack && p->heard_at < last + slack)
			return fl_standby_renewal_s(n);
	}
	return 0;
}

bool fl_failure_detector_expired(const struct fl_node *n, const struct fl_machine *m, double now,
                                 const double leases[FL_ZONES_MAX])
{
	double allowed, silent = now - last_sign(n, m) - tunables.extra_s, renewed;

	if (!m->up && m->n_slots == 0)
		return false;
	allowed = (m->zone >= 0 ? leases[m->zone] : 1) * n->config->lease_s;
	/* Thousands report in time; of the few others it is asked who may renew them. */
	if (silent <= allowed)
		return false;
	renewed = renewed_by_zone(n, m);
	return renewed <= 0 || silent > n->config->lease_s + renewed;
}

struct share {
	int quiet, all;
};

static bool too_many(struct share s, double most)
{
	return s.quiet > tunables.few && s.quiet > most * s.all;
}

/*
 * Every controller has been there for a lease, so that no worker is looking for a new one: a
 * machine that is silent now is dead or cut off by itself, and its tasks end with its lease in any
 * case.
 */
static bool calm(const struct fl_node *n, double now)
{
	for (int i = 0; i < n->n_peers; i++)
		if (!n->peers[i].up || now < n->peers[i].up_since + n->config->lease_s)
			return false;
	return now > n->lead.since + n->config->lease_s;
}

/*
 * Many silent at once point at our links to them, or theirs to us, rather than at each of them:
 * then it takes much longer to give them up. That must show before the first of them is due, or
 * they go by twos and threes. Cheap machines are taken in waves, so ordinary ones are the measure,
 * in all and in each zone.
 */
void fl_failure_detector_leases(const struct fl_node *n, double now, double leases[FL_ZONES_MAX])
{
	struct share all = {0}, zone[FL_ZONES_MAX] = {{0}};

	for (int i = 0; i < n->cluster.machines.n; i++) {
		const struct fl_machine *m = n->cluster.machines.at[i];
		bool quiet;

		if (m->gone || m->deleting || m->spot || (!m->up && m->n_slots == 0))
			continue;
		quiet = now - last_sign(n, m) > tunables.quiet_leases * n->config->lease_s;
		all.all++;
		all.quiet += quiet;
		if (m->zone < 0)
			continue;
		zone[m->zone].all++;
		zone[m->zone].quiet += quiet;
	}
	for (int z = 0; z < FL_ZONES_MAX; z++) {
		leases[z] = 1;
		if (too_many(all, tunables.mass_share) || too_many(zone[z], tunables.zone_share))
			leases[z] = tunables.mass_leases;
		else if (!too_many(all, tunables.calm_share) && calm(n, now))
			leases[z] = tunables.calm_leases;
	}
}
