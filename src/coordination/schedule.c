#include "coordination/schedule.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

const struct fl_sched_params fl_sched_defaults = {
	.alpha = 1,    /* a job rises as it waits */
	.beta = -1,    /* short ones first */
	.gamma = -0.5, /* narrow ones first: users count jobs, and wide ones hold many back */
	.r = 10,       /* one priority is worth ten times the wait */
	.omega = 4,    /* the finite value that did best in the paper's tables */
	.default_est_s = 3600,
	.patience_s = 120, /* half of what users grant the largest job before it begins */
	.impatience = 4,   /* power; at twice the patience it outweighs all but the priority */
	.background_patience = 3, /* nobody says when it should be done; it begins as others do */
};

static const struct {
	double eps, zone_weight, hold_weight, odd_weight, pack_weight, again_s, fetch_ahead,
		fetch_wait_s, swap_s, min_wait_s;
} tunables = {
	.eps = 1e-6,         /* amounts are sums of decimal fractions */
	.zone_weight = 1000, /* s per replica already in the zone: spreading beats a fetch */
	.hold_weight = 8,    /* s; a machine that no service holds: empty, it could be returned */
	.odd_weight = 8,     /* s; such a machine, and dear, for a job that may use a cheap one */
	.pack_weight = 1,    /* s per free accelerator left: fill machines, so that others empty */
	.again_s = 30,       /* s to start over what was lost, beside the work itself */
	.fetch_ahead = 3,    /* times that a fetch counts for a service which goes ahead */
	.fetch_wait_s = 4,   /* s; a longer fetch of such a service is worth a stop elsewhere */
	.swap_s = 60,        /* s of work that such a stop may lose at most */
	.min_wait_s = 0.1,   /* s; so that jobs just submitted are ordered by the other factors */
};

struct pass {
	struct fl_sched_in *in;
	struct fl_sched_out *out;
	int *order, *rank;
	double *priority;
	/* The runs of machine i are run_of[first[i]] up to run_of[first[i + 1]]. */
	int *first, *run_of;
	/* Room that stops under way will free and that is not reserved yet, per machine. */
	double *coming_cpus, *coming_gpus, *coming_ram;
	/* Of the job in hand, per machine: how well a start or a preemption would do there. */
	double *start_score, *preemption_cost;
	int *victims;  /* room for the runs of any machine */
	bool resumed;  /* the jobs in hand were not looked at in the order from its head */
	uint32_t held; /* tasks of the job in hand that wait for room where their image lies */
	bool failed;
};

double fl_sched_priority(const struct fl_sched_params *p, const struct fl_sched_job *j)
{
	double wait = j->waited_s > tunables.min_wait_s ? j->waited_s : tunables.min_wait_s;
	double est = j->est_s > 0 ? j->est_s : p->default_est_s;
	double n = j->cpus * j->n_tasks;
	double patience = p->patience_s * (j->background ? p->background_patience : 1);

	if (n <= 0)
		n = 1;
	/*
	 * By the product alone a wide, long job waits for ever behind a stream of small ones: it
	 * needs as many times their wait as it is wider and longer. The wait's own weight therefore
	 * grows.
	 *
	 * Background work is one queue lower. Found on a day with six idle-time arrays of 161 tasks
	 * of 300 s: after two minutes they went before arrays of their own priority that are to be
	 * done within 150 s, and held all machines of the site for five minutes.
	 */
	return pow(wait / 3600, p->alpha) * (1 + pow(wait / patience, p->impatience)) *
	       pow(est / 3600, p->beta) * pow(n / 32, p->gamma) *
	       pow(p->r, (int)j->priority - 1 - j->background);
}

/* A service that may stop others goes ahead of them: placing it first saves the stop. */
static bool ahead(const struct fl_sched_job *j) { return j->service && j->priority >= FL_URGENT; }

/*
 * Nothing is passed over without end, however hostile what comes after it: an array that has not
 * begun within the patience goes before other arrays, for one task. That costs little room, so it
 * holds in any overload; how fast the rest follows is left to the order.
 */
