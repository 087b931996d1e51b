#include "coordination/provision.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/reachability.h"
#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "coordination/schedule.h"
#include "coordination/failure_detector.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/routine.h"

static const struct {
	double round_s, list_s, types_s, refused_s, doubt_cost, idle_boots, boot_late, boot_most,
		soon_boots, learn_s, reserve_sd, tombstone_s, spot_prior_s;
	int machines_most, tries;
} tunables = {
	.round_s = 0.5,    /* s between two looks at the machines */
	.list_s = 3.0,     /* s between two lists */
	.types_s = 30.0,   /* s between two looks at prices */
	.refused_s = 20.0, /* s for which a refused place is not asked again */
	.doubt_cost = 2.0, /* times the price that a zone counts for while it cannot be reached */
	.idle_boots = 0.4, /* boot times for which an idle machine is kept */
	.boot_late = 1.6,  /* boot times after which a booting machine is no longer counted on */
	.boot_most = 3.0,  /* boot times after which a booting machine is given up */
	.soon_boots = 0.7, /* boot times within which an ending task's room is waited for */
	.learn_s = 300.0,  /* s over which the arrival of services is counted */
	.reserve_sd = 2.0, /* spreads of the arrivals expected while a machine boots, on top */
	.tombstone_s = 900.0, /* s; messages may arrive minutes late */
	.spot_prior_s =
		3600.0,       /* machine-seconds without a loss that are taken for seen at first */
	.machines_most = 400, /* rented in one round */
	.tries = 3,           /* of one rental that goes unanswered */
};

/* A machine that is booting or about to be rented, filled in thought. */
struct virtual
{
	int type, zone;
	bool spot, fresh;
	double cpus, gpus, ram;
};

struct plan {
	struct fl_node *n;
	struct virtual *at;
	int count, cap, fresh;
	double soon; /* tasks' worth of room that ends before a machine could boot */
	int zone_machines[FL_ZONES_MAX];
	double now, wall;
};

static struct virtual *add_virtual(struct plan *p, int type, int zone, bool spot, bool fresh)
{
	const struct fl_machine_type *k = &p->n->cluster.machines.types[type];

	if (p->count == p->cap)
		return NULL;
	p->at[p->count] = (struct virtual){type, zone, spot, fresh, k->cpus, k->gpus, k->ram_gb};
	p->fresh += fresh;
	return &p->at[p->count++];
}

static bool job_allows(const struct fl_job *job, int type, int zone, bool spot)
{
	return (job->types >> type & 1) && (job->zone < 0 || job->zone == zone) &&
	       (job->reclaimable || !spot);
}

static bool zone_allows(const struct fl_job *job, const uint32_t *placed, int zone)
{
	if (job->apart && placed[zone] + 1 > (job->n_tasks + 1) / 2)
		return false;
	for (int z = 0; job->together && z < FL_ZONES_MAX; z++)
		if (z != zone && placed[z] > 0)
			return false;
	return true;
}

static bool room_for(const struct virtual *v, const struct fl_job *job)
{
	return v->cpus + 1e-6 >= job->cpus && v->gpus + 1e-6 >= job->gpus &&
	       v->ram + 1e-6 >= job->ram_gb;
}

static bool type_fits(const struct fl_machine_type *k, const struct fl_job *job)
{
	return k->cpus + 1e-6 >= job->cpus && k->gpus + 1e-6 >= job->gpus &&
	       k->ram_gb + 1e-6 >= job->ram_gb;
}

static uint32_t tasks_fit(const struct fl_job *job, double cpus, double gpus, double ram)
{
	return fl_tasks_fit((struct fl_amounts){job->cpus, job->gpus, job->ram_gb},
	                    (struct fl_amounts){cpus, gpus, ram});
}

/* Price a second of one task's share of the machine. */
static double unit_price(const struct fl_machine_type *k, const struct fl_job *job, bool spot)
{
	uint32_t n = tasks_fit(job, k->cpus, k->gpus, k->ram_gb);

	return (spot ? k->spot_price : k->price) / (n > 0 ? n : 1);
}

