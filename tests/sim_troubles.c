/* Troubles: when they come, whom they meet, and what they do to messages. */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

static uint64_t chance;
static int last_leader;

/* ---- chance ---- */

void sim_seed(uint64_t seed) { chance = seed * 0x9e3779b97f4a7c15ULL + 0x1234567; }

static uint64_t draw(void)
{
	uint64_t z = chance += 0x9e3779b97f4a7c15ULL;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
	return z ^ z >> 31;
}

double sim_between(double low, double high)
{
	return low + (high - low) * ((double)(draw() >> 11) / 9007199254740992.0);
}

int sim_pick(int n) { return n > 0 ? (int)(draw() % (uint64_t)n) : 0; }

bool sim_chance(double share) { return sim_between(0, 1) < share; }

/* ---- whom ---- */

static int leader_or_last(void)
{
	int at = sim_leader();

	if (at >= 0)
		last_leader = at;
	return last_leader;
}

static bool meets_zone(enum sim_trouble_kind kind) { return kind == CUT_ZONE; }

static void choose_whom(struct sim_trouble *t)
{
	if (t->whom == THE_LEADER)
		t->whom = meets_zone(t->kind) ? sim_node_zone(leader_or_last()) : leader_or_last();
	else if (t->whom == ANY_NODE)
		t->whom = sim_pick(sim.n_nodes);
	else if (t->whom == ANY_ZONE)
		t->whom = sim_pick(sim.n_zones);
}

static bool has_tasks(const struct sim_machine *m)
{
	for (int i = 0; i < m->n_tasks; i++)
		if (m->task[i].counted && m->task[i].used)
			return true;
	return false;
}

/* Machines with tasks, so that it matters; a count, or else a share of them. */
static void choose_machines(struct sim_trouble *t)
{
	int fit = 0, left, of;

	for (int i = 0; i < sim.n_machines; i++)
		fit += has_tasks(&sim.machine[i]);
	left = t->count > 0 ? t->count : (int)(t->much * fit + 0.999);
	of = fit;
	for (int i = 0; i < sim.n_machines; i++) {
		if (!has_tasks(&sim.machine[i]))
			continue;
		t->machine[i] = sim_pick(of--) < left;
		left -= t->machine[i];
	}
}

struct sim_trouble *sim_trouble(enum sim_trouble_kind kind, double at, double for_s, int whom,
                                double much, int count)
{
	struct sim_trouble *t = &sim.trouble[sim.n_troubles++];

	sim_must(sim.n_troubles <= SIM_TROUBLES);
	memset(t, 0, sizeof(*t));
	t->kind = kind;
	t->at = at;
	t->for_s = for_s;
	t->whom = whom;
	t->much = much;
	t->count = count;
	return t;
}

/* ---- what some do when they begin and end ---- */

static bool runs(const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->run.task_count; i++)
		if (job->on[i] > 0)
			return true;
	return false;
}

static void hang_hosts(struct sim_trouble *t, const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->run.task_count && t->hang_s > 0; i++)
		if (job->on[i] > 0)
			t->machine[job->host[i]] = 1;
}

static void cancel_now(struct sim_trouble *t)
{
	int fit = 0, left = t->count;

	for (int i = 0; i < sim.n_jobs; i++)
		fit += runs(&sim.job[i]) && !sim.job[i].cancelling;
	for (int i = 0; i < sim.n_jobs; i++) {
		struct sim_job *job = &sim.job[i];

		if (!runs(job) || job->cancelling || sim_pick(fit--) >= left)
			continue;
		left--;
		hang_hosts(t, job);
		sim_user_cancels(job);
	}
}

static void nodes_down(const struct sim_trouble *t, bool down)
{
	for (int i = 0; i < sim.n_nodes; i++) {
		if (t->whom != ALL_NODES && t->whom != i)
			continue;
		if (down)
			sim_node_kill(i);
		else
			sim_node_start(i);
	}
}

static void hang_all(const struct sim_trouble *t, bool hangs)
{
	for (int i = 0; i < sim.n_machines; i++)
		if (t->machine[i])
			sim_machine_hangs(i, hangs);
}

static void freeze(const struct sim_trouble *t)
{
	for (int i = 0; i < sim.n_nodes; i++)
		if ((t->whom == ALL_NODES || t->whom == i) && sim_node_alive(i))
			sim_process_waits(sim_node_process(i), fl_now() + t->for_s);
}

void sim_process_computes(int process)
{
	for (int i = 0; i < sim.n_nodes && sim_troubled(SLOW_NODES, -1); i++) {
		const struct sim_trouble *slow = sim_troubled(SLOW_NODES, i);

		if (sim_node_process(i) != process || !slow)
			continue;
		/* Now and then one that takes long, as a pass over all jobs does. */
		sim_process_waits(process, fl_now() + slow->much * (sim_chance(0.02) ? 30 : 1));
	}
}

