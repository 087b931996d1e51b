/* Combinations around failovers: controllers are killed and restarted, or paused. */
#include "fault_combinations.h"

#include "sim.h"

/* The tasks of each job complete at very different times, before and after failovers. */
static void staggered_task_completions(int variant)
{
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];

		job->cancel_s = job->spec.kind == FL_SERVICE ? job->cancel_s : -1;
		for (uint32_t k = 0; k < job->spec.task_count; k++)
			job->duration_s[k] =
				k == 0 ? sim_random_between(3, 15) : sim_random_between(40, 110);
	}
	for (int i = 0; i < 2 + variant % 2; i++)
		inject_leader_down_within(45 + 25 * i, 10, sim_random_between(4, 20));
}

/* All controllers are down for longer than a lease. */
static void all_controllers_down(int variant)
{
	double start_s = sim_random_between(40, 55);

	SIM_INJECT(FAULT_NODE_DOWN, .start_s = start_s,
	           .duration_s = sim.lease_s * sim_random_between(1.1, 2.5),
	           .target = TARGET_ALL_NODES);
	inject_cancel_running(start_s - sim_random_between(0.02, 1), 4,
	                      variant % 2 ? sim.lease_s * 0.8 : 0);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_CLOUD_UNAVAILABLE, .start_s = start_s - 5, .duration_s = 50);
	if (variant % 2)
		SIM_INJECT(FAULT_DELAYED_HEARTBEATS, .start_s = start_s - 20, .duration_s = 40,
		           .magnitude = 0.4);
}

/* Leaders stop one after another, then all controllers at once, some for less than a second. */
static void repeated_failover(int variant)
{
	double start_s = 40;

	for (int i = 0; i < 5; i++) {
		inject_leader_down(start_s, sim_random_between(0.1, variant % 2 ? 1 : 6));
		start_s += sim_random_between(2, 9);
	}
	SIM_INJECT(FAULT_NODE_DOWN, .start_s = start_s, .duration_s = sim_random_between(0.3, 3),
	           .target = TARGET_ALL_NODES);
	inject_cancel_running(start_s - 0.1, 4, 0);
	inject_leader_down(start_s + 9, 0.4);
}

/* Ten failovers in two minutes, with or without an outage of the key-value store. */
static void ten_failovers(int variant)
{
	for (int i = 0; i < 10; i++)
		inject_leader_down_within(30 + 12 * i, 5, sim_random_between(0.5, 8));
	if (variant % 2) {
		double outage_s = sim_random_between(8, 40);

		SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = sim_random_between(50, 80),
		           .duration_s = outage_s);
	}
	inject_cancel_running(sim_random_between(50, 100), 4, variant % 3 ? 6 : 0);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 60, .duration_s = 1, .count = 10);
}

/* The leader stops while machines with long tasks are partitioned one-way, or hang. */
static void leader_down_workers_unreachable(int variant)
{
	static const enum sim_fault_kind fault_kinds[] = {
		FAULT_INBOUND_PARTITION, FAULT_OUTBOUND_PARTITION, FAULT_MACHINE_HANG};
	double start_s = sim_random_between(45, 55), unreachable_s;

	for (int i = 0; i < sim.job_count; i++)
		for (uint32_t k = 0; k < SIM_JOB_TASKS; k++)
			sim.jobs[i].duration_s[k] *= 2;
	unreachable_s = sim_random_between(6, 40);
	SIM_INJECT(fault_kinds[variant % 3], .start_s = start_s - sim_random_between(0, 4),
	           .duration_s = unreachable_s, .magnitude = 0.6);
	inject_leader_down(start_s, sim_random_between(2, 30));
	if (variant % 2)
		inject_cancel_running(start_s + sim_random_between(-1, 6), 5, 0);
}

/* Jobs are cancelled one by one in the seconds around a failover. */
static void cancel_at_failover(int variant)
{
	double start_s = sim_random_between(42, 55);

	SIM_INJECT(FAULT_CONCURRENT_READS, .start_s = start_s - 1, .duration_s = 14);
	if (variant % 2)
		SIM_INJECT(FAULT_PROCESS_PAUSE, .start_s = start_s,
		           .duration_s = sim_random_between(3.2, 9), .target = TARGET_LEADER);
	else
		inject_leader_down(start_s, sim_random_between(0.3, 9));
	for (int i = 0; i < 12; i++)
		inject_cancel_running(start_s - 0.3 + 0.45 * i, 1, 0);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_KV_SLOW, .start_s = start_s - 2, .duration_s = 10,
		           .magnitude = 1.2);
}