/* `only`: the zone, or -1 for any. */
static struct virtual *rent_for(struct plan *p, const struct fl_job *job, const uint32_t *placed,
                                int only)
{
	const struct fl_machines *ms = &p->n->cluster.machines;
	double best_cost = INFINITY;
	int type = -1, zone = -1, spot = 0;

	if (p->fresh >= tunables.machines_most)
		return NULL;
	for (int k = 0; k < ms->n_types; k++) {
		for (int z = 0; z < p->n->cluster.zones.n && z < FL_ZONES_MAX; z++) {
			for (int s = 0; s < 2; s++) {
				double cost;

				if ((only >= 0 && z != only) || !(ms->types[k].zones >> z & 1) ||
				    !type_fits(&ms->types[k], job) || !job_allows(job, k, z, s) ||
				    !zone_allows(job, placed, z) ||
				    p->n->provision.refused_until[k][z][s] > p->now)
					continue;
				/* Among equal prices, the zone that holds the least. */
				cost = unit_price(&ms->types[k], job, s) *
				       (1 + 1e-4 * p->zone_machines[z] +
				        (job->apart ? 0.1 * placed[z] : 0));
				/* A machine that cannot report is paid for nothing. */
				if (p->n->provision.doubted_until[z] > p->now)
					cost *= tunables.doubt_cost;
				if (cost < best_cost) {
					best_cost = cost;
					type = k;
					zone = z;
					spot = s;
				}
			}
		}
	}
	if (type < 0)
		return NULL;
	p->zone_machines[zone]++;
	return add_virtual(p, type, zone, spot, true);
}

static bool place_in_thought(struct plan *p, const struct fl_job *job, uint32_t *placed)
{
	struct virtual *v = NULL;

	for (int i = 0; i < p->count && !v; i++) {
		struct virtual *c = &p->at[i];

		if (job_allows(job, c->type, c->zone, c->spot) && room_for(c, job) &&
		    zone_allows(job, placed, c->zone))
			v = c;
	}
	if (!v)
		v = rent_for(p, job, placed, -1);
	if (!v)
		return false;
	v->cpus -= job->cpus;
	v->gpus -= job->gpus;
	v->ram -= job->ram_gb;
	placed[v->zone]++;
	return true;
}

/* More than the team's limit lets run at once need no machine. */
static uint32_t cap_by_team(const struct fl_node *n, const struct fl_job *job, uint32_t want)
{
	const struct fl_team *t = &n->cluster.teams.at[job->team];
	double most = want;

	if (t->gpus_max > 0 && job->gpus > 0)
		most = fmin(most, floor((t->gpus_max - t->used_gpus) / job->gpus + 1e-6));
	if (t->cpus_max > 0 && job->cpus > 0)
		most = fmin(most, floor((t->cpus_max - t->used_cpus) / job->cpus + 1e-6));
	return most > 0 ? (uint32_t)most : 0;
}

static void plan_job(struct plan *p, const struct fl_job *job, uint32_t want)
{
	uint32_t placed[FL_ZONES_MAX];

	memcpy(placed, job->zone_placed, sizeof(placed));
	want = cap_by_team(p->n, job, want);
	while (want > 0 && job->kind == FL_ARRAY && p->soon >= 1) {
		p->soon -= 1;
		want--;
	}
	while (want > 0 && place_in_thought(p, job, placed))
		want--;
}