static bool overdue(const struct fl_sched_params *p, const struct fl_sched_job *j)
{
	return !j->service && !j->begun && j->waited_s > p->patience_s;
}

/*
 * What may stop others to get its room goes before those it may stop. Else the room that a stop
 * has freed is taken by the next in the order, and the stops go on without end.
 */
static int rank_of(const struct fl_sched_params *p, const struct fl_sched_job *j)
{
	return ahead(j) ? 3 : overdue(p, j) ? 2 : j->within_guarantee;
}

static int by_priority(const void *pa, const void *pb, void *ctx)
{
	const struct pass *p = ctx;
	int a = *(const int *)pa, b = *(const int *)pb;

	if (p->rank[a] != p->rank[b])
		return p->rank[b] - p->rank[a];
	if (p->priority[a] != p->priority[b])
		return p->priority[a] > p->priority[b] ? -1 : 1;
	return a < b ? -1 : a > b;
}

static bool allowed(const struct fl_sched_job *j, const struct fl_sched_machine *m)
{
	return (j->types >> m->type & 1) && (j->zone < 0 || j->zone == m->zone) &&
	       (j->reclaimable || !m->spot);
}

static bool fits(const struct fl_sched_job *j, double cpus, double gpus, double ram)
{
	return j->cpus <= cpus + tunables.eps && j->gpus <= gpus + tunables.eps &&
	       j->ram_gb <= ram + tunables.eps;
}

static bool zone_ok(const struct fl_sched_job *j, int zone)
{
	uint32_t half = (j->n_tasks + 1) / 2;

	if (j->apart && j->zone_placed[zone] + j->zone_unknown + 1 > half)
		return false;
	if (!j->together)
		return true;
	if (j->zone_unknown > 0)
		return false;
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (z != zone && j->zone_placed[z] > 0)
			return false;
	return true;
}

static bool team_ok(const struct fl_sched_in *in, const struct fl_sched_job *j)
{
	const struct fl_team *t = &in->teams[j->team];

	return fl_team_within_max(t, t->used_cpus + j->cpus, t->used_gpus + j->gpus);
}

/*
 * What a cheap machine will probably cost this task: where many are taken back, a long task is lost
 * again and again there, and its job is the last to end. That matters for a job that has waited, be
 * it for what it lost; others are welcome to the price.
 */
static double risk(const struct fl_sched_in *in, const struct fl_sched_job *j)
{
	double est = j->est_s > 0 ? j->est_s : in->params->default_est_s;

	if (j->service || j->waited_s <= in->params->patience_s)
		return 0;
	return fmin(1, in->spot_loss * est) * (est / 2 + tunables.again_s);
}

static double fetch_s(const struct fl_sched_job *j, const struct fl_sched_machine *m)
{
	for (int i = 0; i < FL_CACHE_NOTE && m->cache; i++)
		if (m->cache[i] == j->image)
			return 0;
	return j->image_gb / (m->pull_gb_s > 0 ? m->pull_gb_s : 1);
}

static double score(const struct fl_sched_in *in, const struct fl_sched_job *j,
                    const struct fl_sched_machine *m)
{
	double s = tunables.pack_weight * (m->gpus - j->gpus);

	s += fetch_s(j, m) * (ahead(j) ? tunables.fetch_ahead : 1);
	if (!m->held)
		s += tunables.hold_weight + (j->reclaimable && !m->spot ? tunables.odd_weight : 0);
	if (m->spot)
		s += risk(in, j);
	if (j->apart)
		s += tunables.zone_weight * j->zone_placed[m->zone];
	return s;
}

/*
 * What a stop has freed belongs to whom it was made for. By the product alone a job that has waited
 * goes before one of a higher priority, which may stop it: found with idle-time arrays of 288
 * tasks, which took the room again in every other pass and were stopped 80,000 times in ten
 * minutes. Nor does a pass that goes on in the middle of the order give away what its head waits
 * for.
 */
