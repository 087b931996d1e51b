/* Combinations of random faults, drawn with the seed of the variant. */
#include "fault_combinations.h"

#include "sim.h"

/* Random pairs and triples of faults. */
static void random_faults(int variant)
{
	double start_s = sim_random_between(30, 50);

	for (int i = 0; i < 2 + variant % 2; i++) {
		enum sim_fault_kind kind =
			(enum sim_fault_kind)sim_random_index(SIM_FIRST_TIMING_FAULT);
		bool is_latency = kind == FAULT_KV_SLOW || kind == FAULT_SLOW_LINKS;
		double magnitude = is_latency ? 1 : sim_random_between(0.2, 0.8);
		double duration_s = sim_random_between(3, 55);

		SIM_INJECT(kind, .start_s = start_s + sim_random_between(0, 10),
		           .duration_s = duration_s,
		           .target = kind == FAULT_ZONE_PARTITION ? TARGET_ANY_ZONE : TARGET_LEADER,
		           .magnitude = magnitude, .count = kind >= FAULT_CANCEL_RUNNING ? 6 : 0);
	}
	inject_cancel_running(start_s + sim_random_between(0, 15), 4, 0);
}

static double random_magnitude(enum sim_fault_kind kind)
{
	switch (kind) {
	case FAULT_KV_SLOW:
	case FAULT_SLOW_LINKS:
		return 1;
	case FAULT_SLOW_NODES:
		return sim_random_between(0.0005, 0.002);
	case FAULT_STATUS_QUERY_STORM:
		return 8;
	default:
		return sim_random_between(0.2, 0.8);
	}
}

static int random_target(enum sim_fault_kind kind)
{
	if (kind == FAULT_ZONE_PARTITION)
		return TARGET_ANY_ZONE;
	if (kind == FAULT_SLOW_NODES && sim_chance(0.5))
		return TARGET_ALL_NODES;
	return TARGET_LEADER;
}

static void inject_random_fault(enum sim_fault_kind kind, double start_s)
{
	bool has_count = kind >= FAULT_CANCEL_RUNNING && kind <= FAULT_SUBMISSION_BURST;
	struct sim_fault fault = {.kind = kind, .count = has_count ? 6 : 0};

	fault.magnitude = random_magnitude(kind);
	fault.target = random_target(kind);
	fault.duration_s = sim_random_between(3, 55);
	fault.start_s = start_s + sim_random_between(0, 10);
	fault.reply_lost_only = kind == FAULT_DELAYED_WRITES && sim_chance(0.5);
	fault.held_for_next_leader = kind == FAULT_DELAYED_HEARTBEATS && sim_chance(0.5);
	sim_fault_inject(&fault);
}

/* Pairs and triples with one of `first_kinds`, most of which random_faults does not draw. */
static void random_timing_faults(int variant)
{
	static const enum sim_fault_kind first_kinds[] = {
		FAULT_DELAYED_COMMANDS,   FAULT_CONCURRENT_READS,       FAULT_SLOW_NODES,
		FAULT_PROCESS_PAUSE,      FAULT_SHARED_IMAGE_BANDWIDTH, FAULT_IRREGULAR_BOOTS,
		FAULT_STATUS_QUERY_STORM, FAULT_DELAYED_WRITES,         FAULT_DELAYED_HEARTBEATS,
	};
	double start_s = sim_random_between(25, 45);

	inject_random_fault(first_kinds[variant % 9], start_s);
	for (int i = 0; i < 1 + variant % 2; i++)
		inject_random_fault((enum sim_fault_kind)sim_random_index(SIM_DRAWN_FAULT_KINDS),
		                    start_s);
	if (sim_chance(0.5))
		inject_leader_down_within(start_s, 12, sim_random_between(0.5, 20));
	inject_cancel_running(start_s + sim_random_between(0, 15), 4, 0);
}

static const struct combination combinations[] = {
	{.name = "random_faults",
         .seed_name = "chance",
         .inject_faults = random_faults,
         .first_variant = 0,
         .variant_count = 14,
         .protects = "the code that the other combinations test"},
	{.name = "random_timing_faults",
         .seed_name = "chance_timing",
         .inject_faults = random_timing_faults,
         .first_variant = 1,
         .variant_count = 9,
         .protects = "the code that the other combinations test"},
};

const struct combination_group random_combinations = {
	combinations, sizeof(combinations) / sizeof(combinations[0])};
