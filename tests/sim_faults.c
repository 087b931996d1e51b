/* Troubles: when they come, whom they meet, and what they do to messages. */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

static uint64_t chance;
static int last_leader;

/* ---- chance ---- */

void sim_seed(uint64_t seed) { chance = seed * 0x9e3779b97f4a7c15ULL + 0x1234567; }

static uint64_t next_random(void)
{
	uint64_t z = chance += 0x9e3779b97f4a7c15ULL;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
	return z ^ z >> 31;
}

double sim_between(double low, double high)
{
	return low + (high - low) * ((double)(next_random() >> 11) / 9007199254740992.0);
}

int sim_pick(int n) { return n > 0 ? (int)(next_random() % (uint64_t)n) : 0; }

bool sim_chance(double share) { return sim_between(0, 1) < share; }

/* ---- whom ---- */

static int current_or_last_leader(void)
{
	int at = sim_leader();

	if (at >= 0)
		last_leader = at;
	return last_leader;
}

static bool targets_zone(enum sim_fault_kind kind) { return kind == FAULT_ZONE_PARTITION; }

static void resolve_target(struct sim_fault *fault)
{
	if (fault->target == TARGET_LEADER)
		fault->target = targets_zone(fault->kind) ? sim_node_zone(current_or_last_leader())
		                                          : current_or_last_leader();
	else if (fault->target == TARGET_ANY_NODE)
		fault->target = sim_pick(sim.node_count);
	else if (fault->target == TARGET_ANY_ZONE)
		fault->target = sim_pick(sim.zone_count);
}

static bool has_tasks(const struct sim_machine *machine)
{
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].counted_running && machine->tasks[i].used)
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
		fault->affects_machine[i] = sim_pick(of--) < left;
		left -= fault->affects_machine[i];
	}
}

void sim_fault_inject(const struct sim_fault *fault)
{
	sim_require(sim.fault_count < SIM_FAULTS_MAX);
	sim.faults[sim.fault_count++] = *fault;
}

/* ---- what some do when they begin and end ---- */

static bool has_running_task(const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		if (job->copies_running[i] > 0)
			return true;
	return false;
}

static void mark_machines_of_job(struct sim_fault *fault, const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count && fault->hang_s > 0; i++)
		if (job->copies_running[i] > 0)
			fault->affects_machine[job->last_machine[i]] = 1;
}

static void cancel_running_jobs(struct sim_fault *fault)
{
	int fit = 0, left = fault->count;

	for (int i = 0; i < sim.job_count; i++)
		fit += has_running_task(&sim.jobs[i]) && !sim.jobs[i].cancel_requested;
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];

		if (!has_running_task(job) || job->cancel_requested || sim_pick(fit--) >= left)
			continue;
		left--;
		mark_machines_of_job(fault, job);
		sim_user_cancel(job);
	}
}

static void set_nodes_down(const struct sim_fault *fault, bool down)
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

static void set_machines_hung(const struct sim_fault *fault, bool hangs)
{
	for (int i = 0; i < sim.machine_count; i++)
		if (fault->affects_machine[i])
			sim_machine_set_hung(i, hangs);
}

static void pause_processes(const struct sim_fault *fault)
{
	for (int i = 0; i < sim.node_count; i++)
		if ((fault->target == TARGET_ALL_NODES || fault->target == i) && sim_node_alive(i))
			sim_process_pause_until(sim_node_process(i), fl_now() + fault->duration_s);
}

void sim_process_compute(int process)
{
	for (int i = 0; i < sim.node_count && sim_fault_active(FAULT_SLOW_NODES, -1); i++) {
		const struct sim_fault *slow = sim_fault_active(FAULT_SLOW_NODES, i);

		if (sim_node_process(i) != process || !slow)
			continue;
		/* Now and then one that takes long, as a pass over all jobs does. */
		sim_process_pause_until(process,
		                        fl_now() + slow->magnitude * (sim_chance(0.02) ? 30 : 1));
	}
}

static void begin_fault(struct sim_fault *fault)
{
	resolve_target(fault);
	if (fault->kind == FAULT_OUTBOUND_PARTITION || fault->kind == FAULT_INBOUND_PARTITION ||
	    fault->kind == FAULT_MACHINE_HANG || fault->kind == FAULT_MACHINES_DIE)
		choose_machines(fault);
	fault->active = true;
	if (fault->kind == FAULT_NODE_DOWN)
		set_nodes_down(fault, true);
	if (fault->kind == FAULT_CANCEL_RUNNING)
		cancel_running_jobs(fault);
	if (fault->kind == FAULT_MACHINE_HANG || fault->kind == FAULT_CANCEL_RUNNING)
		set_machines_hung(fault, true);
	if (fault->kind == FAULT_PROCESS_PAUSE)
		pause_processes(fault);
	for (int i = 0; i < sim.machine_count && fault->kind == FAULT_MACHINES_DIE; i++)
		if (fault->affects_machine[i]) {
			sim_machine_terminate(i);
			sim.machines[i].terminated_at += 30; /* listed as running for so long */
		}
	for (int i = 0; i < fault->count && fault->kind == FAULT_SUBMISSION_BURST; i++)
		if (sim.job_count < SIM_BURST_JOBS_MAX - 16)
			sim_user_start(sim_job_add(sim_time() + sim_between(0, 2)));
}

