/* Combinations around machines: partitions, hangs, and late heartbeats and commands. */
#include "copy_text.h"
#include "fault_combinations.h"

#include "sim.h"

/* Stale heartbeats arrive after newer ones, some from an earlier incarnation or attempt. */
static void stale_heartbeats(int variant)
{
	/* Long checkpoints, during which a heartbeat from before the task's start may arrive. */
	for (int i = 0; i < sim.job_count; i++) {
		struct fl_job_spec *spec = &sim.jobs[i].spec;

		if (spec->kind != FL_ARRAY)
			continue;
		spec->checkpoint_every_s = 2;
		spec->checkpoint_cost_s = sim_random_between(3, 8);
		sim_job_encode_request(&sim.jobs[i]);
	}
	SIM_INJECT(FAULT_DELAYED_HEARTBEATS, .start_s = 5, .duration_s = 90, .magnitude = 0.9);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 25, .duration_s = 1, .count = 10);
	inject_leader_down_within(45, 10, sim_random_between(1, 20));
	SIM_INJECT(FAULT_OUTBOUND_PARTITION, .start_s = sim_random_between(50, 65),
	           .duration_s = sim.lease_s + 4, .magnitude = 0.4);
	if (variant % 2)
		inject_leader_down(sim_random_between(70, 85), 10);
}

/* Heartbeats of some machines are lost, while direct commands reach the machines. */
static void one_way_partition(int variant)
{
	double start_s = sim_random_between(35, 55);

	SIM_INJECT(FAULT_OUTBOUND_PARTITION, .start_s = start_s,
	           .duration_s = sim_random_between(5, 40), .magnitude = variant % 2 ? 1 : 0.5);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s + 2, .duration_s = 1, .count = 8);
	inject_cancel_running(start_s + sim_random_between(1, 6), 4, 0);
	if (variant % 3 == 2)
		inject_leader_down(start_s + 3, 15);
}

/* A zone with machines and a controller is partitioned for longer than a lease. */
static void zone_partition(int variant)
{
	double start_s = sim_random_between(40, 55),
	       duration_s = sim.lease_s * sim_random_between(1.2, 6);

	SIM_INJECT(FAULT_ZONE_PARTITION, .start_s = start_s, .duration_s = duration_s,
	           .target = variant % 2 ? TARGET_LEADER : TARGET_ANY_ZONE);
	inject_cancel_running(start_s + sim_random_between(-1, 8), 4, 0);
	inject_cancel_running(start_s + duration_s * 0.8, 2, 0);
	if (variant % 3 == 2)
		inject_leader_down(start_s + 6, 10);
}

/* Heartbeats are held until a new leader may have acted, and then arrive. */
static void heartbeats_delayed_past_failover(int variant)
{
	double start_s = sim_random_between(40, 55);

	SIM_INJECT(FAULT_PACKETS_HELD, .start_s = start_s, .duration_s = sim_random_between(5, 30),
	           .target = variant % 2 ? TARGET_ALL_NODES : TARGET_ANY_NODE);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_PARTITION_FROM_KV, .start_s = start_s + 1, .duration_s = 20,
		           .target = TARGET_LEADER);
	else
		inject_leader_down(start_s + 1, 15);
	inject_cancel_running(start_s + sim_random_between(2, 8), 4, 0);
}

/* Machines are terminated while jobs that are bound to one zone, including arrays, run there. */
static void zonal_machine_loss(int variant)
{
	double start_s = sim_random_between(40, 55);

	for (int i = 0; i < sim.job_count; i++) {
		struct fl_job_spec *spec = &sim.jobs[i].spec;

		if (i % 2 || spec->spread_zones)
			continue;
		spec->has_zone = true;
		copy_text(spec->zone, sizeof(spec->zone), sim.config[0].zones[i % sim.zone_count]);
		sim_job_encode_request(&sim.jobs[i]);
	}
	SIM_INJECT(FAULT_MACHINE_TERMINATION, .start_s = start_s, .duration_s = 1,
	           .magnitude = 0.5);
	if (variant % 2)
		inject_leader_down(start_s + 0.5, 10);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_CLOUD_UNAVAILABLE, .start_s = start_s, .duration_s = 15);
}

