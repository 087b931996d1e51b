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

static void choose_whom(struct sim_trouble *trouble)
{
	if (trouble->whom == THE_LEADER)
		trouble->whom = meets_zone(trouble->kind) ? sim_node_zone(leader_or_last())
		                                          : leader_or_last();
	else if (trouble->whom == ANY_NODE)
		trouble->whom = sim_pick(sim.n_nodes);
	else if (trouble->whom == ANY_ZONE)
		trouble->whom = sim_pick(sim.n_zones);
}

static bool has_tasks(const struct sim_machine *machine)
{
	for (int i = 0; i < machine->n_tasks; i++)
		if (machine->task[i].counted && machine->task[i].used)
			return true;
	return false;
}

/* Machines with tasks, so that it matters; a count, or else a share of them. */
static void choose_machines(struct sim_trouble *trouble)
{
	int fit = 0, left, of;

	for (int i = 0; i < sim.n_machines; i++)
		fit += has_tasks(&sim.machine[i]);
	left = trouble->count > 0 ? trouble->count : (int)(trouble->much * fit + 0.999);
	of = fit;
	for (int i = 0; i < sim.n_machines; i++) {
		if (!has_tasks(&sim.machine[i]))
			continue;
		trouble->machine[i] = sim_pick(of--) < left;
		left -= trouble->machine[i];
	}
}

struct sim_trouble *sim_trouble(enum sim_trouble_kind kind, double at, double for_s, int whom,
                                double much, int count)
{
	struct sim_trouble *trouble = &sim.trouble[sim.n_troubles++];

	sim_must(sim.n_troubles <= SIM_TROUBLES);
	memset(trouble, 0, sizeof(*trouble));
	trouble->kind = kind;
	trouble->at = at;
	trouble->for_s = for_s;
	trouble->whom = whom;
	trouble->much = much;
	trouble->count = count;
	return trouble;
}

/* ---- what some do when they begin and end ---- */

static bool runs(const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->run.task_count; i++)
		if (job->on[i] > 0)
			return true;
	return false;
}

static void hang_hosts(struct sim_trouble *trouble, const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->run.task_count && trouble->hang_s > 0; i++)
		if (job->on[i] > 0)
			trouble->machine[job->host[i]] = 1;
}

static void cancel_now(struct sim_trouble *trouble)
{
	int fit = 0, left = trouble->count;

	for (int i = 0; i < sim.n_jobs; i++)
		fit += runs(&sim.job[i]) && !sim.job[i].cancelling;
	for (int i = 0; i < sim.n_jobs; i++) {
		struct sim_job *job = &sim.job[i];

		if (!runs(job) || job->cancelling || sim_pick(fit--) >= left)
			continue;
		left--;
		hang_hosts(trouble, job);
		sim_user_cancels(job);
	}
}

static void nodes_down(const struct sim_trouble *trouble, bool down)
{
	for (int i = 0; i < sim.n_nodes; i++) {
		if (trouble->whom != ALL_NODES && trouble->whom != i)
			continue;
		if (down)
			sim_node_kill(i);
		else
			sim_node_start(i);
	}
}

static void hang_all(const struct sim_trouble *trouble, bool hangs)
{
	for (int i = 0; i < sim.n_machines; i++)
		if (trouble->machine[i])
			sim_machine_hangs(i, hangs);
}

static void freeze(const struct sim_trouble *trouble)
{
	for (int i = 0; i < sim.n_nodes; i++)
		if ((trouble->whom == ALL_NODES || trouble->whom == i) && sim_node_alive(i))
			sim_process_waits(sim_node_process(i), fl_now() + trouble->for_s);
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

static void begin(struct sim_trouble *trouble)
{
	choose_whom(trouble);
	if (trouble->kind == MUTE || trouble->kind == DEAF || trouble->kind == HANG ||
	    trouble->kind == TAKE_MACHINES)
		choose_machines(trouble);
	trouble->active = true;
	if (trouble->kind == NODE_DOWN)
		nodes_down(trouble, true);
	if (trouble->kind == CANCEL_NOW)
		cancel_now(trouble);
	if (trouble->kind == HANG || trouble->kind == CANCEL_NOW)
		hang_all(trouble, true);
	if (trouble->kind == FROZEN)
		freeze(trouble);
	for (int i = 0; i < sim.n_machines && trouble->kind == TAKE_MACHINES; i++)
		if (trouble->machine[i]) {
			sim_machine_ends(i);
			sim.machine[i].gone_at += 30; /* listed as running for so long */
		}
	for (int i = 0; i < trouble->count && trouble->kind == MORE_JOBS; i++)
		if (sim.n_jobs < SIM_USUAL_JOBS - 16)
			sim_user_submits(sim_job_add(sim_time() + sim_between(0, 2)));
}

static void end(struct sim_trouble *trouble)
{
	trouble->active = false;
	trouble->over = true;
	if (trouble->kind == NODE_DOWN)
		nodes_down(trouble, false);
	if (trouble->kind == HANG || trouble->kind == CANCEL_NOW)
		hang_all(trouble, false);
}

static void run_trouble(void *arg)
{
	struct sim_trouble *trouble = arg;

	if (fl_sleep(trouble->at) != 0)
		return;
	begin(trouble);
	if (fl_sleep(trouble->kind == CANCEL_NOW ? trouble->hang_s : trouble->for_s) != 0)
		return;
	end(trouble);
}

void sim_troubles_start(void)
{
	last_leader = 0;
	sim.calm_s = 0;
	for (int i = 0; i < sim.n_troubles; i++) {
		struct sim_trouble *trouble = &sim.trouble[i];
		double over = trouble->at +
		              (trouble->for_s > trouble->hang_s ? trouble->for_s : trouble->hang_s);

		if (over > sim.calm_s)
			sim.calm_s = over;
		sim_spawn(0, run_trouble, trouble);
	}
}

const struct sim_trouble *sim_troubled(enum sim_trouble_kind kind, int whom)
{
	for (int i = 0; i < sim.n_troubles; i++) {
		const struct sim_trouble *trouble = &sim.trouble[i];

		if (trouble->active && trouble->kind == kind &&
		    (whom < 0 || trouble->whom == whom || trouble->whom == ALL_NODES))
			return trouble;
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
		const struct sim_trouble *trouble = &sim.trouble[i];

		if (trouble->active && trouble->kind == kind && trouble->machine[e.at])
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
	const struct sim_trouble *trouble;
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
	trouble = sim_troubled(LOST_ANSWERS, -1);
	if (reply && trouble && sim_chance(trouble->much))
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
	const struct sim_trouble *trouble = sim_troubled(SLOW_LINKS, -1);

	(void)from, (void)to;
	return trouble ? sim_between(0, trouble->much) : sim_between(0.001, 0.006);
}
