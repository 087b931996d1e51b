/*
 * Combinations of faults, one function each: who is cut off, hung, killed or refused, and when. The
 * variant of a play chooses among its forms.
 */
#include "fault_combinations.h"

#include "sim.h"

void play_cancel(double at, int count, double hang_s)
{
	sim_fault(FAULT_CANCEL_RUNNING, at, 0, 0, 0, count)->hang_s = hang_s;
}

void play_leader_down(double at, double for_s)
{
	sim_fault(FAULT_NODE_DOWN, at, for_s, TARGET_LEADER, 0, 0);
}

/* What keeps the leader's stops from the machines at that moment. */
static void stops_fail(double at, double for_s)
{
	switch (sim_pick(3)) {
	case 0:
		sim_fault(FAULT_PARTITION_FROM_WORKERS, at, for_s, TARGET_LEADER, 0, 0);
		break;
	case 1:
		play_leader_down(at + 0.01, for_s);
		break;
	default:
		sim_fault(FAULT_INBOUND_PARTITION, at, 5, 0, 0.7, 0);
		break;
	}
}

/*
 * The state service refuses the leader alone; another leads and confirms cancellations; then it is
 * out for all, for longer than cancel_s, while machines still report to the old leader.
 */
static void gap(int variant)
{
	double t = sim_between(48, 60), led = t + sim_between(3.5, 5);
	double out = led + sim_between(0.2, 6);
	double over = out + sim.cancel_s + sim_between(5, 15);

	sim_fault(FAULT_KV_REFUSES_NODE, t, over - t, TARGET_LEADER, 0, 0);
	play_cancel(led, 3 + sim_pick(4), sim_chance(0.5) ? sim_between(2, 9) : 0);
	play_cancel(sim_between(led, out), 2, 0);
	sim_fault(FAULT_KV_UNAVAILABLE, out, over - out, 0, 0, 0);
	if (variant % 2)
		sim_fault(FAULT_PARTITION_FROM_WORKERS, led - 0.1, over - led, TARGET_LEADER, 0, 0);
	switch (variant / 2 % 6) {
	case 1:
		sim_fault(FAULT_DELAYED_WRITES, t, over - t, 0, 0.3, 0);
		break;
	case 2:
		sim_fault(FAULT_KV_SLOW, t, over - t, 0, 0.8, 0);
		break;
	case 3:
		sim_fault(sim_chance(0.5) ? FAULT_MACHINE_HANG : FAULT_OUTBOUND_PARTITION, led, 15,
		          0, 0.4, 0);
		break;
	case 4:
		play_leader_down(led + 0.1, over - led);
		break;
	case 5:
		sim_fault(FAULT_PARTITION_FROM_PEERS, t, over - t, TARGET_LEADER, 0, 0);
		break;
	}
}

/* Jobs of two or three tasks end far apart across a change of leader. */
static void ends_apart(int variant)
{
	for (int i = 0; i < sim.job_count; i++) {
		struct sim_job *job = &sim.jobs[i];

		job->cancel = job->spec.kind == FL_SERVICE ? job->cancel : -1;
		for (uint32_t k = 0; k < job->spec.task_count; k++)
			job->duration_s[k] = k == 0 ? sim_between(3, 15) : sim_between(40, 110);
	}
	for (int i = 0; i < 2 + variant % 2; i++)
		play_leader_down(45 + 25 * i + sim_between(0, 10), sim_between(4, 20));
}