static struct fl_amounts reserved_from(const struct pass *p, const struct fl_sched_job *j,
                                       const struct fl_sched_machine *m)
{
	const struct fl_reservation *was = &m->reserved, *now = &m->requested;
	struct fl_amounts withheld = {was->cpus, was->gpus, was->ram_gb};

	if (!was->made)
		return (struct fl_amounts){0};
	/* Services too: an urgent one goes before a critical array, which may stop it. */
	if (j->priority >= was->priority &&
	    (ahead(j) || (!p->resumed && (!was->within_guarantee || j->within_guarantee))))
		return (struct fl_amounts){0};
	/* What it was made for has requested again in this pass is off the free room already. */
	if (now->made && now->priority >= was->priority) {
		withheld.cpus = fmax(0, withheld.cpus - now->cpus);
		withheld.gpus = fmax(0, withheld.gpus - now->gpus);
		withheld.ram_gb = fmax(0, withheld.ram_gb - now->ram_gb);
	}
	return withheld;
}

/* What is or will be free on a machine for this job. */
static struct fl_amounts room_for(const struct pass *p, const struct fl_sched_job *j, int machine)
{
	const struct fl_sched_machine *m = &p->in->machines[machine];
	struct fl_amounts withheld = reserved_from(p, j, m);

	return (struct fl_amounts){m->cpus + p->coming_cpus[machine] - withheld.cpus,
	                           m->gpus + p->coming_gpus[machine] - withheld.gpus,
	                           m->ram_gb + p->coming_ram[machine] - withheld.ram_gb};
}

static double rate_start(const struct pass *p, const struct fl_sched_job *j, int zone,
                         const double *ends_by, int machine)
{
	const struct fl_sched_machine *m = &p->in->machines[machine];
	struct fl_amounts room = room_for(p, j, machine);

	if ((zone >= 0 && m->zone != zone) || !fits(j, room.cpus, room.gpus, room.ram_gb) ||
	    !fits(j, m->cpus, m->gpus, m->ram_gb) || !allowed(j, m) || !zone_ok(j, m->zone) ||
	    (ends_by && ends_by[machine] < j->est_s))
		return INFINITY;
	return score(p->in, j, m);
}

static void rate_starts(struct pass *p, const struct fl_sched_job *j, int zone,
                        const double *ends_by)
{
	p->out->looks += p->in->n_machines;
	for (int i = 0; i < p->in->n_machines; i++)
		p->start_score[i] = rate_start(p, j, zone, ends_by, i);
}

/* The first of the best, or -1. */
static int least(const double *of, int n)
{
	double best = INFINITY;
	int at = -1;

	for (int i = 0; i < n; i++)
		if (of[i] < best) {
			best = of[i];
			at = i;
		}
	return at;
}

/* A task of such a job changes what the other machines are worth to the rest of it. */
static bool looks_at_zones(const struct fl_sched_job *j) { return j->apart || j->together; }

static uint32_t tasks_in(const struct fl_sched_job *j, double cpus, double gpus, double ram)
{
	/* Reserved room can make an amount negative that the job itself needs none of. */
	if (!fits(j, cpus, gpus, ram))
		return 0;
	return fl_tasks_fit((struct fl_amounts){j->cpus, j->gpus, j->ram_gb},
	                    (struct fl_amounts){cpus, gpus, ram});
}

/* A job that wants one zone and has none yet takes the one where most of it fits. */
static int pick_zone(const struct fl_sched_in *in, const struct fl_sched_job *j)
{
	double room[FL_ZONES_MAX] = {0};
	int best = -1;

	if (!j->together)
		return -1;
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (j->zone_placed[z] > 0)
			return z;
	for (int i = 0; i < in->n_machines; i++) {
		const struct fl_sched_machine *m = &in->machines[i];

		if (allowed(j, m))
			room[m->zone] += tasks_in(j, m->cpus, m->gpus, m->ram_gb);
	}
	for (int z = 0; z < FL_ZONES_MAX; z++)
		if (room[z] > 0 && (best < 0 || room[z] > room[best]))
			best = z;
	return best;
}

