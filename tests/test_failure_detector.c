/* The failure detector: the silence after which a machine is lost, alone or with others. */
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

static void set_machine_silence(struct node_fixture *fixture, double seconds)
{
	struct fl_machine *machine = only_machine(fixture);

	machine->heartbeat.last_received_at = machine->outbound.last_reachable_at =
		machine->lifecycle.first_seen_at = fl_now() - seconds;
	fixture->node.leadership.heartbeats_receivable_since = fl_now() - 1000;
}

static bool machine_is_lost(struct node_fixture *fixture)
{
	double timeouts[FL_ZONES_MAX];

	fl_failure_detector_zone_timeouts(&fixture->node, fl_now(), timeouts);
	return fl_failure_detector_machine_is_lost(&fixture->node, only_machine(fixture), fl_now(),
	                                           timeouts);
}

/* Adds a machine with a task, and the only peer, in the same zone; returns the peer. */
static struct fl_peer *add_machine_with_peer_in_zone(struct node_fixture *fixture)
{
	struct fl_peer *peer = &fixture->node.peers[0];

	deliver_idle_heartbeat(fixture, 1, 1);
	place_task(fixture, 0);
	fixture->node.peer_count = 1;
	strcpy(peer->location, "a");
	return peer;
}

/* If all controllers are stable, only the machine can be faulty, so a shorter timeout applies. */
static void a_machine_is_lost_early_when_all_controllers_are_stable(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_peer *peer = add_machine_with_peer_in_zone(fixture);

	peer->up = true;
	peer->up_since = fl_now() - 100;

	set_machine_silence(fixture, 7);
	assert_false(machine_is_lost(fixture));

	set_machine_silence(fixture, 8);
	assert_true(machine_is_lost(fixture));
}

/* Workers may still be searching for a controller, so the machine is lost after a lease. */
static void a_machine_is_lost_after_a_lease_when_a_controller_came_up_recently(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_peer *peer = add_machine_with_peer_in_zone(fixture);

	peer->up = true;
	peer->up_since = fl_now() - 5;

	set_machine_silence(fixture, 9);
	assert_false(machine_is_lost(fixture));

	set_machine_silence(fixture, 11);
	assert_true(machine_is_lost(fixture));
}

/*
 * If the controllers of its zone are silent too, they may still renew the machine's lease. The
 * machine is lost only when they must have stopped and the last lease has ended.
 */
static void a_machine_is_lost_late_when_the_controller_of_its_zone_is_silent_too(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_peer *peer = add_machine_with_peer_in_zone(fixture);
	double renewable_s = lease_renewal_window_s(fixture);

	set_machine_silence(fixture, 11);
	peer->last_response_at = fl_now() - 12;
	assert_false(machine_is_lost(fixture));
	set_machine_silence(fixture, fixture->config.lease_s + renewable_s + 1);
	peer->last_response_at = only_machine(fixture)->heartbeat.last_received_at;
	assert_true(machine_is_lost(fixture));
}

/* The controller fell silent long before the machine, or is in another zone. */
static void a_machine_is_lost_after_a_lease_when_the_silent_controller_is_unrelated(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_peer *peer = add_machine_with_peer_in_zone(fixture);

	set_machine_silence(fixture, 11);
	peer->last_response_at = fl_now() - 30;
	assert_true(machine_is_lost(fixture));
	peer->last_response_at = only_machine(fixture)->heartbeat.last_received_at;
	strcpy(peer->location, "b");
	assert_true(machine_is_lost(fixture));
}

static struct fl_machine *add_machine(struct node_fixture *fixture, int number, bool spot, int zone)
{
	char name[FL_NAME_MAX];
	struct fl_machine *machine;

	snprintf(name, sizeof(name), "m-%06d", number);
	machine = fl_machine_get_or_add(&fixture->node.cluster.machines, name, fl_now() - 100);
	fl_cluster_describe_machine(machine, 0, zone, spot, "x");
	machine->lifecycle.up = true;
	machine->heartbeat.last_received_at = fl_now();
	return machine;
}

/*
 * Guards against the loss of a partitioned zone: when its controller had just ended, its machines
 * were lost a few at a time, each time too few to indicate a partition, until all were returned.
 */
static void the_machines_of_a_zone_are_not_lost_a_few_at_a_time(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_machine *silent_machines[3];

	deliver_idle_heartbeat(fixture, 1, 1);
	place_task(fixture, 0);
	for (int i = 2; i < 22; i++)
		add_machine(fixture, i, false, 1);

	/* m-000001 is past its timeout; the other three machines of its zone are silent too. */
	for (int i = 0; i < 3; i++) {
		silent_machines[i] = add_machine(fixture, 30 + i, false, 0);
		silent_machines[i]->heartbeat.last_received_at = fl_now() - 7;
	}
	set_machine_silence(fixture, 11);
	assert_false(machine_is_lost(fixture));

	set_machine_silence(fixture, 31);
	assert_true(machine_is_lost(fixture));

	/* Many reclaimed spot machines do not indicate a partition. */
	set_machine_silence(fixture, 11);
	for (int i = 0; i < 3; i++)
		silent_machines[i]->spot = true;
	assert_true(machine_is_lost(fixture));
}

/*
 * Guards against late detection on a large site: of a thousand machines, dozens failed at once and
 * got the timeout of a network partition, because more than two were silent. The limit is therefore
 * a share of the machines.
 */
static void a_small_share_of_silent_machines_is_lost_early(void **state)
{
	struct node_fixture *fixture = *state;

	deliver_idle_heartbeat(fixture, 1, 1);
	place_task(fixture, 0);
	for (int i = 2; i < 42; i++)
		add_machine(fixture, i, false, i % 2)->heartbeat.last_received_at =
			fl_now() - (i < 7 ? 7 : 0);
	set_machine_silence(fixture, 8);
	assert_true(machine_is_lost(fixture));

	for (int i = 43; i < 46; i++)
		add_machine(fixture, i, false, i % 2)->heartbeat.last_received_at = fl_now() - 7;
	assert_false(machine_is_lost(fixture));

	set_machine_silence(fixture, 11);
	assert_true(machine_is_lost(fixture));
}

/* An unreachable machine is lost like a silent one; many at once indicate a fault of this node. */
static void an_unreachable_machine_is_lost_unless_many_are_unreachable_at_once(void **state)
{
	struct node_fixture *fixture = *state;

	deliver_idle_heartbeat(fixture, 1, 1);
	place_task(fixture, 0);
	deliver_idle_heartbeats(fixture, 2, 4, 12);
	assert_true(machine_is_lost(fixture));

	for (int i = 2; i < 6; i++) {
		struct fl_machine *machine = add_machine(fixture, i, false, 0);

		machine->outbound.unacknowledged_replies = 3;
		machine->outbound.unacknowledged_since = fl_now() - 12;
	}
	assert_false(machine_is_lost(fixture));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_machine_is_lost_early_when_all_controllers_are_stable),
		NODE_TEST(a_machine_is_lost_after_a_lease_when_a_controller_came_up_recently),
		NODE_TEST(a_machine_is_lost_late_when_the_controller_of_its_zone_is_silent_too),
		NODE_TEST(a_machine_is_lost_after_a_lease_when_the_silent_controller_is_unrelated),
		NODE_TEST(the_machines_of_a_zone_are_not_lost_a_few_at_a_time),
		NODE_TEST(a_small_share_of_silent_machines_is_lost_early),
		NODE_TEST(an_unreachable_machine_is_lost_unless_many_are_unreachable_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
