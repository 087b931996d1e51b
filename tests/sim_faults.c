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

static bool meets_zone(enum sim_fault_kind kind) { return kind == FAULT_ZONE_PARTITION; }

static void choose_whom(struct sim_fault *fault)
{
	if (fault->target == TARGET_LEADER)
		fault->target = meets_zone(fault->kind) ? sim_node_zone(leader_or_last())
		                                        : leader_or_last();
	else if (fault->target == TARGET_ANY_NODE)
		fault->target = sim_pick(sim.node_count);
	else if (fault->target == TARGET_ANY_ZONE)
		fault->target = sim_pick(sim.zone_count);
}

static bool has_tasks(const struct sim_machine *machine)
{
	for (int i = 0; i < machine->task_slots; i++)
		if (machine->tasks[i].counted && machine->tasks[i].used)
			return true;
	return false;
}

/* Machines with tasks, so that it matters; a count, or else a share of them. */
static void choose_machines(struct sim_fault *fault)
{
	int fit = 0, left, of;

	for (int i = 0; i < sim.machine_count; i++)
		fit += has_tasks(&sim.machines[i]);
	left = fault->count > 0 ? fault->count : (int)(fault->magnitude * fit + 0.999);
	of = fit;
	for (int i = 0; i < sim.machine_count; i++) {
		if (!has_tasks(&sim.machines[i]))
			continue;
		fault->machine[i] = sim_pick(of--) < left;
		left -= fault->machine[i];
	}
}

struct sim_fault *sim_fault(enum sim_fault_kind kind, double at, double for_s, int whom,
                            double much, int count)
{
	struct sim_fault *fault = &sim.faults[sim.fault_count++];

	sim_require(sim.fault_count <= SIM_FAULTS_MAX);
	memset(fault, 0, sizeof(*fault));
	fault->kind = kind;
	fault->at = at;
	fault->for_s = for_s;
	fault->target = whom;
	fault->magnitude = much;
	fault->count = count;
	return fault;
}

/* ---- what some do when they begin and end ---- */

static bool runs(const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		if (job->copies_running[i] > 0)
			return true;
	return false;
}

static void hang_hosts(struct sim_fault *fault, const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count && fault->hang_s > 0; i++)
		if (job->copies_running[i] > 0)
			fault->machine[job->last_machine[i]] = 1;
}

static void cancel_now(struct sim_fault *fault)
{
	int fit = 0, left = fault->count;

	for (int i = 0; i < sim.job_count; i++)
		fit += runs(&sim.jobs[i]) && !sim.jobs[i].cancelling;
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];

		if (!runs(job) || job->cancelling || sim_pick(fit--) >= left)
			continue;
		left--;
		hang_hosts(fault, job);
		sim_user_cancels(job);
	}
}

static void nodes_down(const struct sim_fault *fault, bool down)
{
	for (int i = 0; i < sim.node_count; i++) {
		if (fault->target != TARGET_ALL_NODES && fault->target != i)
			continue;
		if (down)
			sim_node_kill(i);
		else
			sim_node_start(i);
	}
}

static void hang_all(const struct sim_fault *fault, bool hangs)
{
	for (int i = 0; i < sim.machine_count; i++)
		if (fault->machine[i])
			sim_machine_hangs(i, hangs);
}

static void freeze(const struct sim_fault *fault)
{
	for (int i = 0; i < sim.node_count; i++)
		if ((fault->target == TARGET_ALL_NODES || fault->target == i) && sim_node_alive(i))
			sim_process_waits(sim_node_process(i), fl_now() + fault->for_s);
}

void sim_process_computes(int process)
{
	for (int i = 0; i < sim.node_count && sim_fault_active(FAULT_SLOW_NODES, -1); i++) {
		const struct sim_fault *slow = sim_fault_active(FAULT_SLOW_NODES, i);

		if (sim_node_process(i) != process || !slow)
			continue;
		/* Now and then one that takes long, as a pass over all jobs does. */
		sim_process_waits(process,
		                  fl_now() + slow->magnitude * (sim_chance(0.02) ? 30 : 1));
	}
}

static void begin(struct sim_fault *fault)
{
	choose_whom(fault);
	if (fault->kind == FAULT_OUTBOUND_PARTITION || fault->kind == FAULT_INBOUND_PARTITION ||
	    fault->kind == FAULT_MACHINE_HANG || fault->kind == FAULT_MACHINES_DIE)
		choose_machines(fault);
	fault->active = true;
	if (fault->kind == FAULT_NODE_DOWN)
		nodes_down(fault, true);
	if (fault->kind == FAULT_CANCEL_RUNNING)
		cancel_now(fault);
	if (fault->kind == FAULT_MACHINE_HANG || fault->kind == FAULT_CANCEL_RUNNING)
		hang_all(fault, true);
	if (fault->kind == FAULT_PROCESS_PAUSE)
		freeze(fault);
	for (int i = 0; i < sim.machine_count && fault->kind == FAULT_MACHINES_DIE; i++)
		if (fault->machine[i]) {
			sim_machine_ends(i);
			sim.machines[i].terminated_at += 30; /* listed as running for so long */
		}
	for (int i = 0; i < fault->count && fault->kind == FAULT_SUBMISSION_BURST; i++)
		if (sim.job_count < SIM_USUAL_JOBS - 16)
			sim_user_submits(sim_job_add(sim_time() + sim_between(0, 2)));
}

