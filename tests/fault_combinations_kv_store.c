/*
 * Combinations around the key-value store: it refuses requests, is slow or unavailable, or loses
 * replies.
 */
#include "fault_combinations.h"

#include "sim.h"

/* Injects a random fault by which the leader's stop commands do not reach machines. */
static void inject_command_failure(double start_s, double duration_s)
{
	switch (sim_random_index(3)) {
	case 0:
		SIM_INJECT(FAULT_PARTITION_FROM_WORKERS, .start_s = start_s,
		           .duration_s = duration_s, .target = TARGET_LEADER);
		break;
	case 1:
		inject_leader_down(start_s + 0.01, duration_s);
		break;
	default:
		SIM_INJECT(FAULT_INBOUND_PARTITION, .start_s = start_s, .duration_s = 5,
		           .magnitude = 0.7);
		break;
	}
}

/*
 * The key-value store refuses the leader's requests, and another node leads and confirms
 * cancellations. Then the store is unavailable to all nodes, for longer than cancel_s, while
 * machines still send heartbeats to the old leader.
 */
static void kv_refusal_then_outage(int variant)
{
	double start_s = sim_random_between(48, 60),
	       next_leader_s = start_s + sim_random_between(3.5, 5);
	double outage_s = next_leader_s + sim_random_between(0.2, 6);
	double end_s = outage_s + sim.cancel_s + sim_random_between(5, 15), hang_s;

	SIM_INJECT(FAULT_KV_REFUSES_NODE, .start_s = start_s, .duration_s = end_s - start_s,
	           .target = TARGET_LEADER);
	hang_s = sim_chance(0.5) ? sim_random_between(2, 9) : 0;
	inject_cancel_running(next_leader_s, 3 + sim_random_index(4), hang_s);
	inject_cancel_running(sim_random_between(next_leader_s, outage_s), 2, 0);
	SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = outage_s, .duration_s = end_s - outage_s);
	if (variant % 2)
		SIM_INJECT(FAULT_PARTITION_FROM_WORKERS, .start_s = next_leader_s - 0.1,
		           .duration_s = end_s - next_leader_s, .target = TARGET_LEADER);
	switch (variant / 2 % 6) {
	case 1:
		SIM_INJECT(FAULT_DELAYED_WRITES, .start_s = start_s, .duration_s = end_s - start_s,
		           .magnitude = 0.3);
		break;
	case 2:
		SIM_INJECT(FAULT_KV_SLOW, .start_s = start_s, .duration_s = end_s - start_s,
		           .magnitude = 0.8);
		break;
	case 3:
		SIM_INJECT(sim_chance(0.5) ? FAULT_MACHINE_HANG : FAULT_OUTBOUND_PARTITION,
		           .start_s = next_leader_s, .duration_s = 15, .magnitude = 0.4);
		break;
	case 4:
		inject_leader_down(next_leader_s + 0.1, end_s - next_leader_s);
		break;
	case 5:
		SIM_INJECT(FAULT_PARTITION_FROM_PEERS, .start_s = start_s,
		           .duration_s = end_s - start_s, .target = TARGET_LEADER);
		break;
	}
}

/* Transactions get no reply and are applied late, after newer ones of the same node. */
static void delayed_write(int variant)
{
	double start_s = sim_random_between(10, 30);

	SIM_INJECT(FAULT_DELAYED_WRITES, .start_s = start_s, .duration_s = 70,
	           .magnitude = variant % 2 ? 0.15 : 0.35);
	inject_cancel_running(start_s + sim_random_between(25, 40), 4, 0);
	if (variant % 3 == 1)
		inject_leader_down(start_s + sim_random_between(20, 40), 8);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_KV_REFUSES_NODE, .start_s = start_s + 30, .duration_s = 12,
		           .target = TARGET_LEADER);
}

/*
 * Cancellations get no reply and are applied late, while the nodes learn of changes at different
 * times and users query all of them. In some variants the store refuses writes or the leader, or
 * another node leads.
 */