/* All controllers stop, and one of them restarts within a second. */
static void all_down_one_returns(int variant)
{
	double start_s = sim_random_between(42, 55);
	int first = sim_random_index(sim.node_count);

	for (int i = 0; i < sim.node_count; i++)
		SIM_INJECT(FAULT_NODE_DOWN, .start_s = start_s,
		           .duration_s = i == first ? sim_random_between(0.05, 1)
		                                    : sim_random_between(10, 40),
		           .target = i);
	inject_cancel_running(start_s - 0.1, 4, variant % 2 ? 5 : 0);
	inject_cancel_running(start_s + sim_random_between(4, 8), 2, 0);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_NODE_DOWN, .start_s = start_s + 6, .duration_s = 0.5,
		           .target = first);
}

/* The leader is paused for longer than its lease; jobs are cancelled through the next leader. */
static void process_pause(int variant)
{
	double start_s = sim_random_between(42, 55),
	       duration_s = sim_random_between(3.5, variant % 2 ? 30 : 9);

	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s - 3, .duration_s = 1, .count = 10);
	SIM_INJECT(FAULT_PROCESS_PAUSE, .start_s = start_s, .duration_s = duration_s,
	           .target = TARGET_LEADER);
	inject_cancel_running(start_s - 0.02, 2, 0);
	inject_cancel_running(start_s + duration_s - sim_random_between(0, 1), 3, 0);
	inject_cancel_running(start_s + sim_random_between(0, duration_s), 2, 0);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_PROCESS_PAUSE, .start_s = start_s + duration_s + 6,
		           .duration_s = sim_random_between(3, 12), .target = TARGET_ALL_NODES);
}

static const struct combination combinations[] = {
	{.name = "staggered_task_completions",
         .seed_name = "ends_apart",
         .inject_faults = staggered_task_completions,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "failover.c: restoring task blocks and write-ahead log"},
	{.name = "all_controllers_down",
         .seed_name = "all_away",
         .inject_faults = all_controllers_down,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "failover.c; election.c; machine_types.c: the stored machine types"},
	{.name = "repeated_failover",
         .seed_name = "hand_over",
         .inject_faults = repeated_failover,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "election.c: fencing tokens; failover.c"},
	{.name = "ten_failovers",
         .seed_name = "ten_leaders",
         .inject_faults = ten_failovers,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "election.c: fencing tokens; failover.c; record_writer.c"},
	{.name = "leader_down_workers_unreachable",
         .seed_name = "leader_ends_unheard",
         .inject_faults = leader_down_workers_unreachable,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "reconciliation_contact.c: fl_reconcile_predates_leadership; reachability.c"},
	{.name = "cancel_at_failover",
         .seed_name = "cancel_at_handover",
         .inject_faults = cancel_at_failover,
         .first_variant = 3,
         .variant_count = 1,
         .protects = "leader_lease.c: fl_leader_lease_is_valid"},
	{.name = "cancel_at_failover",
         .seed_name = "cancel_at_handover",
         .inject_faults = cancel_at_failover,
         .first_variant = 236,
         .variant_count = 1,
         .protects = "submission.c, cancellation.c: the conditions of a cancellation"},
	{.name = "all_down_one_returns",
         .seed_name = "one_returns",
         .inject_faults = all_down_one_returns,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "failover.c; election.c; renewal_rules.c: tasks of cancelled jobs"},
	{.name = "all_down_one_returns",
         .seed_name = "one_returns",
         .inject_faults = all_down_one_returns,
         .first_variant = 153,
         .variant_count = 1,
         .protects = "schedule_preemption.c: preemption classes"},
	{.name = "process_pause",
         .seed_name = "frozen_leader",
         .inject_faults = process_pause,
         .first_variant = 1,
         .variant_count = 1,
         .protects = "gossip.c, renewal_rules.c: the cancellation watermark"},
	{.name = "process_pause",
         .seed_name = "frozen_leader",
         .inject_faults = process_pause,
         .first_variant = 114,
         .variant_count = 1,
         .protects = "leader_lease.c: fl_leader_lease_is_valid"},
};

const struct combination_group failover_combinations = {
	combinations, sizeof(combinations) / sizeof(combinations[0])};