static void begin(struct sim_trouble *t)
{
	choose_whom(t);
	if (t->kind == MUTE || t->kind == DEAF || t->kind == HANG || t->kind == TAKE_MACHINES)
		choose_machines(t);
	t->active = true;
	if (t->kind == NODE_DOWN)
		nodes_down(t, true);
	if (t->kind == CANCEL_NOW)
		cancel_now(t);
	if (t->kind == HANG || t->kind == CANCEL_NOW)
		hang_all(t, true);
	if (t->kind == FROZEN)
		freeze(t);
	for (int i = 0; i < sim.n_machines && t->kind == TAKE_MACHINES; i++)
		if (t->machine[i]) {
			sim_machine_ends(i);
			sim.machine[i].gone_at += 30; /* listed as running for so long */
		}
	for (int i = 0; i < t->count && t->kind == MORE_JOBS; i++)
		if (sim.n_jobs < SIM_USUAL_JOBS - 16)
			sim_user_submits(sim_job_add(sim_time() + sim_between(0, 2)));
}

static void end(struct sim_trouble *t)
{
	t->active = false;
	t->over = true;
	if (t->kind == NODE_DOWN)
		nodes_down(t, false);
	if (t->kind == HANG || t->kind == CANCEL_NOW)
		hang_all(t, false);
}

static void run_trouble(void *arg)
{
	struct sim_trouble *t = arg;

	if (fl_sleep(t->at) != 0)
		return;
	begin(t);
	if (fl_sleep(t->kind == CANCEL_NOW ? t->hang_s : t->for_s) != 0)
		return;
	end(t);
}

void sim_troubles_start(void)
{
	last_leader = 0;
	sim.calm_s = 0;
	for (int i = 0; i < sim.n_troubles; i++) {
		struct sim_trouble *t = &sim.trouble[i];
		double over = t->at + (t->for_s > t->hang_s ? t->for_s : t->hang_s);

		if (over > sim.calm_s)
			sim.calm_s = over;
		sim_spawn(0, run_trouble, t);
	}
}

const struct sim_trouble *sim_troubled(enum sim_trouble_kind kind, int whom)
{
	for (int i = 0; i < sim.n_troubles; i++) {
		const struct sim_trouble *t = &sim.trouble[i];

		if (t->active && t->kind == kind &&
		    (whom < 0 || t->whom == whom || t->whom == ALL_NODES))
			return t;
	}
	return NULL;
}

/* ---- messages ---- */

static bool is_node(struct sim_end e) { return e.kind == END_NODE || e.kind == END_PEER; }

static int zone_of(struct sim_end e)
{
	if (is_node(e))
		return sim_node_zone(e.at);
	return e.kind == END_WORKER ? sim.machine[e.at].zone : -1;
}

static bool node_and(struct sim_end a, struct sim_end b, enum sim_kind kind, int *node)
{
	if (is_node(a) && b.kind == kind)
		*node = a.at;
	else if (is_node(b) && a.kind == kind)
		*node = b.at;
	else
		return false;
	return true;
}

static bool among(enum sim_trouble_kind kind, struct sim_end e)
{
	for (int i = 0; i < sim.n_troubles && e.kind == END_WORKER; i++) {
		const struct sim_trouble *t = &sim.trouble[i];

		if (t->active && t->kind == kind && t->machine[e.at])
			return true;
	}
	return false;
}

static bool cut_zones(struct sim_end a, struct sim_end b)
{
	if (zone_of(a) == zone_of(b))
		return false;
	return (zone_of(a) >= 0 && sim_troubled(CUT_ZONE, zone_of(a))) ||
	       (zone_of(b) >= 0 && sim_troubled(CUT_ZONE, zone_of(b)));
}

bool sim_lost(struct sim_end from, struct sim_end to, bool reply)
{
	const struct sim_trouble *t;
	int node;

	if (cut_zones(from, to))
		return true;
	if (node_and(from, to, END_STATE, &node) && sim_troubled(CUT_STATE, node))
		return true;
	if (is_node(from) && is_node(to))
		return sim_troubled(CUT_PEERS, from.at) || sim_troubled(CUT_PEERS, to.at);
	if (!node_and(from, to, END_WORKER, &node))
		return false;
	if (sim_troubled(CUT_WORKERS, node))
		return true;
	t = sim_troubled(LOST_ANSWERS, -1);
	if (reply && t && sim_chance(t->much))
		return true;
	if (from.kind == END_WORKER)
		return (!reply && among(MUTE, from)) || (reply && among(DEAF, from));
	return !reply && among(DEAF, to);
}

bool sim_holds(struct sim_end from, struct sim_end to)
{
	int node;

	return node_and(from, to, END_WORKER, &node) && sim_troubled(HELD, node);
}

double sim_latency(struct sim_end from, struct sim_end to)
{
	const struct sim_trouble *t = sim_troubled(SLOW_LINKS, -1);

	(void)from, (void)to;
	return t ? sim_between(0, t->much) : sim_between(0.001, 0.006);
}