static bool grow(void **p, int n, int *cap, size_t size)
{
	int bigger = *cap ? *cap * 2 : 32;
	void *q;

	if (n < *cap)
		return true;
	q = realloc(*p, (size_t)bigger * size);
	if (!q)
		return false;
	*p = q;
	*cap = bigger;
	return true;
}

static void start(struct pass *p, int job, int machine)
{
	struct fl_sched_job *j = &p->in->jobs[job];
	struct fl_sched_machine *m = &p->in->machines[machine];
	struct fl_team *t = &p->in->teams[j->team];

	if (!grow((void **)&p->out->starts, p->out->n_starts, &p->out->cap_starts,
	          sizeof(*p->out->starts))) {
		p->failed = true;
		return;
	}
	p->out->starts[p->out->n_starts++] = (struct fl_sched_start){job, machine};
	m->cpus -= j->cpus;
	m->gpus -= j->gpus;
	m->ram_gb -= j->ram_gb;
	t->used_cpus += j->cpus;
	t->used_gpus += j->gpus;
	j->zone_placed[m->zone]++;
	j->waiting--;
}

static void undo_starts(struct pass *p, int keep)
{
	while (p->out->n_starts > keep) {
		const struct fl_sched_start *s = &p->out->starts[--p->out->n_starts];
		struct fl_sched_job *j = &p->in->jobs[s->job];
		struct fl_sched_machine *m = &p->in->machines[s->machine];
		struct fl_team *t = &p->in->teams[j->team];

		m->cpus += j->cpus;
		m->gpus += j->gpus;
		m->ram_gb += j->ram_gb;
		t->used_cpus -= j->cpus;
		t->used_gpus -= j->gpus;
		j->zone_placed[m->zone]--;
		j->waiting++;
	}
}

/* May `j` stop `r`? By priority, or to get its team's guarantee from a team beyond its own. */
static bool may_stop(const struct pass *p, const struct fl_sched_job *j,
                     const struct fl_sched_run *r, bool within_guarantee)
{
	const struct fl_team *t;

	if (r->stopping || !r->movable || (r->last_running_task && j->priority < FL_URGENT))
		return false;
	if (r->priority < j->priority)
		return true;
	/*
	 * Nor what is itself within a guarantee, though its team has more besides: found in the
	 * simulated fault combinations, it went first in the next pass, and was stopped again.
	 */
	if (!within_guarantee || r->team == j->team || r->service || r->within_guarantee)
		return false;
	t = &p->in->teams[r->team];
	return !fl_team_within_guarantee(t, t->used_cpus, t->used_gpus);
}

static int by_loss(const void *pa, const void *pb, void *ctx)
{
	const struct fl_sched_in *in = ctx;
	const struct fl_sched_run *a = &in->runs[*(const int *)pa];
	const struct fl_sched_run *b = &in->runs[*(const int *)pb];

	if (a->lost_s != b->lost_s)
		return a->lost_s < b->lost_s ? -1 : 1;
	return *(const int *)pa - *(const int *)pb;
}

/* Cheapest set of victims on one machine that makes room; INFINITY if none does. */
static double victims_on(struct pass *p, const struct fl_sched_job *j, int machine,
                         bool within_guarantee, int *n_set)
{
	struct fl_amounts room = room_for(p, j, machine);
	double cpus = room.cpus, gpus = room.gpus, ram = room.ram_gb, cost = 0;
	int n = 0, used = 0, *set = p->victims;

	for (int k = p->first[machine]; k < p->first[machine + 1]; k++)
		if (may_stop(p, j, &p->in->runs[p->run_of[k]], within_guarantee))
			set[n++] = p->run_of[k];
	qsort_r(set, (size_t)n, sizeof(*set), by_loss, p->in);
	while (used < n && !fits(j, cpus, gpus, ram)) {
		const struct fl_sched_run *r = &p->in->runs[set[used++]];

		cpus += r->cpus;
		gpus += r->gpus;
		ram += r->ram_gb;
		cost += r->lost_s + 1;
	}
	*n_set = used;
	return fits(j, cpus, gpus, ram) ? cost : INFINITY;
}

