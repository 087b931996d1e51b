/*
 * The raise of the fencing token: the leader commands with the token that is stored, also if the
 * write of it got no answer and is executed late.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "coordination/election/election.h"
#include "coordination/node.h"
#include "coordination/request_router.h"
#include "scripted_store.h"
#include "storage/keys.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

static struct {
	struct fl_node node;
	struct fl_config config;
} scenario;

static void begin_leadership(struct fl_node *node) { node->leadership.active = true; }

static void end_leadership(struct fl_node *node) { node->leadership.active = false; }

/* Starts the election, in which this node is the only one, and waits until it leads. */
static int set_up(void **state)
{
	static const struct fl_election_callbacks callbacks = {begin_leadership, end_leadership};
	struct fl_node *node = &scenario.node;

	(void)state;
	memset(&scenario, 0, sizeof(scenario));
	scripted_store_begin();
	sim_time_begin();
	scenario.config.lease_s = 10;
	scenario.config.report_s = 2;
	scenario.config.cancel_s = 40;
	strcpy(scenario.config.node, "host-1");
	strcpy(node->process_id, "host-1-1");
	node->config = &scenario.config;
	node->machine_types_loaded = node->live_jobs_loaded = true;
	fl_election_start(node, &callbacks);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	virtual_time_end();
	fl_cluster_free(&scenario.node.cluster);
	scripted_store_end();
	return 0;
}

static void run_for(double seconds) { sim_time_run(fl_now() + seconds); }

/*
 * Guards against a leader that does not reach its workers for seconds: the raise of the token got
 * no answer and was executed later. Followers renewed leases with the new token; from then on
 * workers rejected the leader's commands, and the leader their heartbeats, until its next raise.
 */
static void a_leader_adopts_a_raised_token_as_soon_as_it_is_stored(void **state)
{
	const struct fl_leader_lease *lease = &scenario.node.leader_lease;

	(void)state;
	SCRIPT_WRITES({.fate = WRITE_ANSWERED}, {.fate = WRITE_DELAYED});
	run_for(6);
	assert_true(lease->held);
	assert_int_equal(lease->fencing_token, 1);
	scenario.node.leader_lease.token_raise_wanted = true;
	run_for(2.5);
	assert_int_equal(scripted_store.write_count, 2);
	assert_int_equal(lease->fencing_token, 1);

	assert_int_equal(scripted_store_execute_delayed_write(), 200);
	run_for(0.1);
	assert_true(lease->held);
	assert_int_equal(lease->fencing_token, 2);
	assert_int_equal(scenario.node.leader_view.fencing_token, 2);
	/* The raise has succeeded, so that it is not repeated. */
	run_for(10);
	assert_int_equal(scripted_store.write_count, 2);
	assert_int_equal(lease->fencing_token, 2);
}

/* The token of another leader must not be adopted with its leadership. */
static void a_leader_does_not_adopt_the_token_of_another_leader(void **state)
{
	const struct fl_leader_lease *lease = &scenario.node.leader_lease;

	(void)state;
	run_for(6);
	assert_true(lease->held);
	scripted_store.model.revision++;
	kv_model_put(&scripted_store.model, FL_KEY_FENCING_TOKEN, strdup("{\"epoch\":2}"), 0);
	kv_model_put(&scripted_store.model, FL_KEY_LEADER,
	             strdup("{\"node\":\"host-2\",\"boot\":\"2\"}"), 0);
	fl_condition_broadcast(&scripted_store.model.changed);
	run_for(0.1);
	assert_int_equal(lease->fencing_token, 1);
	assert_false(lease->held);
}

int main(void)
{
#define TOKEN_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		TOKEN_TEST(a_leader_adopts_a_raised_token_as_soon_as_it_is_stored),
		TOKEN_TEST(a_leader_does_not_adopt_the_token_of_another_leader),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