static void note_machines(struct plan *p)
{
	struct fl_cluster *b = &p->n->cluster;

	for (int i = 0; i < b->machines.n; i++) {
		struct fl_machine *m = b->machines.at[i];

		if (m->gone || !m->described)
			continue;
		p->zone_machines[m->zone]++;
		/* Some boot for minutes and a few for ever: what waits must not wait for those. */
		if (!m->up && !m->deleting && m->n_slots == 0 &&
		    p->now - m->created < tunables.boot_late * b->machines.types[m->type].ready_s)
			add_virtual(p, m->type, m->zone, m->spot, false);
		for (int k = 0; m->up && k < m->n_slots; k++) {
			const struct fl_job *job = m->slots[k].job;
			const struct fl_task *t = fl_task_peek(job, m->slots[k].index);

			if (job->kind == FL_ARRAY && t->observed == FL_OBSERVED_RUNNING &&
			    job->expected_s - (p->now - t->since) <
			            tunables.soon_boots * b->machines.types[m->type].ready_s)
				p->soon += 1;
		}
	}
}

/* Room that a service could have at once: free, or held by what it may stop. */
static uint32_t room_on(const struct fl_node *n, const struct fl_machine *m,
                        const struct fl_job *like)
{
	const struct fl_machine_type *k = &n->cluster.machines.types[m->type];
	double cpus = k->cpus, gpus = k->gpus, ram = k->ram_gb;

	if (m->spot || m->deleting || !job_allows(like, m->type, m->zone, m->spot))
		return 0;
	for (int i = 0; i < m->n_slots; i++) {
		const struct fl_job *job = m->slots[i].job;

		if (job->priority < like->priority)
			continue;
		cpus -= job->cpus;
		gpus -= job->gpus;
		ram -= job->ram_gb;
	}
	return tasks_fit(like, cpus, gpus, ram);
}

/*
 * A service should not wait for a machine to boot. As many tasks as lately came in one boot time,
 * and a spread more, must find room at once on machines that are up, be it by stopping arrays.
 */
static void plan_reserve(struct plan *p)
{
	struct fl_cluster *b = &p->n->cluster;
	const struct fl_job *like = NULL;
	struct fl_job *job, *tmp;
	double tasks = 0, need, have[FL_ZONES_MAX] = {0};
	uint32_t none[FL_ZONES_MAX] = {0};
	int shares;

	HASH_ITER (hh, b->jobs, job, tmp) {
		if (job->kind != FL_SERVICE || job->priority < FL_URGENT ||
		    p->wall - job->submitted > tunables.learn_s)
			continue;
		tasks += job->n_tasks;
		if (!like || job->submitted > like->submitted)
			like = job;
	}
	p->n->provision.spare_shares = 0;
	if (!like || b->machines.n_types == 0)
		return;
	/* What must be apart needs room in each zone, also to replace what is lost in one. */
	shares = like->apart ? b->zones.n : 1;
	p->n->provision.spare_shares = shares;
	need = tasks / tunables.learn_s * b->machines.types[0].ready_s;
	need = ceil((need + tunables.reserve_sd * sqrt(need)) / shares);
	for (int i = 0; i < b->machines.n; i++) {
		const struct fl_machine *m = b->machines.at[i];

		if (!m->gone && m->described && m->up)
			have[m->zone % shares] += room_on(p->n, m, like);
	}
	for (int z = 0; z < shares; z++)
		p->n->provision.spare[z] = (int)(have[z] - need);
	for (int i = 0; i < p->count; i++)
		if (!p->at[i].spot)
			have[p->at[i].zone % shares] +=
				tasks_fit(like, p->at[i].cpus, p->at[i].gpus, p->at[i].ram);
	for (int z = 0; z < shares; z++)
		while (have[z] < need && rent_for(p, like, none, shares > 1 ? z : -1))
			have[z] += fmax(1, tasks_fit(like, p->at[p->count - 1].cpus,
			                             p->at[p->count - 1].gpus,
			                             p->at[p->count - 1].ram));
}