static void stop_run(struct pass *p, int run)
{
	struct fl_sched_run *r = &p->in->runs[run];

	if (!grow((void **)&p->out->stops, p->out->n_stops, &p->out->cap_stops,
	          sizeof(*p->out->stops))) {
		p->failed = true;
		return;
	}
	p->out->stops[p->out->n_stops++] = run;
	r->stopping = true;
	p->coming_cpus[r->machine] += r->cpus;
	p->coming_gpus[r->machine] += r->gpus;
	p->coming_ram[r->machine] += r->ram_gb;
}

/* How a request is made: for the guarantee; only where the image lies; under whose window. */
struct terms {
	bool within_guarantee, image;
	const double *ends_by; /* NULL: none */
};

static double rate_preemption(struct pass *p, const struct fl_sched_job *j, struct terms t,
                              int machine)
{
	const struct fl_sched_machine *m = &p->in->machines[machine];
	double cost;
	int n_set;

	/* Where it may not start, a stop would only make room for others. */
	if (!allowed(j, m) || !zone_ok(j, m->zone) || (t.image && fetch_s(j, m) > 0) ||
	    (t.ends_by && t.ends_by[machine] < j->est_s))
		return INFINITY;
	cost = victims_on(p, j, machine, t.within_guarantee, &n_set);
	return t.image && cost > tunables.swap_s ? INFINITY : cost + score(p->in, j, m);
}

static void rate_preemptions(struct pass *p, const struct fl_sched_job *j, struct terms t)
{
	p->out->looks += p->in->n_machines;
	for (int i = 0; i < p->in->n_machines; i++)
		p->preemption_cost[i] = rate_preemption(p, j, t, i);
}

/*
 * Reserves room for one more task, on the machine rated best: what is coming free already, else the
 * cheapest victims. The task starts in a later pass, when the stopped ones are proven gone.
 */
static bool request_preemption(struct pass *p, struct fl_sched_job *j, struct terms t)
{
	int best = least(p->preemption_cost, p->in->n_machines), n_set;
	struct fl_sched_machine *m;

	if (best < 0)
		return false;
	m = &p->in->machines[best];
	victims_on(p, j, best, t.within_guarantee, &n_set);
	for (int k = 0; k < n_set; k++)
		stop_run(p, p->victims[k]);
	/* Nobody else in this pass may count on it, free part included. */
	m->cpus -= j->cpus;
	m->gpus -= j->gpus;
	m->ram_gb -= j->ram_gb;
	j->zone_placed[m->zone]++;
	if (!m->requested.made)
		m->requested = (struct fl_reservation){.made = true,
		                                       .within_guarantee = t.within_guarantee,
		                                       .priority = j->priority};
	m->requested.cpus += j->cpus;
	m->requested.gpus += j->gpus;
	m->requested.ram_gb += j->ram_gb;
	if (looks_at_zones(j))
		rate_preemptions(p, j, t);
	else
		p->preemption_cost[best] = rate_preemption(p, j, t, best);
	return true;
}

/*
 * A new service need not wait out a long fetch on a free machine, if another holds its image and
 * little would be lost by a stop there. The room comes free within a second or so, long before the
 * fetch could end; when it does not, the free machine is taken after all.
 */
static bool hold_for_image(struct pass *p, struct fl_sched_job *j, int machine)
{
	double fetch = fetch_s(j, &p->in->machines[machine]);

	struct terms t = {.image = true};

	if (!ahead(j) || j->gang || fetch <= tunables.fetch_wait_s || j->waited_s >= fetch)
		return false;
	rate_preemptions(p, j, t);
	return request_preemption(p, j, t);
}

static bool start_each(struct pass *p, int job, const double *ends_by)
{
	struct fl_sched_job *j = &p->in->jobs[job];
	int zone = pick_zone(p->in, j);
	uint32_t leave = overdue(p->in->params, j) && !j->gang ? j->waiting - 1 : 0;

	p->held = 0;
	rate_starts(p, j, zone, ends_by);
	while (j->waiting > leave + p->held && !p->failed) {
		int m;

		if (!team_ok(p->in, j))
			return false;
		m = least(p->start_score, p->in->n_machines);
		if (m < 0)
			return true;
		if (hold_for_image(p, j, m)) {
			p->held++;
			rate_starts(p, j, zone, ends_by);
			continue;
		}
		start(p, job, m);
		if (looks_at_zones(j))
			rate_starts(p, j, zone, ends_by);
		else
			p->start_score[m] = rate_start(p, j, zone, ends_by, m);
	}
	return false;
}