/* Machines that hang for seconds delay commands and replies, and a share of replies is lost. */
static void hung_machines_and_lost_replies(int variant)
{
	double start_s = 20, hang_s;

	while (start_s < 70) {
		SIM_INJECT(FAULT_MACHINE_HANG, .start_s = start_s,
		           .duration_s = sim_random_between(2, sim.lease_s + 2), .magnitude = 0.5);
		start_s += sim_random_between(8, 14);
	}
	SIM_INJECT(FAULT_LOST_REPLIES, .start_s = 20, .duration_s = 55,
	           .magnitude = variant % 2 ? 0.4 : 0.15);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 30, .duration_s = 1, .count = 10);
	SIM_INJECT(FAULT_SLOW_LINKS, .start_s = 25, .duration_s = 45, .magnitude = 0.8);
	for (int i = 0; i < 11; i++)
		inject_cancel_running(28 + 3 * i, 1, 0);
	hang_s = sim_random_between(3, 9);
	inject_cancel_running(sim_random_between(40, 55), 4, hang_s);
	if (variant % 3 == 2)
		inject_leader_down(50, 10);
}

/* Commands of a leader that was stopped or replaced arrive after those of the next leader. */
static void stale_leader_command(int variant)
{
	double start_s = sim_random_between(42, 55);

	SIM_INJECT(FAULT_DELAYED_COMMANDS, .start_s = start_s - 12, .duration_s = 40,
	           .magnitude = variant % 2 ? 0.9 : 0.5);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s - 6, .duration_s = 1, .count = 14);
	SIM_INJECT(FAULT_OUTBOUND_PARTITION, .start_s = start_s - 5,
	           .duration_s = sim_random_between(3, 9), .magnitude = 0.5);
	inject_cancel_running(start_s - 0.5, 3, 0);
	switch (variant % 3) {
	case 0:
		inject_leader_down(start_s, sim_random_between(1, 20));
		break;
	case 1:
		SIM_INJECT(FAULT_PROCESS_PAUSE, .start_s = start_s,
		           .duration_s = sim_random_between(4, 12), .target = TARGET_LEADER);
		break;
	default:
		SIM_INJECT(FAULT_PARTITION_FROM_KV, .start_s = start_s,
		           .duration_s = sim_random_between(8, 20), .target = TARGET_LEADER);
		break;
	}
	inject_cancel_running(start_s + sim_random_between(4, 9), 4, 0);
}

/* Direct commands are executed seconds late, when the leader no longer waits for a response. */
static void delayed_command(int variant)
{
	double start_s = sim_random_between(25, 35), hang_s;

	SIM_INJECT(FAULT_DELAYED_COMMANDS, .start_s = start_s, .duration_s = 50,
	           .magnitude = variant % 2 ? 0.4 : 0.9);
	SIM_INJECT(FAULT_OUTBOUND_PARTITION, .start_s = start_s + 2,
	           .duration_s = sim_random_between(4, 9), .magnitude = 0.6);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s + 3, .duration_s = 1, .count = 12);
	hang_s = sim_random_between(2, sim.lease_s);
	SIM_INJECT(FAULT_MACHINE_HANG, .start_s = start_s + sim_random_between(6, 16),
	           .duration_s = hang_s, .magnitude = 0.4);
	for (int i = 0; i < 8; i++)
		inject_cancel_running(start_s + 4 + 4 * i, 1, 0);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_LOST_REPLIES, .start_s = start_s, .duration_s = 50,
		           .magnitude = 0.3);
}

/* Machines that boot early get tasks while writes are slow or delayed, and the leader stops. */
static void irregular_boots(int variant)
{
	double start_s = sim_random_between(30, 45);

	SIM_INJECT(FAULT_IRREGULAR_BOOTS, .duration_s = 100, .magnitude = 0.9);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s - 4, .duration_s = 1, .count = 20);
	if (variant % 2)
		SIM_INJECT(FAULT_DELAYED_WRITES, .start_s = start_s - 6, .duration_s = 25,
		           .magnitude = 0.3);
	else
		SIM_INJECT(FAULT_KV_SLOW, .start_s = start_s - 6, .duration_s = 25,
		           .magnitude = 1.4);
	inject_leader_down(start_s, sim_random_between(0.5, 15));
	if (variant % 3 == 2)
		inject_leader_down(start_s + sim_random_between(5, 9), 6);
	inject_cancel_running(start_s + sim_random_between(-1, 5), 3, 0);
}