static void delayed_cancellation(int variant)
{
	double start_s = sim_random_between(30, 50);

	SIM_INJECT(FAULT_DELAYED_WRITES, .start_s = start_s, .duration_s = 40, .magnitude = 0.4);
	SIM_INJECT(FAULT_KV_SLOW, .start_s = start_s, .duration_s = 55, .magnitude = 0.5,
	           .delays_watches = true);
	SIM_INJECT(FAULT_CONCURRENT_READS, .start_s = start_s, .duration_s = 60);
	SIM_INJECT(FAULT_STATUS_QUERY_STORM, .start_s = start_s, .duration_s = 60, .magnitude = 20);
	SIM_INJECT(FAULT_CANCEL_AT_COMPLETION, .start_s = start_s, .duration_s = 50,
	           .magnitude = 0.5);
	for (int i = 0; i < 4; i++)
		inject_cancel_running(start_s + sim_random_between(0, 40), 3, 0);
	if (variant % 4 == 1)
		inject_leader_down(start_s + sim_random_between(5, 35), 8);
	if (variant % 4 == 2)
		SIM_INJECT(FAULT_KV_REFUSES_NODE, .start_s = start_s + sim_random_between(5, 35),
		           .duration_s = sim_random_between(1, 10), .target = TARGET_LEADER);
	if (variant % 4 == 3)
		SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = start_s + sim_random_between(5, 35),
		           .duration_s = sim_random_between(1, 20));
}

/* Jobs are cancelled as the store begins to refuse the leader; an outage follows 1 s later. */
static void cancel_at_kv_refusal(int variant)
{
	double start_s = sim_random_between(45, 60),
	       duration_s = sim.cancel_s + sim_random_between(3, 15);

	SIM_INJECT(FAULT_KV_REFUSES_NODE, .start_s = start_s, .duration_s = duration_s,
	           .target = TARGET_LEADER);
	inject_cancel_running(start_s - 0.05 + 0.05 * (variant % 3), 5,
	                      variant % 2 ? sim_random_between(3, 9) : 0);
	SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = start_s + 1, .duration_s = duration_s - 1);
	if (variant % 2)
		inject_command_failure(start_s, duration_s);
}

/*
 * The leader is partitioned from the store and its peers, in some variants later also from the
 * workers, but not from users.
 */
static void leader_partition(int variant)
{
	double start_s = sim_random_between(45, 55), duration_s = sim_random_between(15, 80),
	       hang_s;

	SIM_INJECT(FAULT_PARTITION_FROM_KV, .start_s = start_s, .duration_s = duration_s,
	           .target = TARGET_LEADER);
	SIM_INJECT(FAULT_PARTITION_FROM_PEERS, .start_s = start_s, .duration_s = duration_s,
	           .target = TARGET_LEADER);
	hang_s = variant % 2 ? sim_random_between(3, 9) : 0;
	inject_cancel_running(start_s + sim_random_between(3, 7), 5, hang_s);
	inject_cancel_running(start_s + 12, 2, 0);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_PARTITION_FROM_WORKERS, .start_s = start_s + 5,
		           .duration_s = duration_s - 5, .target = TARGET_LEADER);
}

/* The store is slow or refuses the leader, then is unavailable, while users cancel and query. */
static void degraded_kv_then_outage(int variant)
{
	double start_s = sim_random_between(40, 50),
	       duration_s = sim.cancel_s + sim_random_between(3, 20), hang_s;

	if (variant % 2)
		SIM_INJECT(FAULT_KV_REFUSES_NODE, .start_s = start_s, .duration_s = 15,
		           .target = TARGET_LEADER);
	else
		SIM_INJECT(FAULT_KV_SLOW, .start_s = start_s, .duration_s = 15,
		           .magnitude = sim_random_between(0.5, 1.6));
	SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = start_s + 15, .duration_s = duration_s);
	SIM_INJECT(FAULT_INVALID_REQUESTS, .start_s = start_s, .duration_s = 15 + duration_s);
	hang_s = sim_chance(0.5) ? 8 : 0;
	inject_cancel_running(start_s + sim_random_between(4, 14), 4, hang_s);
	inject_cancel_running(start_s + 14.9, 3, 0);
	if (variant % 3 == 2)
		inject_command_failure(start_s + 14.8, duration_s);
}

/* Writes are applied at once but their replies lost, while users query the jobs at all nodes. */
static void lost_write_reply(int variant)
{
	double start_s = sim_random_between(15, 30);

	SIM_INJECT(FAULT_DELAYED_WRITES, .start_s = start_s, .duration_s = 70,
	           .magnitude = variant % 2 ? 0.5 : 0.2, .reply_lost_only = true);
	SIM_INJECT(FAULT_CONCURRENT_READS, .start_s = start_s, .duration_s = 70);
	SIM_INJECT(FAULT_INVALID_REQUESTS, .start_s = start_s, .duration_s = 70);
	SIM_INJECT(FAULT_CANCEL_AT_COMPLETION, .start_s = start_s, .duration_s = 70,
	           .magnitude = 0.4);
	inject_cancel_running(start_s + sim_random_between(15, 35), 5, 0);
	if (variant % 3 == 2)
		inject_leader_down(start_s + sim_random_between(20, 45), 8);
}

