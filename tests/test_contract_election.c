/*
 * The golden test of the election's records: a node finds a literal leader and fencing token under
 * literal keys, and what it writes there is compared byte for byte.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "contract_records_fixture.h"
#include "contract_store_fixture.h"
#include "coordination/election/election.h"
#include "sim.h"
#include "transport/clock.h"

static void start_election(struct fl_node *node)
{
	static const struct fl_election_callbacks callbacks = {fl_leadership_begin,
	                                                       fl_leadership_end};

	fl_election_start(node, &callbacks);
}

static void acquire_lease_and_raise_token(struct fl_node *node)
{
	start_election(node);
	fl_sleep(8);
	node->leader_lease.token_raise_wanted = true;
	fl_sleep(2);
}

static void a_leader_writes_its_name_process_and_fencing_token(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/epoch", FENCING_TOKEN, 31, 0);
	run_as_node(acquire_lease_and_raise_token, 12);

	assert_true(node->leader_lease.held);
	assert_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":0},"
	               "{\"Key\":\"c/epoch\",\"KeyRev\":31}],\"Apply\":[{\"Put\":\"c/"
	               "lead\",\"V\":" OWN_LEADER
	               ",\"Grant\":7},{\"Put\":\"c/epoch\",\"V\":" NEXT_FENCING_TOKEN "}]}");
	assert_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":92},"
	               "{\"Key\":\"c/epoch\",\"KeyRev\":92}],"
	               "\"Apply\":[{\"Put\":\"c/epoch\",\"V\":" RAISED_FENCING_TOKEN "}]}");
	assert_int_equal(node->leader_view.fencing_token, 43);
	assert_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":92}],"
	               "\"Apply\":[{\"Put\":\"m/kinds\",\"V\":" MACHINE_TYPES "}]}");
}

static void refresh_leader_view(struct fl_node *node)
{
	world.result = fl_leader_view_refresh(node);
}

static void a_node_recognises_the_stored_leader_and_fencing_token(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", LEADER, 32, 5);
	store_record("c/epoch", FENCING_TOKEN, 31, 0);
	run_as_node(refresh_leader_view, 1);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);

	run_as_node(start_election, 10);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);
	assert_false(node->leader_lease.held);
	assert_int_equal(world.lease_grants, 0);
	assert_int_equal(world.written_count, 0);
}

/* Once it has started, lists are refused: only the watch can tell it. */
static void a_node_recognises_a_leader_and_fencing_token_that_change(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", "{\"node\":\"host-9\",\"boot\":\"9\"}", 32, 5);
	run_as_node(start_election, 2.5);
	assert_string_equal(node->leader_view.leader, "host-9");
	assert_int_equal(node->leader_view.fencing_token, 0);

	world.lists_refused = true;
	world.event = "{\"KeyRev\":93,\"Put\":\"c/lead\",\"V\":" LEADER "},"
		      "{\"KeyRev\":93,\"Put\":\"c/epoch\",\"V\":" FENCING_TOKEN "}";
	sim_time_run(fl_now() + 3);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);
}

static void a_node_revokes_the_lease_of_its_earlier_process(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", LEADER_BEFORE, 32, 5);
	store_record("c/epoch", FENCING_TOKEN, 31, 0);
	run_as_node(start_election, 3);
	assert_int_equal(world.revoked_lease, 5);
	assert_true(node->leader_lease.held);
	assert_int_equal(node->leader_view.fencing_token, 42);
}

static void a_node_does_not_revoke_the_lease_of_its_own_process(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", OWN_LEADER, 32, 5);
	run_as_node(start_election, 3);
	assert_int_equal(world.revoked_lease, 0);
	assert_int_equal(world.lease_grants, 0);
	assert_false(node->leader_lease.held);
}

static void a_leader_reads_digests_and_finished_jobs(void **state)
{
	const struct fl_node *node = *state;
	const struct fl_machine *machine;

	/* The fencing token of the first heartbeat is next. */
	store_record("c/epoch", "{\"epoch\":102}", 31, 0);
	store_record("f/run-000414", FINAL_DONE, 40, 0);
	store_record("k/host-2/0", DIGEST, 41, 0);
	run_as_node(start_election, 4);
	assert_true(node->leadership.active);

	machine = fl_machine_find(&node->cluster.machines, "m-000012");
	assert_non_null(machine);
	assert_int_equal(machine->heartbeat.incarnation, 101);
	assert_int_equal(machine->heartbeat.sequence, 102);
	assert_non_null(fl_finished_job_find(&node->cluster, "run-000414"));
	assert_int_equal(fl_finished_job_find(&node->cluster, "run-000414")->task_count, 71);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(a_leader_writes_its_name_process_and_fencing_token,
	                                        begin_node, end_node),
		cmocka_unit_test_setup_teardown(
			a_node_recognises_the_stored_leader_and_fencing_token, begin_node,
			end_node),
		cmocka_unit_test_setup_teardown(
			a_node_recognises_a_leader_and_fencing_token_that_change, begin_node,
			end_node),
		cmocka_unit_test_setup_teardown(a_node_revokes_the_lease_of_its_earlier_process,
	                                        begin_node, end_node),
		cmocka_unit_test_setup_teardown(a_node_does_not_revoke_the_lease_of_its_own_process,
	                                        begin_node, end_node),
		cmocka_unit_test_setup_teardown(a_leader_reads_digests_and_finished_jobs,
	                                        begin_node, end_node),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