/* An old report comes after newer ones, also from an earlier session or attempt. */
static void old_report(int variant)
{
	/* Tasks that are long in saving: a report from before their launch may come meanwhile. */
	for (int i = 0; i < sim.job_count; i++) {
		struct fl_job_spec *spec = &sim.jobs[i].spec;

		if (spec->kind != FL_ARRAY)
			continue;
		spec->checkpoint_every_s = 2;
		spec->checkpoint_cost_s = sim_between(3, 8);
		sim_job_rewritten(&sim.jobs[i]);
	}
	sim_fault(FAULT_DELAYED_HEARTBEATS, 5, 90, 0, 0.9, 0);
	sim_fault(FAULT_SUBMISSION_BURST, 25, 1, 0, 0, 10);
	play_leader_down(sim_between(45, 55), sim_between(1, 20));
	sim_fault(FAULT_OUTBOUND_PARTITION, sim_between(50, 65), sim.lease_s + 4, 0, 0.4, 0);
	if (variant % 2)
		play_leader_down(sim_between(70, 85), 10);
}

/* Machines that reach no controller, while direct commands reach them. */
static void mute(int variant)
{
	double t = sim_between(35, 55);

	sim_fault(FAULT_OUTBOUND_PARTITION, t, sim_between(5, 40), 0, variant % 2 ? 1 : 0.5, 0);
	sim_fault(FAULT_SUBMISSION_BURST, t + 2, 1, 0, 0, 8);
	play_cancel(t + sim_between(1, 6), 4, 0);
	if (variant % 3 == 2)
		play_leader_down(t + 3, 15);
}

/* A zone with machines and a controller is cut off for longer than a lease. */
static void zone_cut(int variant)
{
	double t = sim_between(40, 55), s = sim.lease_s * sim_between(1.2, 6);

	sim_fault(FAULT_ZONE_PARTITION, t, s, variant % 2 ? TARGET_LEADER : TARGET_ANY_ZONE, 0, 0);
	play_cancel(t + sim_between(-1, 8), 4, 0);
	play_cancel(t + s * 0.8, 2, 0);
	if (variant % 3 == 2)
		play_leader_down(t + 6, 10);
}

/* A transaction without an answer is carried out late, after newer ones of the same node. */
static void late_write(int variant)
{
	double t = sim_between(10, 30);

	sim_fault(FAULT_DELAYED_WRITES, t, 70, 0, variant % 2 ? 0.15 : 0.35, 0);
	play_cancel(t + sim_between(25, 40), 4, 0);
	if (variant % 3 == 1)
		play_leader_down(t + sim_between(20, 40), 8);
	if (variant % 3 == 2)
		sim_fault(FAULT_KV_REFUSES_NODE, t + 30, 12, TARGET_LEADER, 0, 0);
}

/* All controllers are away for longer than a lease. */
static void all_away(int variant)
{
	double t = sim_between(40, 55);

	sim_fault(FAULT_NODE_DOWN, t, sim.lease_s * sim_between(1.1, 2.5), TARGET_ALL_NODES, 0, 0);
	play_cancel(t - sim_between(0.02, 1), 4, variant % 2 ? sim.lease_s * 0.8 : 0);
	if (variant % 3 == 2)
		sim_fault(FAULT_CLOUD_UNAVAILABLE, t - 5, 50, 0, 0, 0);
	if (variant % 2)
		sim_fault(FAULT_DELAYED_HEARTBEATS, t - 20, 40, 0, 0.4, 0);
}

/* A team at its limit, a new leader, machines that cannot be asked, a cancellation meanwhile. */
static void at_limit(int variant)
{
	double t = sim_between(45, 55);

	sim_fault(FAULT_SUBMISSION_BURST, 20, 1, 0, 0, 24);
	/* Copies from before the cancelled tasks began, which must free no room. */
	sim_fault(FAULT_DELAYED_HEARTBEATS, 15, 80, 0, 0.9, 0);
	play_leader_down(t, sim_between(5, 30));
	sim_fault(variant % 2 ? FAULT_INBOUND_PARTITION : FAULT_OUTBOUND_PARTITION, t - 1,
	          sim.lease_s + sim_between(-4, 20), 0, 0.5, 0);
	sim_fault(FAULT_MACHINE_HANG, t - 2, sim_between(4, 25), 0, 0.3, 0);
	play_cancel(t + sim_between(1, 8), 6, 0);
}