static void end_fault(struct sim_fault *fault)
{
	fault->active = false;
	fault->ended = true;
	if (fault->kind == FAULT_NODE_DOWN)
		set_nodes_down(fault, false);
	if (fault->kind == FAULT_MACHINE_HANG || fault->kind == FAULT_CANCEL_RUNNING)
		set_machines_hung(fault, false);
}

static void run_fault(void *arg)
{
	struct sim_fault *fault = arg;

	if (fl_sleep(fault->start_s) != 0)
		return;
	begin_fault(fault);
	if (fl_sleep(fault->kind == FAULT_CANCEL_RUNNING ? fault->hang_s : fault->duration_s) != 0)
		return;
	end_fault(fault);
}

void sim_faults_start(void)
{
	last_leader = 0;
	sim.faults_end_s = 0;
	for (int i = 0; i < sim.fault_count; i++) {
		struct sim_fault *fault = &sim.faults[i];
		double over =
			fault->start_s +
			(fault->duration_s > fault->hang_s ? fault->duration_s : fault->hang_s);

		if (over > sim.faults_end_s)
			sim.faults_end_s = over;
		sim_spawn(0, run_fault, fault);
	}
}

const struct sim_fault *sim_fault_active(enum sim_fault_kind kind, int target)
{
	for (int i = 0; i < sim.fault_count; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		if (fault->active && fault->kind == kind &&
		    (target < 0 || fault->target == target || fault->target == TARGET_ALL_NODES))
			return fault;
	}
	return NULL;
}

/* ---- messages ---- */

static bool is_node(struct sim_endpoint endpoint)
{
	return endpoint.kind == ENDPOINT_NODE || endpoint.kind == ENDPOINT_PEER;
}

static int zone_of(struct sim_endpoint endpoint)
{
	if (is_node(endpoint))
		return sim_node_zone(endpoint.index);
	return endpoint.kind == ENDPOINT_WORKER ? sim.machines[endpoint.index].zone : -1;
}

static bool is_between_node_and(struct sim_endpoint a, struct sim_endpoint b,
                                enum sim_endpoint_kind kind, int *node)
{
	if (is_node(a) && b.kind == kind)
		*node = a.index;
	else if (is_node(b) && a.kind == kind)
		*node = b.index;
	else
		return false;
	return true;
}

static bool affects_endpoint(enum sim_fault_kind kind, struct sim_endpoint endpoint)
{
	for (int i = 0; i < sim.fault_count && endpoint.kind == ENDPOINT_WORKER; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		if (fault->active && fault->kind == kind && fault->affects_machine[endpoint.index])
			return true;
	}
	return false;
}

static bool zones_are_partitioned(struct sim_endpoint a, struct sim_endpoint b)
{
	if (zone_of(a) == zone_of(b))
		return false;
	return (zone_of(a) >= 0 && sim_fault_active(FAULT_ZONE_PARTITION, zone_of(a))) ||
	       (zone_of(b) >= 0 && sim_fault_active(FAULT_ZONE_PARTITION, zone_of(b)));
}

bool sim_message_is_lost(struct sim_endpoint from, struct sim_endpoint to, bool reply)
{
	const struct sim_fault *fault;
	int node;

	if (zones_are_partitioned(from, to))
		return true;
	if (is_between_node_and(from, to, ENDPOINT_KV_STORE, &node) &&
	    sim_fault_active(FAULT_PARTITION_FROM_KV, node))
		return true;
	if (is_node(from) && is_node(to))
		return sim_fault_active(FAULT_PARTITION_FROM_PEERS, from.index) ||
		       sim_fault_active(FAULT_PARTITION_FROM_PEERS, to.index);
	if (!is_between_node_and(from, to, ENDPOINT_WORKER, &node))
		return false;
	if (sim_fault_active(FAULT_PARTITION_FROM_WORKERS, node))
		return true;
	fault = sim_fault_active(FAULT_LOST_REPLIES, -1);
	if (reply && fault && sim_chance(fault->magnitude))
		return true;
	if (from.kind == ENDPOINT_WORKER)
		return (!reply && affects_endpoint(FAULT_OUTBOUND_PARTITION, from)) ||
		       (reply && affects_endpoint(FAULT_INBOUND_PARTITION, from));
	return !reply && affects_endpoint(FAULT_INBOUND_PARTITION, to);
}

bool sim_message_is_held(struct sim_endpoint from, struct sim_endpoint to)
{
	int node;

	return is_between_node_and(from, to, ENDPOINT_WORKER, &node) &&
	       sim_fault_active(FAULT_PACKETS_HELD, node);
}

double sim_latency(struct sim_endpoint from, struct sim_endpoint to)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_SLOW_LINKS, -1);

	(void)from, (void)to;
	return fault ? sim_between(0, fault->magnitude) : sim_between(0.001, 0.006);
}
