/* The failure detector: after what silence a machine is declared lost, alone or with others. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "coordination/workers/failure_detector.h"
#include "node_fixture.h"
#include "transport/clock.h"

static void set_silence(struct fixture *fixture, double seconds)
{
	struct fl_machine *machine = only_machine(fixture);

	machine->heartbeat.last_at = machine->outbound.last_reachable_at =
		machine->lifecycle.first_seen_at = fl_now() - seconds;
	fixture->node.leadership.heartbeats_since = fl_now() - 1000;
}

static bool is_expired(struct fixture *fixture)
{
	double leases[FL_ZONES_MAX];

	fl_failure_detector_timeouts(&fixture->node, fl_now(), leases);
	return fl_failure_detector_expired(&fixture->node, only_machine(fixture), fl_now(), leases);
}

/* Alone it expires after a lease; with its zone's controllers, when these must stop renewing. */
static void machines_of_a_silent_zone_expire_later(void **state)
{
	struct fixture *fixture = *state;
	struct fl_peer *peer = &fixture->node.peers[0];
	double renewable_s = fixture->config.cancel_s - fixture->config.lease_s - 1;

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	place_task(fixture, 0);
	fixture->node.peer_count = 1;
	strcpy(peer->location, "a");
	peer->up = true;
	/* All controllers well for long: only the machine can be faulty, and a shorter silence is
	 * enough. */
	peer->up_since = fl_now() - 100;
	set_silence(fixture, 7);
	assert_false(is_expired(fixture));
	set_silence(fixture, 8);
	assert_true(is_expired(fixture));
	/* One came up lately: workers may still be looking for a node. */
	peer->up_since = fl_now() - 5;
	set_silence(fixture, 9);
	assert_false(is_expired(fixture));
	set_silence(fixture, 11);
	assert_true(is_expired(fixture));
	/* The controller of its zone fell silent at the same time. */
	peer->up = false;
	peer->last_exchange_at = fl_now() - 12;
	assert_false(is_expired(fixture));
	set_silence(fixture, fixture->config.lease_s + renewable_s + 1);
	peer->last_exchange_at = only_machine(fixture)->heartbeat.last_at;
	assert_true(is_expired(fixture));
	/* Of another zone, or silent long before: it delays nothing here. */
	set_silence(fixture, 11);
	peer->last_exchange_at = fl_now() - 30;
	assert_true(is_expired(fixture));
	peer->last_exchange_at = only_machine(fixture)->heartbeat.last_at;
	strcpy(peer->location, "b");
	assert_true(is_expired(fixture));
}

static struct fl_machine *add_machine(struct fixture *fixture, int i, bool spot, int zone)
{
	char name[FL_NAME_MAX];
	struct fl_machine *machine;

	snprintf(name, sizeof(name), "m-%06d", i);
	machine = fl_machine_get(&fixture->node.cluster.machines, name, fl_now() - 100);
	fl_cluster_describe(machine, 0, zone, spot, "x");
	machine->lifecycle.up = true;
	machine->heartbeat.last_at = fl_now();
	return machine;
}

/*
 * Found on a standard day: a zone apart, whose controller had just ended, expired a few machines
 * at a time, each time too few to look like a partition, until all of it was returned.
 */
static void a_zone_is_not_expired_a_few_machines_at_a_time(void **state)
{
	struct fixture *fixture = *state;

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	place_task(fixture, 0);
	for (int i = 2; i < 22; i++)
		add_machine(fixture, i, false, 1);
	/* This one is due; three more of the four of its zone are silent too. */
	for (int i = 30; i < 33; i++)
		add_machine(fixture, i, false, 0)->heartbeat.last_at = fl_now() - 7;
	set_silence(fixture, 11);
	assert_false(is_expired(fixture));
	set_silence(fixture, 31);
	assert_true(is_expired(fixture));
	/* Many reclaimed spot machines are no sign of a partition. */
	set_silence(fixture, 11);
	for (int i = 30; i < 33; i++)
		fl_machine_find(&fixture->node.cluster.machines, i == 30   ? "m-000030"
		                                                 : i == 31 ? "m-000031"
		                                                           : "m-000032")
			->spot = true;
	assert_true(is_expired(fixture));
}

/*
 * Found at a thousand machines: dozens that failed at once were waited for as in a partition of two
 * links, since more than two were silent. How many are many depends on the number of machines.
 */
static void a_few_of_many_machines_expire_early(void **state)
{
	struct fixture *fixture = *state;

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	place_task(fixture, 0);
	for (int i = 2; i < 42; i++)
		add_machine(fixture, i, false, i % 2)->heartbeat.last_at =
			fl_now() - (i < 7 ? 7 : 0);
	set_silence(fixture, 8);
	assert_true(is_expired(fixture));
	for (int i = 43; i < 46; i++)
		add_machine(fixture, i, false, i % 2)->heartbeat.last_at = fl_now() - 7;
	assert_false(is_expired(fixture));
	set_silence(fixture, 11);
	assert_true(is_expired(fixture));
}

/* An unreachable machine expires like a silent one; many at once point at this node. */
static void unreachability_counts_as_silence_unless_many_at_once(void **state)
{
	struct fixture *fixture = *state;

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	place_task(fixture, 0);
	for (uint64_t sequence = 2; sequence < 5; sequence++) {
		answered_ago(fixture, 12);
		deliver_report(fixture, make_report(1, sequence, EPOCH, NULL, 0),
		               FL_HEARTBEAT_FROM_WORKER);
	}
	assert_true(is_expired(fixture));
	for (int i = 2; i < 6; i++) {
		struct fl_machine *machine = add_machine(fixture, i, false, 0);

		machine->outbound.unacknowledged_replies = 3;
		machine->outbound.unacknowledged_since = fl_now() - 12;
	}
	assert_false(is_expired(fixture));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(machines_of_a_silent_zone_expire_later),
		NODE_TEST(a_zone_is_not_expired_a_few_machines_at_a_time),
		NODE_TEST(a_few_of_many_machines_expire_early),
		NODE_TEST(unreachability_counts_as_silence_unless_many_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