/* Starts what fits now; true if room was what stopped it, not the team's limit. */
static bool start_fitting(struct pass *p, int job, const double *ends_by)
{
	int before = p->out->n_starts;
	bool no_room = start_each(p, job, ends_by);

	if (p->in->jobs[job].gang && p->in->jobs[job].waiting > 0)
		undo_starts(p, before);
	return no_room;
}

static uint32_t request_preemptions(struct pass *p, int job, const double *ends_by)
{
	struct fl_sched_job *j = &p->in->jobs[job];
	struct fl_team *t = &p->in->teams[j->team];
	double cpus = t->used_cpus, gpus = t->used_gpus;
	uint32_t requested = 0;
	struct terms terms = {.ends_by = ends_by};
	bool rated = false;

	/* A gang requests nothing: stops for some of it would free room it cannot use yet. */
	while (requested < j->waiting - p->held && !j->gang && !p->failed) {
		bool within_guarantee =
			j->within_guarantee &&
			fl_team_within_guarantee(t, t->used_cpus + j->cpus, t->used_gpus + j->gpus);

		if (!team_ok(p->in, j) || (!within_guarantee && j->priority == FL_BEST_EFFORT))
			break;
		/* One machine's request changes no other's cost: all are rated once a job. */
		if (!rated || terms.within_guarantee != within_guarantee) {
			terms.within_guarantee = within_guarantee;
			rate_preemptions(p, j, terms);
		}
		rated = true;
		if (!request_preemption(p, j, terms))
			break;
		t->used_cpus += j->cpus;
		t->used_gpus += j->gpus;
		requested++;
	}
	t->used_cpus = cpus;
	t->used_gpus = gpus;
	return requested;
}

struct end {
	double at;
	int run;
};

static int by_end(const void *pa, const void *pb)
{
	const struct end *a = pa, *b = pb;

	if (a->at != b->at)
		return a->at < b->at ? -1 : 1;
	return a->run - b->run;
}

/* Time until one task of the job fits on this machine, by the estimated ends. */
static double wait_on(const struct pass *p, const struct fl_sched_job *j, int machine,
                      struct end *ends)
{
	const struct fl_sched_machine *m = &p->in->machines[machine];
	double cpus = m->cpus, gpus = m->gpus, ram = m->ram_gb;
	int n = 0;

	if (fits(j, cpus, gpus, ram))
		return 0;
	for (int k = p->first[machine]; k < p->first[machine + 1]; k++)
		if (p->in->runs[p->run_of[k]].left_s < INFINITY)
			ends[n++] = (struct end){p->in->runs[p->run_of[k]].left_s, p->run_of[k]};
	qsort(ends, (size_t)n, sizeof(*ends), by_end);
	for (int i = 0; i < n; i++) {
		const struct fl_sched_run *r = &p->in->runs[ends[i].run];

		cpus += r->cpus;
		gpus += r->gpus;
		ram += r->ram_gb;
		if (fits(j, cpus, gpus, ram))
			return ends[i].at;
	}
	return INFINITY;
}