/* A report is held back until a new leader has acted, and comes there. */
static void held_report(int variant)
{
	double t = sim_between(40, 55);

	sim_fault(FAULT_PACKETS_HELD, t, sim_between(5, 30),
	          variant % 2 ? TARGET_ALL_NODES : TARGET_ANY_NODE, 0, 0);
	if (variant % 3 == 2)
		sim_fault(FAULT_PARTITION_FROM_KV, t + 1, 20, TARGET_LEADER, 0, 0);
	else
		play_leader_down(t + 1, 15);
	play_cancel(t + sim_between(2, 8), 4, 0);
}

/* Jobs bound to one zone, arrays too, lose machines. */
static void zone_loses(int variant)
{
	double t = sim_between(40, 55);

	for (int i = 0; i < sim.job_count; i++) {
		struct fl_job_spec *spec = &sim.jobs[i].spec;

		if (i % 2 || spec->spread_zones)
			continue;
		spec->has_zone = true;
		sim_copy(spec->zone, sizeof(spec->zone), sim.config[0].zones[i % sim.zone_count]);
		sim_job_rewritten(&sim.jobs[i]);
	}
	sim_fault(FAULT_MACHINES_DIE, t, 1, 0, 0.5, 0);
	if (variant % 2)
		play_leader_down(t + 0.5, 10);
	if (variant % 3 == 2)
		sim_fault(FAULT_CLOUD_UNAVAILABLE, t, 15, 0, 0, 0);
}

/* Controllers hand over and back, all end, and one returns, also within a second. */
static void hand_over(int variant)
{
	double t = 40;

	for (int i = 0; i < 5; i++) {
		play_leader_down(t, sim_between(0.1, variant % 2 ? 1 : 6));
		t += sim_between(2, 9);
	}
	sim_fault(FAULT_NODE_DOWN, t, sim_between(0.3, 3), TARGET_ALL_NODES, 0, 0);
	play_cancel(t - 0.1, 4, 0);
	play_leader_down(t + 9, 0.4);
}

/* More work than room, urgent and not, over slow links. */
static void overload(int variant)
{
	sim_fault(FAULT_SUBMISSION_BURST, 20, 1, 0, 0, 40);
	sim_fault(FAULT_SLOW_LINKS, 15, 70, 0, variant % 2 ? 0.4 : 0.9, 0);
	play_cancel(sim_between(40, 60), 8, 0);
	if (variant % 3 == 2)
		play_leader_down(50, 10);
}

/* Small jobs keep coming for minutes: the largest begin all the same, and every team is served. */
static void stream(int variant)
{
	for (int i = 0; i < 25; i++)
		sim_fault(FAULT_SUBMISSION_BURST, 10 + 8 * i, 1, 0, 0, 2);
	sim_fault(FAULT_MACHINES_DIE, sim_between(60, 90), 1, 0, 0.4, 0);
	if (variant % 2)
		play_leader_down(sim_between(50, 100), sim_between(5, 20));
}

/* A command or its answer is held up for seconds, and the machine then goes on. */
static void held_command(int variant)
{
	double t = 20;

	while (t < 70) {
		sim_fault(FAULT_MACHINE_HANG, t, sim_between(2, sim.lease_s + 2), 0, 0.5, 0);
		t += sim_between(8, 14);
	}
	sim_fault(FAULT_LOST_REPLIES, 20, 55, 0, variant % 2 ? 0.4 : 0.15, 0);
	sim_fault(FAULT_SUBMISSION_BURST, 30, 1, 0, 0, 10);
	sim_fault(FAULT_SLOW_LINKS, 25, 45, 0, 0.8, 0);
	for (int i = 0; i < 11; i++)
		play_cancel(28 + 3 * i, 1, 0);
	play_cancel(sim_between(40, 55), 4, sim_between(3, 9));
	if (variant % 3 == 2)
		play_leader_down(50, 10);
}

