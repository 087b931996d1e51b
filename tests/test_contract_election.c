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

static void a_new_leader_writes_its_name_process_id_and_fencing_token(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/epoch", FENCING_TOKEN_RECORD, 31, 0);
	run_action_on_node(acquire_lease_and_raise_token, 12);

	assert_true(node->leader_lease.held);
	assert_transaction_written(
		"{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":0},"
		"{\"Key\":\"c/epoch\",\"KeyRev\":31}],\"Apply\":[{\"Put\":\"c/"
		"lead\",\"V\":" OWN_PROCESS_LEADER_RECORD
		",\"Grant\":7},{\"Put\":\"c/epoch\",\"V\":" NEXT_FENCING_TOKEN_RECORD "}]}");
	assert_transaction_written(
		"{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":92},"
		"{\"Key\":\"c/epoch\",\"KeyRev\":92}],"
		"\"Apply\":[{\"Put\":\"c/epoch\",\"V\":" RAISED_FENCING_TOKEN_RECORD "}]}");
	assert_int_equal(node->leader_view.fencing_token, 43);
	assert_transaction_written("{\"When\":[{\"Key\":\"c/lead\",\"KeyRev\":92}],"
	                           "\"Apply\":[{\"Put\":\"m/kinds\",\"V\":" MACHINE_TYPES_RECORD
	                           "}]}");
}

static void refresh_leader_view(struct fl_node *node)
{
	store_fixture.action_result = fl_leader_view_refresh(node);
}

static void a_node_reads_the_stored_leader_and_fencing_token(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", LEADER_RECORD, 32, 5);
	store_record("c/epoch", FENCING_TOKEN_RECORD, 31, 0);
	run_action_on_node(refresh_leader_view, 1);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);

	run_action_on_node(start_election, 10);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);
	assert_false(node->leader_lease.held);
	assert_int_equal(store_fixture.lease_grant_count, 0);
	assert_int_equal(store_fixture.transaction_count, 0);
}

/* Once it has started, lists are refused: only the watch can tell it. */
static void a_watch_event_updates_the_leader_and_fencing_token(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", "{\"node\":\"host-9\",\"boot\":\"9\"}", 32, 5);
	run_action_on_node(start_election, 2.5);
	assert_string_equal(node->leader_view.leader, "host-9");
	assert_int_equal(node->leader_view.fencing_token, 0);

	store_fixture.lists_unavailable = true;
	store_fixture.watch_events =
		"{\"KeyRev\":93,\"Put\":\"c/lead\",\"V\":" LEADER_RECORD "},"
		"{\"KeyRev\":93,\"Put\":\"c/epoch\",\"V\":" FENCING_TOKEN_RECORD "}";
	sim_time_run(fl_now() + 3);
	assert_string_equal(node->leader_view.leader, "host-2");
	assert_int_equal(node->leader_view.fencing_token, 41);
}

static void a_node_revokes_the_lease_of_its_earlier_process(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", EARLIER_PROCESS_LEADER_RECORD, 32, 5);
	store_record("c/epoch", FENCING_TOKEN_RECORD, 31, 0);
	run_action_on_node(start_election, 3);
	assert_int_equal(store_fixture.revoked_lease_id, 5);
	assert_true(node->leader_lease.held);
	assert_int_equal(node->leader_view.fencing_token, 42);
}

static void a_node_does_not_revoke_the_lease_of_its_own_process(void **state)
{
	const struct fl_node *node = *state;

	store_record("c/lead", OWN_PROCESS_LEADER_RECORD, 32, 5);
	run_action_on_node(start_election, 3);
	assert_int_equal(store_fixture.revoked_lease_id, 0);
	assert_int_equal(store_fixture.lease_grant_count, 0);
	assert_false(node->leader_lease.held);
}

static void a_new_leader_loads_digests_and_finished_jobs(void **state)
{
	const struct fl_node *node = *state;
	const struct fl_machine *machine;

	/* The fencing token of the first heartbeat is next. */
	store_record("c/epoch", "{\"epoch\":102}", 31, 0);
	store_record("f/run-000414", FINAL_RECORD_DONE, 40, 0);
	store_record("k/host-2/0", DIGEST_RECORD, 41, 0);
	run_action_on_node(start_election, 4);
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
		cmocka_unit_test_setup_teardown(
			a_new_leader_writes_its_name_process_id_and_fencing_token, set_up_node,
			tear_down_node),
		cmocka_unit_test_setup_teardown(a_node_reads_the_stored_leader_and_fencing_token,
	                                        set_up_node, tear_down_node),
		cmocka_unit_test_setup_teardown(a_watch_event_updates_the_leader_and_fencing_token,
	                                        set_up_node, tear_down_node),
		cmocka_unit_test_setup_teardown(a_node_revokes_the_lease_of_its_earlier_process,
	                                        set_up_node, tear_down_node),
		cmocka_unit_test_setup_teardown(a_node_does_not_revoke_the_lease_of_its_own_process,
	                                        set_up_node, tear_down_node),
		cmocka_unit_test_setup_teardown(a_new_leader_loads_digests_and_finished_jobs,
	                                        set_up_node, tear_down_node),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