/* Time until a whole gang fits, counted in tasks that each machine can really hold. */
static double wait_gang(const struct pass *p, const struct fl_sched_job *j, struct end *ends)
{
	const struct fl_sched_in *in = p->in;
	size_t n_m = (size_t)in->n_machines + 1;
	double *room = malloc(3 * n_m * sizeof(*room)), found = INFINITY, at = 0;
	int n = 0;

	if (!room)
		return INFINITY;
	for (int i = 0; i < in->n_machines; i++) {
		room[3 * i] = in->machines[i].cpus;
		room[3 * i + 1] = in->machines[i].gpus;
		room[3 * i + 2] = in->machines[i].ram_gb;
	}
	for (int i = 0; i < in->n_runs; i++)
		if (in->runs[i].left_s < INFINITY)
			ends[n++] = (struct end){in->runs[i].left_s, i};
	qsort(ends, (size_t)n, sizeof(*ends), by_end);
	for (int k = -1; k < n && found == INFINITY; k++) {
		uint32_t zone[FL_ZONES_MAX] = {0}, all = 0;

		if (k >= 0) {
			const struct fl_sched_run *r = &in->runs[ends[k].run];

			at = ends[k].at;
			room[3 * r->machine] += r->cpus;
			room[3 * r->machine + 1] += r->gpus;
			room[3 * r->machine + 2] += r->ram_gb;
		}
		for (int i = 0; i < in->n_machines; i++) {
			uint32_t c =
				allowed(j, &in->machines[i])
					? tasks_in(j, room[3 * i], room[3 * i + 1], room[3 * i + 2])
					: 0;

			zone[in->machines[i].zone] += c;
			all += c;
		}
		for (int z = 0; j->together && z < FL_ZONES_MAX; z++)
			if (z == 0 || zone[z] > all)
				all = zone[z];
		if (all >= j->waiting)
			found = at;
	}
	free(room);
	return found;
}

/*
 * hpwait by machine, not by cores in total: room that frees in scattered pieces is no room. The
 * window only shrinks while the same job stays on top: set anew each pass, it would never end.
 */
static void set_window(struct pass *p, int top)
{
	const struct fl_sched_job *j = &p->in->jobs[top];
	struct end *ends = malloc(((size_t)p->in->n_runs + 1) * sizeof(*ends));
	double hpwait = INFINITY, window;

	if (!ends) {
		p->failed = true;
		return;
	}
	if (j->gang)
		hpwait = wait_gang(p, j, ends);
	for (int i = 0; i < p->in->n_machines && !j->gang; i++)
		if (allowed(j, &p->in->machines[i]) && zone_ok(j, p->in->machines[i].zone))
			hpwait = fmin(hpwait, wait_on(p, j, i, ends));
	free(ends);
	window = p->in->params->omega * hpwait;
	if (j->window_left >= 0 && j->window_left < window)
		window = j->window_left;
	p->out->top = top;
	p->out->window_s = window;
}

/* Until when a backfilled task may run on each machine: for ever where the top job cannot go. */
static void window_by_machine(const struct pass *p, double *ends_by)
{
	const struct fl_sched_job *top = &p->in->jobs[p->out->top];

	for (int i = 0; i < p->in->n_machines; i++)
		ends_by[i] = allowed(top, &p->in->machines[i]) ? p->out->window_s : INFINITY;
}

/*
 * The window keeps lower jobs from delaying the top one. A job of a higher priority than the top's
 * may stop what the top runs: an array that has waited long must not hold it back by being on top.
 */
static bool bound_by_top(const struct pass *p, const struct fl_sched_job *j)
{
	return !ahead(j) && j->priority <= p->in->jobs[p->out->top].priority;
}

static void run_order(struct pass *p)
{
	struct fl_sched_in *in = p->in;
	double *ends_by = malloc(((size_t)in->n_machines + 1) * sizeof(*ends_by));
	int resume = in->resume < in->n_jobs ? in->resume : 0;

	if (!ends_by) {
		p->failed = true;
		return;
	}
	for (int k = 0; k < in->n_jobs && !p->failed; k++) {
		int job = p->order[k];
		struct fl_sched_job *j = &in->jobs[job];
		bool backfill = p->out->top >= 0;
		const double *bound;
		double est;

		/*
		 * Found with passes too long for their budget: those that went on in the middle of
		 * the order gave the room that stops had freed for its head to others, which the
		 * head stopped again, tens of thousands of times a day.
		 */
		p->resumed = resume > 0 && backfill;

		if (j->waiting == 0)
			continue;
		/* The head of the order is always looked at; the rest goes on where it stopped. */
		if (backfill && k < resume)
			continue;
		if (backfill && in->out_of_time && in->out_of_time(in->ctx)) {
			p->out->resume = k;
			break;
		}
		est = j->est_s;
		bound = backfill && bound_by_top(p, j) ? ends_by : NULL;
		/* A service never ends: from the top, or where the top cannot go. */
		if (bound && est <= 0)
			j->est_s = j->service ? INFINITY : in->params->default_est_s;
		if (start_fitting(p, job, bound))
			p->out->short_of[job] =
				j->waiting - p->held - request_preemptions(p, job, bound);
		j->est_s = est;
		if (p->out->short_of[job] > 0 && !backfill) {
			set_window(p, job);
			if (!p->failed)
				window_by_machine(p, ends_by);
		}
	}
	free(ends_by);
}