/* Heartbeats are held, and reach every controller once the next leader is elected. */
static void heartbeats_held_for_next_leader(int variant)
{
	double start_s = sim_random_between(42, 52);

	SIM_INJECT(FAULT_DELAYED_HEARTBEATS, .start_s = start_s - 15, .duration_s = 14.9,
	           .magnitude = 0.8, .held_for_next_leader = true);
	if (variant % 2)
		SIM_INJECT(FAULT_OUTBOUND_PARTITION, .start_s = start_s - 0.5,
		           .duration_s = sim_random_between(4, 20), .magnitude = 0.5);
	else
		SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s - 8, .duration_s = 1,
		           .count = 12);
	inject_cancel_running(start_s - 3, 4, 0);
	inject_leader_down(start_s, sim_random_between(1, 15));
	inject_cancel_running(start_s + sim_random_between(3, 7), 3, 0);
	if (variant % 3 == 2) {
		SIM_INJECT(FAULT_DELAYED_HEARTBEATS, .start_s = start_s + 5, .duration_s = 10,
		           .magnitude = 0.8, .held_for_next_leader = true);
		inject_leader_down(start_s + 16, 9);
	}
}

/* Concurrent image fetches take long, during a failover and cancellations. */
static void shared_image_bandwidth(int variant)
{
	double start_s = sim_random_between(25, 40);

	SIM_INJECT(FAULT_SHARED_IMAGE_BANDWIDTH, .duration_s = 100);
	for (int i = 0; i < sim.job_count; i++) {
		sim.jobs[i].spec.image_gb = sim_random_between(3, 9);
		sim_job_encode_request(&sim.jobs[i]);
	}
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = start_s - 3, .duration_s = 1, .count = 16);
	inject_leader_down(start_s, sim_random_between(1, 9));
	inject_cancel_running(start_s + 0.5, 4, variant % 2 ? 4 : 0);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_MACHINE_HANG, .start_s = start_s + 2,
		           .duration_s = sim_random_between(3, sim.lease_s + 2), .magnitude = 0.5);
}

/*
 * Start commands are held up for longer than a cancelled job's tasks may run, while leaders fail or
 * the key-value store is out for as long.
 */
static void held_start_commands(int variant)
{
	double cancel_s = sim_random_between(45, 60);

	SIM_INJECT(FAULT_DELAYED_COMMANDS, .start_s = 10, .duration_s = cancel_s - 10,
	           .magnitude = 0.6, .delay_max_s = 2 * sim.cancel_s);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = cancel_s - 6, .duration_s = 1, .count = 20);
	inject_cancel_running(cancel_s, 10, 0);
	if (variant % 3 == 1)
		inject_leader_down(cancel_s + sim_random_between(0, 2), 5);
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = cancel_s + sim_random_between(0.2, 3),
		           .duration_s = sim.cancel_s * sim_random_between(1.1, 1.8));
	if (variant % 2)
		SIM_INJECT(FAULT_INBOUND_PARTITION, .start_s = cancel_s - 3, .duration_s = 20,
		           .magnitude = 0.3);
}

/*
 * The same for jobs that are cancelled as they start: then only the held-up command has the start,
 * and no heartbeat shows it. In some variants the key-value store is out before the leader can
 * raise the fencing token, which would rule the start out.
 */
static void held_starts_of_cancelled_jobs(int variant)
{
	double outage_s = sim_random_between(36, 44);

	for (int i = 0; i < 60; i++) {
		struct sim_job *job = sim_job_add_random(sim_random_between(30, 43));

		job->spec.kind = FL_ARRAY;
		job->spec.cpus = 1;
		job->spec.gpus = 0;
		sim_job_remove_constraints(job);
		job->cancel_s = job->submit_s + sim_random_between(0.1, 1.5);
		for (uint32_t k = 0; k < job->spec.task_count; k++)
			job->duration_s[k] = 300;
		sim_job_encode_request(job);
	}
	SIM_INJECT(FAULT_DELAYED_COMMANDS, .start_s = 28, .duration_s = 18, .magnitude = 0.9,
	           .delay_max_s = 2 * sim.cancel_s);
	if (variant % 3 == 0)
		inject_leader_down(outage_s, 5);
	else
		SIM_INJECT(FAULT_KV_UNAVAILABLE, .start_s = outage_s,
		           .duration_s = sim.cancel_s * sim_random_between(1.2, 2));
	if (variant % 3 == 2)
		SIM_INJECT(FAULT_NODE_DOWN, .start_s = outage_s + sim_random_between(1, 20),
		           .duration_s = 6, .target = TARGET_ANY_NODE);
}