static void store_want(struct fl_provision *pr, const struct plan *p)
{
	pr->n_want = 0;
	for (int i = 0; i < p->count; i++) {
		const struct virtual *v = &p->at[i];
		int k = 0;

		if (!v->fresh)
			continue;
		/* A rental that is full already: the rest goes into another. */
		while (k < pr->n_want &&
		       !(pr->want[k].type == v->type && pr->want[k].zone == v->zone &&
		         pr->want[k].spot == v->spot && pr->want[k].count < FL_RENT_MAX))
			k++;
		if (k == pr->n_want) {
			if (k == FL_WANT_MAX) {
				fl_debug("cloud", "more than %d rentals: the rest next time", k);
				break;
			}
			pr->want[pr->n_want++] = (struct fl_want){v->type, v->zone, 0, v->spot};
		}
		pr->want[k].count++;
	}
}

void fl_provision_shortage(struct fl_node *n, struct fl_job **jobs, const uint32_t *short_of,
                           int count)
{
	struct plan p = {.n = n, .now = fl_now(), .wall = fl_wall()};

	if (n->provision.busy)
		return;
	p.cap = n->cluster.machines.n + tunables.machines_most + 1;
	p.at = malloc((size_t)p.cap * sizeof(*p.at));
	if (!p.at)
		return;
	note_machines(&p);
	for (int priority = FL_CRITICAL; priority >= FL_BEST_EFFORT; priority--)
		for (int i = 0; i < count; i++)
			if ((int)jobs[i]->priority == priority && short_of[i] > 0)
				plan_job(&p, jobs[i], short_of[i]);
	plan_reserve(&p);
	store_want(&n->provision, &p);
	free(p.at);
}

static int spend_call(struct fl_node *n)
{
	double wait;

	while ((wait = fl_budget_take(&n->provision.calls, 1, fl_now())) > 0)
		if (fl_sleep(wait) != 0)
			return -ECANCELED;
	return fl_lease_valid(n) ? 0 : -EAGAIN;
}

static int rent(struct fl_node *n, const struct fl_want *w)
{
	const char *type = n->cluster.machines.types[w->type].name;
	const char *zone = fl_names_at(&n->cluster.zones, w->zone);
	char name[64], (*hosts)[FL_NAME_MAX] = NULL;
	int got = 0, rc = -EAGAIN;

	/* The epoch of the takeover makes the name this leader's own; it is never used again. */
	snprintf(name, sizeof(name), "r-%llu-%llu", (unsigned long long)n->lead.first_epoch,
	         (unsigned long long)++n->provision.rentals);
	for (int i = 0; i < tunables.tries; i++) {
		int rc_call = spend_call(n);

		if (rc_call)
			return rc_call;
		rc = fl_cloud_rent(&n->cloud, name, type, zone, w->spot, w->count, &hosts, &got);
		if (rc == 0 || rc == -ENOSPC || rc == -EAGAIN || rc == -ECANCELED)
			break;
	}
	for (int i = 0; i < got; i++) {
		struct fl_machine *m = fl_machine_get(&n->cluster.machines, hosts[i], fl_now());

		if (!m)
			continue;
		fl_cluster_describe(&n->cluster, m, w->type, w->zone, w->spot, NULL);
		fl_debug("cloud", "%s is %s", m->name, w->spot ? "reclaimable" : "ordinary");
	}
	free(hosts);
	if (rc == 0)
		fl_info("cloud", "rented %d of %d %s%s in %s", got, w->count,
		        w->spot ? "reclaimable " : "", type, zone);
	else
		fl_info("cloud", "no %s%s in %s: %s", w->spot ? "reclaimable " : "", type, zone,
		        strerror(-rc));
	if (rc == -ENOSPC || (rc == 0 && got < w->count))
		n->provision.refused_until[w->type][w->zone][w->spot] =
			fl_now() + tunables.refused_s;
	return rc == -ENOSPC ? 0 : rc;
}

