#include "coordination/silence.h"

#include <math.h>
#include <string.h>

#include "coordination/hearing.h"
#include "coordination/node.h"

static const struct {
	double extra_s;     /* s beyond a worker's lease before a silent machine is given up */
	double mass_share;  /* share of machines silent at once that points at us, not at them */
	double mass_leases; /* leases of silence after which they are given up all the same */
	double with_zone_s; /* s within which a machine and its zone's controller fall silent */
} choice = {0.5, 0.4, 3.0, 5.0};

static double last_sign(const struct fl_node *n, const struct fl_machine *m)
{
	double heard = fmax(fmax(m->heard, n->lead.since), m->created);

	/* Reports of one that does not hear us are no sign that it can be used. */
	return fmin(heard, fl_hearing_lost_at(m));
}

/*
 * A zone that is cut off goes on working inside, as long as its controllers have a proof to keep
 * with. Its machines fall silent together with them, and until then their work is as good as ever:
 * given up early, it would all start again, on machines that are still to boot.
 */
static double kept_by_zone(const struct fl_node *n, const struct fl_machine *m)
{
	double last = last_sign(n, m), slack = choice.with_zone_s;

	for (int i = 0; i < n->n_peers; i++) {
		const struct fl_peer *p = &n->peers[i];

		if (m->zone >= 0 && !p->up &&
		    strcmp(p->location, fl_names_at(&n->books.zones, m->zone)) == 0 &&
		    p->heard_at > last - slack && p->heard_at < last + slack)
			return fl_keeper_keep_s(n);
	}
	return 0;
}

bool fl_silence_lasts(const struct fl_node *n, const struct fl_machine *m, double now,
                      double leases)
{
	double allowed;

	if (!m->up && m->n_slots == 0)
		return false;
	allowed = fmax(leases * n->config->lease_s, n->config->lease_s + kept_by_zone(n, m));
	return now - last_sign(n, m) > allowed + choice.extra_s;
}

/* Many silent at once point at this node's own links: then it takes much longer to give up. */
double fl_silence_leases(const struct fl_node *n, double now)
{
	int up = 0, quiet = 0;

	for (int i = 0; i < n->books.machines.n; i++) {
		const struct fl_machine *m = n->books.machines.at[i];

		if (m->gone || (!m->up && m->n_slots == 0))
			continue;
		up++;
		quiet += now - last_sign(n, m) > n->config->lease_s + choice.extra_s;
	}
	return quiet > 2 && quiet > choice.mass_share * up ? choice.mass_leases : 1;
}