/* Rentals and deletions are carried out late, and machines are cut off for less than a second. */
static void delayed_cloud_requests(int variant)
{
	SIM_INJECT(FAULT_DELAYED_CLOUD_REQUESTS, .start_s = 3, .duration_s = 100,
	           .magnitude = variant % 2 ? 0.6 : 0.3);
	SIM_INJECT(FAULT_IRREGULAR_BOOTS, .start_s = 3, .duration_s = 100, .magnitude = 0.5);
	SIM_INJECT(FAULT_SUBMISSION_BURST, .start_s = 25, .duration_s = 1, .count = 15);
	for (int i = 0; i < 6; i++) {
		double start_s = sim_random_between(30, 100);

		SIM_INJECT(i % 2 ? FAULT_MACHINE_HANG : FAULT_OUTBOUND_PARTITION,
		           .start_s = start_s, .duration_s = sim_random_between(0.1, 1),
		           .magnitude = 0.6);
	}
	inject_leader_down_within(35, 20, sim_random_between(0.2, 6));
	if (variant % 3 == 1)
		SIM_INJECT(FAULT_MACHINE_TERMINATION, .start_s = 60, .duration_s = 1,
		           .magnitude = 0.4);
	if (variant % 3 == 2)
		inject_leader_down_within(70, 15, sim_random_between(0.2, 6));
}

/* Short tasks, some of which must be moved for more important ones that come later. */
static void make_short_jobs(void)
{
	for (int i = 0; i < 24; i++) {
		struct sim_job *job = sim_job_add_random(sim_random_between(5, 60));

		job->spec.kind = FL_ARRAY;
		job->spec.priority = i % 3 ? FL_BEST_EFFORT : FL_CRITICAL;
		sim_job_remove_constraints(job);
		for (uint32_t k = 0; k < job->spec.task_count; k++)
			job->duration_s[k] = i % 2 ? sim_random_between(1, 5) : 40;
		sim_job_encode_request(job);
	}
}

/*
 * Direct commands that were executed and answered reach the worker once more, when the task is
 * done, moved or cancelled and a controller or the machine was away for less than a second.
 */
static void repeated_commands(int variant)
{
	sim.cloud_capacity = 1;
	make_short_jobs();
	SIM_INJECT(FAULT_REPEATED_COMMANDS, .start_s = 3, .duration_s = 100, .magnitude = 0.7,
	           .delay_max_s = variant % 2 ? 1.5 * sim.cancel_s : 8);
	for (int i = 0; i < 8; i++)
		inject_cancel_running(20 + 6 * i, 2, 0);
	for (int i = 0; i < 6; i++) {
		double start_s = sim_random_between(15, 80), away_s = sim_random_between(0.1, 1);

		switch (variant % 4) {
		case 0:
			inject_leader_down(start_s, away_s);
			break;
		case 1:
			SIM_INJECT(FAULT_MACHINE_HANG, .start_s = start_s, .duration_s = away_s,
			           .magnitude = 0.6);
			break;
		case 2:
			SIM_INJECT(i % 2 ? FAULT_OUTBOUND_PARTITION : FAULT_INBOUND_PARTITION,
			           .start_s = start_s, .duration_s = away_s, .magnitude = 0.6);
			break;
		default:
			SIM_INJECT(FAULT_NODE_DOWN, .start_s = start_s, .duration_s = away_s,
			           .target = TARGET_ALL_NODES);
			break;
		}
	}
}