static int rent_wanted(struct fl_node *n)
{
	struct fl_want want[FL_WANT_MAX];
	int count = n->provision.n_want, rc = 0;

	if (count == 0)
		return 0;
	memcpy(want, n->provision.want, sizeof(want));
	n->provision.busy = true;
	n->provision.n_want = 0;
	for (int i = 0; i < count && rc == 0; i++)
		rc = rent(n, &want[i]);
	n->provision.busy = false;
	fl_signal_wake(&n->lead.work);
	return rc;
}

static void take_listed(struct fl_node *n, const struct fl_listed *l, double now, int *seen)
{
	struct fl_machine *m = fl_machine_get(&n->cluster.machines, l->host, now);

	if (!m)
		return;
	fl_cluster_describe(&n->cluster, m, fl_machine_type_find(&n->cluster.machines, l->type),
	                    fl_names_find(&n->cluster.zones, l->zone), l->spot, l->endpoint);
	if (m->id < *seen)
		m->listed = true;
	if (l->status == FL_HOST_FAILED && !m->gone)
		fl_reconcile_gone(n, m, "it failed");
	if (l->status == FL_HOST_FAILED)
		m->deleting = true;
}

/*
 * Missing from a list proves a machine gone only if that list, which may be twice the lag old,
 * must have been made after the machine was there.
 */
static void conclude_missing(struct fl_node *n, double sent, int known)
{
	double lag = 2 * n->config->list_lag_s + 1;

	for (int i = 0; i < known; i++) {
		struct fl_machine *m = n->cluster.machines.at[i];

		if (m->gone || m->listed || sent <= m->created + lag)
			continue;
		n->provision.spot_lost += m->spot;
		fl_reconcile_gone(n, m, "no longer listed");
	}
}

static int list_all(struct fl_node *n)
{
	double sent = fl_now();
	int known = n->cluster.machines.n, rc;
	char from[FL_NAME_MAX] = "";
	bool more = true;

	for (int i = 0; i < known; i++)
		n->cluster.machines.at[i]->listed = false;
	while (more) {
		struct fl_listed *l;
		int count;

		rc = spend_call(n);
		if (!rc)
			rc = fl_cloud_list(&n->cloud, from, &l, &count, &more);
		if (rc)
			return rc;
		for (int i = 0; i < count; i++)
			take_listed(n, &l[i], fl_now(), &known);
		if (count > 0)
			strcpy(from, l[count - 1].host);
		else
			more = false;
		free(l);
	}
	n->provision.listed_at = sent;
	conclude_missing(n, sent, known);
	return 0;
}

static const char *why_return(struct fl_node *n, struct fl_machine *m, double now,
                              const double leases[FL_ZONES_MAX])
{
	const struct fl_machine_type *k = m->type >= 0 ? &n->cluster.machines.types[m->type] : NULL;
	bool empty = m->n_slots == 0 && m->foreign == 0;

	if (m->deleting)
		return "given up";
	if (m->gone)
		return NULL;
	if (fl_failure_detector_expired(n, m, now, leases))
		return fl_reachability_lost_at(m) < INFINITY ? "does not hear us" : "silent";
	if (!k)
		return NULL;
	if (!m->up && m->n_slots == 0 && now - m->created > tunables.boot_most * k->ready_s + 5)
		return "never came up";
	if (!m->up || !empty) {
		m->idle_since = 0;
		return NULL;
	}
	if (m->idle_since <= 0)
		m->idle_since = now;
	if (m->avoid_until > now && m->faults > 2)
		return "faulty";
	if (now - m->idle_since <= tunables.idle_boots * k->ready_s)
		return NULL;
	if (m->spot)
		return "idle";
	/* An ordinary machine may be part of the reserve for services. */
	if (n->provision.spare_shares > 0) {
		int *spare = &n->provision.spare[m->zone % n->provision.spare_shares];

		if (*spare < k->gpus)
			return NULL;
		*spare -= (int)k->gpus;
	}
	return "idle";
}

