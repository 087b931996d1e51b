/*
 * Attempts that a new leader reads from records and that were never started: it starts them only if
 * all placed attempts together keep the team's maximum quota and the job's zones.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "node_fixture.h"
#include "transport/clock.h"

/* Restores a task that an earlier leader placed on this machine. */
static void restore_task(struct node_fixture *fixture, uint32_t index, const char *machine_name)
{
	struct fl_recorded_attempt recorded = {
		.attempt = 1,
		.machine = fl_machine_get_or_add(&fixture->node.cluster.machines, machine_name,
	                                         fl_now()),
		.incarnation = 1};

	assert_non_null(recorded.machine);
	assert_int_equal(
		fl_task_restore(&fixture->node.cluster, fixture->job, index, &recorded, fl_now()),
		FL_PLACE_OK);
}

static enum fl_task_phase phase(const struct node_fixture *fixture, uint32_t index)
{
	return fl_task_find(fixture->job, index)->phase;
}

/*
 * Guards against a team beyond its maximum quota: a leader released an attempt that its machine had
 * not started, placed another one in its stead, and ended when only the second was stored. The next
 * leader started both.
 */
static void restored_attempts_beyond_the_maximum_quota_are_not_started(void **state)
{
	struct node_fixture *fixture = *state;

	fixture->node.cluster.teams.by_index[0].max_cpus = 2;
	for (uint32_t i = 0; i < 3; i++)
		restore_task(fixture, i, "m-000001");
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 1), 2);
	assert_int_equal(fixture->job->counts.placed, 2);
	assert_true(fixture->node.cluster.teams.by_index[0].used_cpus == 2);
}

/* The same for a job whose tasks must share a zone, of which another one runs elsewhere. */
static void a_restored_attempt_in_a_second_zone_is_not_started(void **state)
{
	struct node_fixture *fixture = *state;

	fixture->job->same_zone = true;
	restore_task(fixture, 0, "m-000001"); /* in zone a */
	restore_task(fixture, 1, "m-000002");
	/* Until the zone of the other machine is known, nothing is decided. */
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 1), 0);
	assert_int_equal(phase(fixture, 0), FL_TASK_PLACED);
	fl_cluster_describe_machine(fl_machine_find(&fixture->node.cluster.machines, "m-000002"), 0,
	                            1, false, "127.0.0.1:2");
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 2), 0);
	assert_int_equal(phase(fixture, 0), FL_TASK_WAITING);
	assert_int_equal(phase(fixture, 1), FL_TASK_PLACED);
}

/* Within quota and zones, restored attempts start at once, without a scheduling cycle. */
static void restored_attempts_within_the_limits_are_started(void **state)
{
	struct node_fixture *fixture = *state;

	fixture->node.cluster.teams.by_index[0].max_cpus = 2;
	fixture->job->same_zone = true;
	restore_task(fixture, 0, "m-000001");
	restore_task(fixture, 1, "m-000001");
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 1), 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(restored_attempts_beyond_the_maximum_quota_are_not_started),
		NODE_TEST(a_restored_attempt_in_a_second_zone_is_not_started),
		NODE_TEST(restored_attempts_within_the_limits_are_started),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