/* Announces limits of the key-value store in the settings of all nodes. */
static void announce_limits(const struct kv_model_limits *limits)
{
	for (int i = 0; i < sim.node_count; i++) {
		sim.config[i].next_value_kb = limits->value_kb;
		sim.config[i].next_txn_ops = limits->txn_ops;
		sim.config[i].next_state_write_rps = limits->write_rps;
	}
}

/*
 * The store lowers its limits, announced or not, during a burst of jobs and cancellations; in some
 * variants the leader ends before or after that, all controllers restart, or writes are delayed.
 */
static void lowered_kv_limits(int variant)
{
	static const struct kv_model_limits limits[] = {
		{2, 4, 40}, {1, 2, 25}, {1, 16, 70}, {4, 3, 20}};
	const struct kv_model_limits *lowered = &limits[variant % 4];
	double start_s = sim_random_between(20, 45);

	if (variant % 3)
		announce_limits(lowered);
	SIM_INJECT(FAULT_KV_LIMITS_LOWERED, .start_s = start_s, .duration_s = 30,
	           .kv_limits = *lowered);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s - 2, .count = 8);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s + 2, .count = 8);
	inject_cancel_running(start_s + sim_random_between(1, 20), 4, 0);
	switch (variant / 2 % 5) {
	case 1:
		inject_leader_down(start_s - sim_random_between(0, 1), 8);
		break;
	case 2:
		inject_leader_down_within(start_s, 10, 8);
		break;
	case 3:
		SIM_INJECT(FAULT_NODE_DOWN, .start_s = start_s + sim_random_between(0, 10),
		           .duration_s = 5, .target = TARGET_ALL_NODES);
		break;
	case 4:
		SIM_INJECT(FAULT_DELAYED_WRITES, .start_s = start_s, .duration_s = 40,
		           .magnitude = 0.2);
		inject_leader_down_within(start_s, 30, 8);
		break;
	default:
		break;
	}
}

static const struct combination combinations[] = {
	{.name = "kv_refusal_then_outage",
         .seed_name = "gap",
         .inject_faults = kv_refusal_then_outage,
         .first_variant = 0,
         .variant_count = 12,
         .protects = "gossip.c, renewal_rules.c: leases are renewed only up to the cancellation "
                     "watermark"},
	{.name = "delayed_write",
         .seed_name = "late_write",
         .inject_faults = delayed_write,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "record_writer.c: unknown outcomes, conditions on the leader's key"},
	{.name = "delayed_cancellation",
         .seed_name = "delayed_cancellation",
         .inject_faults = delayed_cancellation,
         .first_variant = 70,
         .variant_count = 4,
         .protects = "job_record_txn.c: unresolved writes; status_from_leader.c"},
	{.name = "cancel_at_kv_refusal",
         .seed_name = "refused_and_out",
         .inject_faults = cancel_at_kv_refusal,
         .first_variant = 0,
         .variant_count = 4,
         .protects = "gossip.c, renewal_rules.c: the cancellation watermark"},
	{.name = "leader_partition",
         .seed_name = "leader_cut",
         .inject_faults = leader_partition,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "gossip.c, renewal_rules.c: the cancellation watermark; election.c"},
	{.name = "degraded_kv_then_outage",
         .seed_name = "slow_then_out",
         .inject_faults = degraded_kv_then_outage,
         .first_variant = 0,
         .variant_count = 4,
         .protects = "renewal_rules.c: the cancellation watermark; cancellation.c"},
	{.name = "lowered_kv_limits",
         .seed_name = "lowered_kv_limits",
         .inject_faults = lowered_kv_limits,
         .first_variant = 0,
         .variant_count = 10,
         .protects =
                 "kv_limits.c, block_parts.c: the size of each write within the limits in force"},
	{.name = "lost_write_reply",
         .seed_name = "answer_lost",
         .inject_faults = lost_write_reply,
         .first_variant = 2,
         .variant_count = 1,
         .protects = "status_from_leader.c: unknown outcomes of writes; "
                     "progress_writer.c: rereading of revisions"},
	{.name = "lost_write_reply",
         .seed_name = "answer_lost",
         .inject_faults = lost_write_reply,
         .first_variant = 119,
         .variant_count = 1,
         .protects = "cancellation.c: the conditions of the transaction"},
};

const struct combination_group kv_store_combinations = {
	combinations, sizeof(combinations) / sizeof(combinations[0])};