static void end(struct sim_fault *fault)
{
	fault->active = false;
	fault->over = true;
	if (fault->kind == FAULT_NODE_DOWN)
		nodes_down(fault, false);
	if (fault->kind == FAULT_MACHINE_HANG || fault->kind == FAULT_CANCEL_RUNNING)
		hang_all(fault, false);
}

static void run_trouble(void *arg)
{
	struct sim_fault *fault = arg;

	if (fl_sleep(fault->at) != 0)
		return;
	begin(fault);
	if (fl_sleep(fault->kind == FAULT_CANCEL_RUNNING ? fault->hang_s : fault->for_s) != 0)
		return;
	end(fault);
}

void sim_faults_start(void)
{
	last_leader = 0;
	sim.calm_s = 0;
	for (int i = 0; i < sim.fault_count; i++) {
		struct sim_fault *fault = &sim.faults[i];
		double over =
			fault->at + (fault->for_s > fault->hang_s ? fault->for_s : fault->hang_s);

		if (over > sim.calm_s)
			sim.calm_s = over;
		sim_spawn(0, run_trouble, fault);
	}
}

const struct sim_fault *sim_fault_active(enum sim_fault_kind kind, int whom)
{
	for (int i = 0; i < sim.fault_count; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		if (fault->active && fault->kind == kind &&
		    (whom < 0 || fault->target == whom || fault->target == TARGET_ALL_NODES))
			return fault;
	}
	return NULL;
}

/* ---- messages ---- */

static bool is_node(struct sim_endpoint e)
{
	return e.kind == ENDPOINT_NODE || e.kind == ENDPOINT_PEER;
}

static int zone_of(struct sim_endpoint e)
{
	if (is_node(e))
		return sim_node_zone(e.at);
	return e.kind == ENDPOINT_WORKER ? sim.machines[e.at].zone : -1;
}

static bool node_and(struct sim_endpoint a, struct sim_endpoint b, enum sim_endpoint_kind kind,
                     int *node)
{
	if (is_node(a) && b.kind == kind)
		*node = a.at;
	else if (is_node(b) && a.kind == kind)
		*node = b.at;
	else
		return false;
	return true;
}

static bool among(enum sim_fault_kind kind, struct sim_endpoint e)
{
	for (int i = 0; i < sim.fault_count && e.kind == ENDPOINT_WORKER; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		if (fault->active && fault->kind == kind && fault->machine[e.at])
			return true;
	}
	return false;
}

static bool cut_zones(struct sim_endpoint a, struct sim_endpoint b)
{
	if (zone_of(a) == zone_of(b))
		return false;
	return (zone_of(a) >= 0 && sim_fault_active(FAULT_ZONE_PARTITION, zone_of(a))) ||
	       (zone_of(b) >= 0 && sim_fault_active(FAULT_ZONE_PARTITION, zone_of(b)));
}

bool sim_lost(struct sim_endpoint from, struct sim_endpoint to, bool reply)
{
	const struct sim_fault *fault;
	int node;

	if (cut_zones(from, to))
		return true;
	if (node_and(from, to, ENDPOINT_KV_STORE, &node) &&
	    sim_fault_active(FAULT_PARTITION_FROM_KV, node))
		return true;
	if (is_node(from) && is_node(to))
		return sim_fault_active(FAULT_PARTITION_FROM_PEERS, from.at) ||
		       sim_fault_active(FAULT_PARTITION_FROM_PEERS, to.at);
	if (!node_and(from, to, ENDPOINT_WORKER, &node))
		return false;
	if (sim_fault_active(FAULT_PARTITION_FROM_WORKERS, node))
		return true;
	fault = sim_fault_active(FAULT_LOST_REPLIES, -1);
	if (reply && fault && sim_chance(fault->magnitude))
		return true;
	if (from.kind == ENDPOINT_WORKER)
		return (!reply && among(FAULT_OUTBOUND_PARTITION, from)) ||
		       (reply && among(FAULT_INBOUND_PARTITION, from));
	return !reply && among(FAULT_INBOUND_PARTITION, to);
}

bool sim_holds(struct sim_endpoint from, struct sim_endpoint to)
{
	int node;

	return node_and(from, to, ENDPOINT_WORKER, &node) &&
	       sim_fault_active(FAULT_PACKETS_HELD, node);
}

double sim_latency(struct sim_endpoint from, struct sim_endpoint to)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_SLOW_LINKS, -1);

	(void)from, (void)to;
	return fault ? sim_between(0, fault->magnitude) : sim_between(0.001, 0.006);
}