static int return_machines(struct fl_node *n)
{
	const char *names[FL_DELETE_MAX];
	struct fl_machine *list[FL_DELETE_MAX];
	double now = fl_now(), leases[FL_ZONES_MAX];
	int count = 0, rc;

	fl_failure_detector_leases(n, now, leases);
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (leases[z] > 1)
			n->provision.doubted_until[z] = now + tunables.refused_s;

	for (int i = 0; i < n->cluster.machines.n && count < FL_DELETE_MAX; i++) {
		struct fl_machine *m = n->cluster.machines.at[i];
		const char *why = m->returned ? NULL : why_return(n, m, now, leases);

		if (!why)
			continue;
		fl_info("cloud", "returning %s: %s", m->name, why);
		/* Half of those that are taken give no notice, and are missed here first. */
		n->provision.spot_lost += m->spot && strcmp(why, "silent") == 0;
		m->deleting = true;
		list[count] = m;
		names[count++] = m->name;
	}
	if (count == 0)
		return 0;
	rc = spend_call(n);
	if (!rc)
		rc = fl_cloud_delete(&n->cloud, names, count);
	for (int i = 0; i < count && rc == 0; i++) {
		list[i]->returned = true;
		fl_reconcile_gone(n, list[i], "returned");
	}
	return rc;
}

/* For controllers that start while the cloud is out: see read_types in node.c. */
static void store_types(struct fl_node *n, const struct fl_offered_type *types, int count)
{
	struct fl_multi m;
	uint64_t rev;

	if (fl_budget_take(&n->lead.writes, 1, fl_now()) > 0)
		return; /* launches need the writes: the next look will do */
	fl_multi_init(&m);
	fl_multi_when(&m, FL_KEY_LEAD, n->lease.lead_rev);
	fl_multi_put(&m, FL_KEY_MACHINE_TYPES, fl_machine_types_encode(types, count), 0);
	if (fl_state_multi(&n->state, &m, &rev, NULL) != 0)
		fl_debug("cloud", "machine types not stored");
}

static void refresh_types(struct fl_node *n)
{
	struct fl_offered_type *types;
	int count;

	if (spend_call(n) != 0 || fl_cloud_machine_types(&n->cloud, &types, &count) != 0)
		return;
	fl_machine_types_set(&n->cluster.machines, &n->cluster.zones, types, count);
	store_types(n, types, count);
	free(types);
}

double fl_provision_spot_loss(const struct fl_node *n)
{
	return n->provision.spot_lost / (n->provision.spot_s + tunables.spot_prior_s);
}

static void count_spot(struct fl_node *n)
{
	double now = fl_now(), since = now - n->provision.counted_at;

	for (int i = 0; i < n->cluster.machines.n && n->provision.counted_at > 0; i++) {
		const struct fl_machine *m = n->cluster.machines.at[i];

		if (m->spot && m->up && !m->gone)
			n->provision.spot_s += since;
	}
	n->provision.counted_at = now;
}

void fl_provision_begin(struct fl_node *n)
{
	double now = fl_now();

	memset(&n->provision, 0, sizeof(n->provision));
	n->provision.types_at = -1e9; /* what was read from a record may be old */
	fl_budget_init(&n->provision.calls, n->config->cloud_rps * 0.8,
	               2 * n->config->cloud_rps * 0.8, now);
}

void fl_provision_duty(void *arg)
{
	struct fl_node *n = arg;

	while (fl_sleep(tunables.round_s) == 0) {
		if (!fl_lease_valid(n))
			continue;
		/* Here nothing of this duty is under way, and pushes keep their machines. */
		fl_cluster_purge(&n->cluster, fl_now() - tunables.tombstone_s);
		count_spot(n);
		return_machines(n);
		rent_wanted(n);
		if (fl_now() > n->provision.listed_at + tunables.list_s)
			list_all(n);
		if (fl_now() > n->provision.types_at + tunables.types_s) {
			n->provision.types_at = fl_now();
			refresh_types(n);
		}
	}
	n->lead.running--;
	fl_signal_wake(&n->lead.ended);
}