/* Leaders change ten times in two minutes, also inside an outage. */
static void ten_leaders(int variant)
{
	for (int i = 0; i < 10; i++)
		play_leader_down(30 + 12 * i + sim_between(0, 5), sim_between(0.5, 8));
	if (variant % 2)
		sim_fault(FAULT_KV_UNAVAILABLE, sim_between(50, 80), sim_between(8, 40), 0, 0, 0);
	play_cancel(sim_between(50, 100), 4, variant % 3 ? 6 : 0);
	sim_fault(FAULT_SUBMISSION_BURST, 60, 1, 0, 0, 10);
}

/* A cancellation, a question, a repeated submission at the end of a job's last task. */
static void cancel_at_end(int variant)
{
	/* By itself, and where what was written may be late, or heard of late. */
	if (variant % 3 == 1)
		sim_fault(FAULT_DELAYED_WRITES, 20, 90, 0, 0.4, 0);
	if (variant % 3 == 2)
		sim_fault(FAULT_KV_SLOW, 20, 90, 0, 1.4, 0);
	sim_fault(FAULT_CANCEL_AT_COMPLETION, 10, 100, 0, 0.6, 0);
	sim_fault(FAULT_INVALID_REQUESTS, 20, 80, 0, 0, 0);
}

/* A leader ends while machines with long tasks cannot be reached, or do not hear the new one. */
static void leader_ends_unheard(int variant)
{
	static const enum sim_fault_kind types[] = {FAULT_INBOUND_PARTITION,
	                                            FAULT_OUTBOUND_PARTITION, FAULT_MACHINE_HANG};
	double t = sim_between(45, 55);

	for (int i = 0; i < sim.job_count; i++)
		for (uint32_t k = 0; k < SIM_JOB_TASKS; k++)
			sim.jobs[i].duration_s[k] *= 2;
	sim_fault(types[variant % 3], t - sim_between(0, 4), sim_between(6, 40), 0, 0.6, 0);
	play_leader_down(t, sim_between(2, 30));
	if (variant % 2)
		play_cancel(t + sim_between(-1, 6), 5, 0);
}

/* Cancelled at the very moment of the refusal, and out a second later. */
static void refused_and_out(int variant)
{
	double t = sim_between(45, 60), s = sim.cancel_s + sim_between(3, 15);

	sim_fault(FAULT_KV_REFUSES_NODE, t, s, TARGET_LEADER, 0, 0);
	play_cancel(t - 0.05 + 0.05 * (variant % 3), 5, variant % 2 ? sim_between(3, 9) : 0);
	sim_fault(FAULT_KV_UNAVAILABLE, t + 1, s - 1, 0, 0, 0);
	if (variant % 2)
		stops_fail(t, s);
}

/* A leader cut from state service and controllers, not from machines and users. */
static void leader_cut(int variant)
{
	double t = sim_between(45, 55), s = sim_between(15, 80);

	sim_fault(FAULT_PARTITION_FROM_KV, t, s, TARGET_LEADER, 0, 0);
	sim_fault(FAULT_PARTITION_FROM_PEERS, t, s, TARGET_LEADER, 0, 0);
	play_cancel(t + sim_between(3, 7), 5, variant % 2 ? sim_between(3, 9) : 0);
	play_cancel(t + 12, 2, 0);
	if (variant % 3 == 2)
		sim_fault(FAULT_PARTITION_FROM_WORKERS, t + 5, s - 5, TARGET_LEADER, 0, 0);
}