static const struct combination combinations[] = {
	/* Guards against forgetting an attempt while a copy of its start may still arrive. */
	{.name = "repeated_commands",
         .seed_name = "repeated_commands",
         .inject_faults = repeated_commands,
         .first_variant = 0,
         .variant_count = 4,
         .protects = "reconciliation_reported.c: forget_is_safe"},
	{.name = "held_start_commands",
         .seed_name = "held_start_commands",
         .inject_faults = held_start_commands,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "reconciliation_unreported.c: absence_is_conclusive"},
	{.name = "held_starts_of_cancelled_jobs",
         .seed_name = "held_starts_of_cancelled_jobs",
         .inject_faults = held_starts_of_cancelled_jobs,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "cancellation.c: rule_out_late_starts"},
	{.name = "delayed_cloud_requests",
         .seed_name = "delayed_cloud_requests",
         .inject_faults = delayed_cloud_requests,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "scale_out.c, scale_in.c, machine_list.c: machines that are not expected"},
	{.name = "stale_heartbeats",
         .seed_name = "old_report",
         .inject_faults = stale_heartbeats,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "reconciliation_contact.c: fl_reconcile_heartbeat_is_newer, "
                     "fl_reconcile_predates_leadership"},
	{.name = "one_way_partition",
         .seed_name = "mute",
         .inject_faults = one_way_partition,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "failure_detector.c, command.c: direct starts; reconciliation_unreported.c: "
                     "absence_is_conclusive"},
	{.name = "zone_partition",
         .seed_name = "zone_cut",
         .inject_faults = zone_partition,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "lease_renewal.c, heartbeat_digest.c; failure_detector.c"},
	{.name = "heartbeats_delayed_past_failover",
         .seed_name = "held_report",
         .inject_faults = heartbeats_delayed_past_failover,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "reconciliation_contact.c: fl_reconcile_predates_leadership, "
                     "fl_reconcile_heartbeat_is_newer"},
	{.name = "zonal_machine_loss",
         .seed_name = "zone_loses",
         .inject_faults = zonal_machine_loss,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "schedule.c, autoscaler.c: zones; reconciliation.c: decommissioned machines"},
	{.name = "hung_machines_and_lost_replies",
         .seed_name = "held_command",
         .inject_faults = hung_machines_and_lost_replies,
         .first_variant = 0,
         .variant_count = 3,
         .protects = "reconciliation_unreported.c: absence_is_conclusive; "
                     "reconciliation_reported.c: forget_is_safe"},
	{.name = "stale_leader_command",
         .seed_name = "old_command",
         .inject_faults = stale_leader_command,
         .first_variant = 0,
         .variant_count = 2,
         .protects =
                 "election.c: fencing tokens; reconciliation_unreported.c: absence_is_conclusive"},
	{.name = "delayed_command",
         .seed_name = "late_command",
         .inject_faults = delayed_command,
         .first_variant = 1,
         .variant_count = 2,
         .protects = "reconciliation_unreported.c: absence_is_conclusive; "
                     "reconciliation_reported.c: forget_is_safe, the fencing token of direct "
                     "starts"},
	{.name = "irregular_boots",
         .seed_name = "quick_machines",
         .inject_faults = irregular_boots,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "tasks.c: fl_task_change_is_durable, before a start"},
	{.name = "irregular_boots",
         .seed_name = "quick_machines",
         .inject_faults = irregular_boots,
         .first_variant = 141,
         .variant_count = 1,
         .protects = "tasks.c: fl_task_change_is_durable, before a start"},
	{.name = "heartbeats_held_for_next_leader",
         .seed_name = "report_for_next",
         .inject_faults = heartbeats_held_for_next_leader,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "reconciliation_contact.c: fl_reconcile_predates_leadership"},
	{.name = "heartbeats_held_for_next_leader",
         .seed_name = "report_for_next",
         .inject_faults = heartbeats_held_for_next_leader,
         .first_variant = 164,
         .variant_count = 1,
         .protects = "reconciliation_contact.c: fl_reconcile_predates_leadership"},
	{.name = "heartbeats_held_for_next_leader",
         .seed_name = "report_for_next",
         .inject_faults = heartbeats_held_for_next_leader,
         .first_variant = 241,
         .variant_count = 1,
         .protects = "schedule_preemption.c: preemption classes"},
	{.name = "shared_image_bandwidth",
         .seed_name = "shared_fetches",
         .inject_faults = shared_image_bandwidth,
         .first_variant = 0,
         .variant_count = 1,
         .protects = "schedule.c, reconciliation.c: tasks that fetch their image occupy capacity"},
};

const struct combination_group workers_combinations = {
	combinations, sizeof(combinations) / sizeof(combinations[0])};