/* Runs sorted by their machine: hundreds of machines must not each walk over all runs. */
static void index_runs(struct pass *p)
{
	const struct fl_sched_in *in = p->in;

	for (int i = 0; i < in->n_runs; i++)
		p->first[in->runs[i].machine + 1]++;
	for (int i = 0; i < in->n_machines; i++)
		p->first[i + 1] += p->first[i];
	/* From the end, so that each machine's begin is reached just as its runs are through. */
	for (int i = in->n_runs - 1; i >= 0; i--)
		p->run_of[--p->first[in->runs[i].machine + 1]] = i;
	/* Each entry now stands one place too far, at its own begin. */
	for (int i = 0; i < in->n_machines; i++)
		p->first[i] = p->first[i + 1];
	p->first[in->n_machines] = in->n_runs;
}

int fl_schedule(struct fl_sched_in *in, struct fl_sched_out *out)
{
	struct pass p = {.in = in, .out = out};
	size_t n_m = (size_t)in->n_machines + 1, n_j = (size_t)in->n_jobs + 1;

	memset(out, 0, sizeof(*out));
	out->top = -1;
	p.order = malloc(n_j * sizeof(*p.order));
	p.rank = malloc(n_j * sizeof(*p.rank));
	p.priority = malloc(n_j * sizeof(*p.priority));
	p.coming_cpus = calloc(3 * n_m, sizeof(*p.coming_cpus));
	p.start_score = malloc(2 * n_m * sizeof(*p.start_score));
	p.victims = malloc(((size_t)in->n_runs + 1) * sizeof(*p.victims));
	p.first = calloc(n_m, sizeof(*p.first));
	p.run_of = malloc(((size_t)in->n_runs + 1) * sizeof(*p.run_of));
	out->short_of = calloc(n_j, sizeof(*out->short_of));
	if (!p.order || !p.rank || !p.priority || !p.coming_cpus || !p.start_score || !p.victims ||
	    !p.first || !p.run_of || !out->short_of) {
		p.failed = true;
		goto out;
	}
	p.coming_gpus = p.coming_cpus + n_m;
	p.coming_ram = p.coming_gpus + n_m;
	p.preemption_cost = p.start_score + n_m;
	index_runs(&p);
	for (int i = 0; i < in->n_runs; i++) {
		const struct fl_sched_run *r = &in->runs[i];

		if (!r->stopping)
			continue;
		p.coming_cpus[r->machine] += r->cpus;
		p.coming_gpus[r->machine] += r->gpus;
		p.coming_ram[r->machine] += r->ram_gb;
	}
	for (int i = 0; i < in->n_jobs; i++) {
		p.order[i] = i;
		p.rank[i] = rank_of(in->params, &in->jobs[i]);
		p.priority[i] = fl_sched_priority(in->params, &in->jobs[i]);
	}
	qsort_r(p.order, (size_t)in->n_jobs, sizeof(*p.order), by_priority, &p);
	run_order(&p);
out:
	free(p.order);
	free(p.rank);
	free(p.priority);
	free(p.coming_cpus);
	free(p.start_score);
	free(p.victims);
	free(p.first);
	free(p.run_of);
	return p.failed ? -1 : 0;
}

void fl_sched_free(struct fl_sched_out *out)
{
	free(out->starts);
	free(out->stops);
	free(out->short_of);
	memset(out, 0, sizeof(*out));
}