/* Slow, or refusing the leader and then everybody, while users cancel and ask. */
static void slow_then_out(int variant)
{
	double t = sim_between(40, 50), s = sim.cancel_s + sim_between(3, 20);

	if (variant % 2)
		sim_fault(FAULT_KV_REFUSES_NODE, t, 15, TARGET_LEADER, 0, 0);
	else
		sim_fault(FAULT_KV_SLOW, t, 15, 0, sim_between(0.5, 1.6), 0);
	sim_fault(FAULT_KV_UNAVAILABLE, t + 15, s, 0, 0, 0);
	sim_fault(FAULT_INVALID_REQUESTS, t, 15 + s, 0, 0, 0);
	play_cancel(t + sim_between(4, 14), 4, sim_chance(0.5) ? 8 : 0);
	play_cancel(t + 14.9, 3, 0);
	if (variant % 3 == 2)
		stops_fail(t + 14.8, s);
}

/* Pairs and triples of troubles as they come. */
static void chance_meeting(int variant)
{
	double t = sim_between(30, 50);

	for (int i = 0; i < 2 + variant % 2; i++) {
		enum sim_fault_kind kind = (enum sim_fault_kind)sim_pick(SIM_FIRST_NEW_KIND);
		bool rate = kind == FAULT_KV_SLOW || kind == FAULT_SLOW_LINKS;

		sim_fault(kind, t + sim_between(0, 10), sim_between(3, 55),
		          kind == FAULT_ZONE_PARTITION ? TARGET_ANY_ZONE : TARGET_LEADER,
		          rate ? 1 : sim_between(0.2, 0.8), kind >= FAULT_CANCEL_RUNNING ? 6 : 0);
	}
	play_cancel(t + sim_between(0, 15), 4, 0);
}

const struct combination combinations[] = {
	{"gap", "gossip.c: learn; follower.c: knows_jobs, stop_cancelled, holds_overdue", 12, gap,
         0},
	{"ends_apart", "failover.c: load_chunk, load_rest_of_log", 3, ends_apart, 0},
	{"old_report", "reconciliation.c: newer, predates_leadership", 3, old_report, 0},
	{"mute", "failure_detector.c, command.c: direct launches; reconciliation.c: absence_proves",
         3, mute, 0},
	{"zone_cut", "follower.c, heartbeat_digest.c; failure_detector.c", 3, zone_cut, 0},
	{"late_write", "record_writer.c: rev_unknown, conditions on the leader's key", 3,
         late_write, 0},
	{"all_away", "failover.c; election.c; node.c: read_kinds", 3, all_away, 0},
	{"at_limit", "tasks.c: what may be on a machine counts; reconciliation.c", 3, at_limit, 0},
	{"at_limit", "reconciliation.c: predates_leadership", 3, at_limit, 25},
	{"held_report", "reconciliation.c: predates_leadership, newer", 3, held_report, 0},
	{"zone_loses", "schedule.c, autoscaler.c: places; reconciliation.c: gone", 3, zone_loses,
         0},
	{"hand_over", "election.c: epochs; failover.c", 3, hand_over, 0},
	{"overload", "schedule.c: limits, reservations; record_writer.c: the log", 3, overload, 0},
	{"stream", "schedule_order.c: rank, growing weight of the wait", 2, stream, 0},
	{"held_command", "reconciliation.c: absence_proves, may_forget", 3, held_command, 0},
	{"ten_leaders", "election.c: epochs; failover.c; record_writer.c", 3, ten_leaders, 0},
	{"cancel_at_end", "job_responses.c: finishing, unsure; record_writer.c: finalise", 4,
         cancel_at_end, 0},
	{"leader_ends_unheard", "reconciliation.c: predates_leadership; reachability.c", 3,
         leader_ends_unheard, 0},
	{"refused_and_out", "gossip.c: learn; follower.c: knows_jobs", 4, refused_and_out, 0},
	{"leader_cut", "gossip.c: learn; follower.c: knows_jobs; election.c", 3, leader_cut, 0},
	{"slow_then_out", "follower.c: knows_jobs; job_responses.c", 4, slow_then_out, 0},
	{"chance", "all of them", 14, chance_meeting, 0},
};

const int n_combinations = sizeof(combinations) / sizeof(combinations[0]);
