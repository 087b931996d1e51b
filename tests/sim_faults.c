/* Faults: their beginning and end, their targets, and the actions of some kinds. */
#include "sim.h"

#include "transport/clock.h"

/* The last known leader, for a fault that begins while there is none. */
static int last_leader;

void sim_fault_inject(const struct sim_fault *fault)
{
	sim_require(sim.fault_count < SIM_FAULTS_MAX);
	sim.faults[sim.fault_count++] = *fault;
}

/* ---- targets ---- */

static int current_or_last_leader(void)
{
	int leader = sim_leader_node();

	if (leader >= 0)
		last_leader = leader;
	return last_leader;
}

static void resolve_target(struct sim_fault *fault)
{
	bool targets_zone = fault->kind == FAULT_ZONE_PARTITION;

	switch (fault->target) {
	case TARGET_LEADER:
		fault->target = current_or_last_leader();
		if (targets_zone)
			fault->target = sim_node_zone(fault->target);
		break;
	case TARGET_ANY_NODE:
		fault->target = sim_random_index(sim.node_count);
		break;
	case TARGET_ANY_ZONE:
		fault->target = sim_random_index(sim.zone_count);
		break;
	default: /* a node, a zone, or all nodes */
		break;
	}
}

static bool targets_node(const struct sim_fault *fault, int node)
{
	return fault->target == TARGET_ALL_NODES || fault->target == node;
}

static bool has_tasks(const struct sim_machine *machine)
{
	for (int i = 0; i < machine->task_slots_used; i++)
		if (machine->tasks[i].counted_running && machine->tasks[i].used)
			return true;
	return false;
}

/* Chooses machines with tasks, so that the fault has an effect: `count`, or else a share. */
static void choose_machines_with_tasks(struct sim_fault *fault)
{
	int candidates = 0, wanted;

	for (int i = 0; i < sim.machine_count; i++)
		candidates += has_tasks(&sim.machines[i]);
	wanted = fault->count > 0 ? fault->count : (int)(fault->magnitude * candidates + 0.999);
	for (int i = 0; i < sim.machine_count; i++) {
		if (!has_tasks(&sim.machines[i]))
			continue;
		fault->affects_machine[i] = sim_random_index(candidates--) < wanted;
		wanted -= fault->affects_machine[i];
	}
}

/* ---- actions at the beginning and end of faults ---- */

static void choose_machines_of_job(struct sim_fault *fault, const struct sim_job *job)
{
	for (uint32_t i = 0; i < job->spec.task_count; i++)
		if (job->copies_running[i] > 0)
			fault->affects_machine[job->last_machine[i]] = true;
}

static void cancel_running_jobs(struct sim_fault *fault)
{
	int candidates = 0, wanted = fault->count;

	for (int i = 0; i < sim.job_count; i++)
		candidates += sim_job_is_running(&sim.jobs[i]) && !sim.jobs[i].cancel_requested;
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];

		if (!sim_job_is_running(job) || job->cancel_requested ||
		    sim_random_index(candidates--) >= wanted)
			continue;
		wanted--;
		if (fault->hang_s > 0)
			choose_machines_of_job(fault, job);
		sim_user_cancel(job);
	}
}

static void set_nodes_down(const struct sim_fault *fault, bool down)
{
	for (int i = 0; i < sim.node_count; i++) {
		if (!targets_node(fault, i))
			continue;
		if (down)
			sim_node_kill(i);
		else
			sim_node_start(i);
	}
}

static void set_machines_hung(const struct sim_fault *fault, bool hung)
{
	for (int i = 0; i < sim.machine_count; i++)
		if (fault->affects_machine[i])
			sim_machine_set_hung(i, hung);
}

static void terminate_machines(const struct sim_fault *fault)
{
	for (int i = 0; i < sim.machine_count; i++)
		if (fault->affects_machine[i]) {
			sim_machine_terminate(i);
			sim.machines[i].terminated_at += 30; /* listed as running for 30 s more */
		}
}

static void pause_processes(const struct sim_fault *fault)
{
	for (int i = 0; i < sim.node_count; i++)
		if (targets_node(fault, i) && sim_node_process(i))
			sim_process_pause_until(sim_node_process(i), fl_now() + fault->duration_s);
}

void sim_process_delay_if_slow(int process)
{
	int node = sim_node_of_process(process);
	const struct sim_fault *slow = node < 0 ? NULL : sim_fault_active(FAULT_SLOW_NODES, node);

	/* Some pieces of work take 30 times as long, as a scheduling cycle over all jobs does. */
	if (slow)
		sim_process_pause_until(process,
		                        fl_now() + slow->magnitude * (sim_chance(0.02) ? 30 : 1));
}

static void submit_burst(int count)
{
	for (int i = 0; i < count; i++)
		if (sim.job_count < SIM_BURST_JOBS_MAX - 16)
			sim_user_start(
				sim_job_add_random(sim_elapsed_s() + sim_random_between(0, 2)));
}

/* ---- beginning and end of faults ---- */

static bool affects_machines(enum sim_fault_kind kind)
{
	return kind == FAULT_OUTBOUND_PARTITION || kind == FAULT_INBOUND_PARTITION ||
	       kind == FAULT_MACHINE_HANG || kind == FAULT_MACHINE_TERMINATION;
}

static void begin_fault(struct sim_fault *fault)
{
	resolve_target(fault);
	if (affects_machines(fault->kind))
		choose_machines_with_tasks(fault);
	fault->active = true;
	if (fault->kind == FAULT_NODE_DOWN)
		set_nodes_down(fault, true);
	if (fault->kind == FAULT_CANCEL_RUNNING)
		cancel_running_jobs(fault);
	if (fault->kind == FAULT_MACHINE_HANG || fault->kind == FAULT_CANCEL_RUNNING)
		set_machines_hung(fault, true);
	if (fault->kind == FAULT_PROCESS_PAUSE)
		pause_processes(fault);
	if (fault->kind == FAULT_MACHINE_TERMINATION)
		terminate_machines(fault);
	if (fault->kind == FAULT_SUBMISSION_BURST)
		submit_burst(fault->count);
}

static void end_fault(struct sim_fault *fault)
{
	fault->active = fault->kind == FAULT_KV_LIMITS_LOWERED;
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
		double longest_s =
			fault->duration_s > fault->hang_s ? fault->duration_s : fault->hang_s;

		if (fault->start_s + longest_s > sim.faults_end_s)
			sim.faults_end_s = fault->start_s + longest_s;
		sim_spawn(0, run_fault, fault);
	}
}

const struct sim_fault *sim_fault_active(enum sim_fault_kind kind, int target)
{
	for (int i = 0; i < sim.fault_count; i++) {
		const struct sim_fault *fault = &sim.faults[i];

		if (fault->active && fault->kind == kind &&
		    (target < 0 || targets_node(fault, target)))
			return fault;
	}
	return NULL;
}
