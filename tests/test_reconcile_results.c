/*
 * The result of a heartbeat: the reason why it is not applied, the results that are rejections, and
 * which of two heartbeats is newer.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/workers/heartbeat.h"
#include "coordination/workers/reconciliation.h"
#include "node_fixture.h"

static enum fl_reconcile_result reconcile(struct node_fixture *fixture, uint64_t incarnation,
                                          uint64_t sequence, uint64_t fencing_token)
{
	struct fl_heartbeat heartbeat =
		make_heartbeat(incarnation, sequence, fencing_token, NULL, 0);

	return fl_reconcile_heartbeat(&fixture->node, &heartbeat, NULL, FL_HEARTBEAT_FROM_COMMAND);
}

static void heartbeat_results_distinguish_why_a_heartbeat_was_not_applied(void **state)
{
	struct node_fixture *fixture = *state;

	assert_int_equal(reconcile(fixture, 1, 1, FENCING_TOKEN - 1),
	                 FL_RECONCILE_IGNORED_BEFORE_LEADERSHIP);
	assert_int_equal(reconcile(fixture, 1, 1, FENCING_TOKEN + 1), FL_RECONCILE_HIGHER_TOKEN);
	assert_null(only_machine(fixture));
	assert_int_equal(reconcile(fixture, 2, 5, FENCING_TOKEN), FL_RECONCILE_APPLIED);
	assert_int_equal(reconcile(fixture, 2, 5, FENCING_TOKEN), FL_RECONCILE_IGNORED_STALE);
	assert_int_equal(reconcile(fixture, 1, 9, FENCING_TOKEN), FL_RECONCILE_IGNORED_STALE);
	fl_reconcile_decommission(&fixture->node, only_machine(fixture), "test");
	assert_int_equal(reconcile(fixture, 2, 6, FENCING_TOKEN), FL_RECONCILE_DECOMMISSIONED);
	/* This result takes precedence, so that the worker learns that its machine is gone. */
	assert_int_equal(reconcile(fixture, 2, 6, FENCING_TOKEN - 1), FL_RECONCILE_DECOMMISSIONED);
	assert_int_equal(reconcile(fixture, 2, 6, FENCING_TOKEN + 1), FL_RECONCILE_DECOMMISSIONED);
}

static void ignored_heartbeats_are_not_rejected(void **state)
{
	(void)state;
	assert_false(fl_reconcile_is_rejection(FL_RECONCILE_APPLIED));
	assert_false(fl_reconcile_is_rejection(FL_RECONCILE_IGNORED_STALE));
	assert_false(fl_reconcile_is_rejection(FL_RECONCILE_IGNORED_BEFORE_LEADERSHIP));
	assert_true(fl_reconcile_is_rejection(FL_RECONCILE_DECOMMISSIONED));
	assert_true(fl_reconcile_is_rejection(FL_RECONCILE_HIGHER_TOKEN));
	assert_true(fl_reconcile_is_rejection(FL_RECONCILE_OUT_OF_MEMORY));
}

static void the_incarnation_takes_precedence_over_the_sequence_number(void **state)
{
	const struct fl_heartbeat heartbeat = {.incarnation = 4, .sequence = 7};

	(void)state;
	assert_true(fl_heartbeat_is_newer_than(&heartbeat, 3, 9));
	assert_true(fl_heartbeat_is_newer_than(&heartbeat, 4, 6));
	assert_false(fl_heartbeat_is_newer_than(&heartbeat, 4, 7));
	assert_false(fl_heartbeat_is_newer_than(&heartbeat, 5, 1));
}

/*
 * A digest entry without tasks shows that the machine is up, and nothing of its tasks: they neither
 * count as gone nor is the heartbeat applied twice.
 */
static void a_heartbeat_without_tasks_shows_only_that_the_machine_is_up(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_heartbeat heartbeat = make_heartbeat(1, 9, FENCING_TOKEN, NULL, 0);
	struct fl_task *task;

	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 1), 0);
	task = place_task(fixture, 0);
	heartbeat.tasks_omitted = true;
	deliver_heartbeat(fixture, heartbeat, FL_HEARTBEAT_FROM_DIGEST);
	assert_int_equal(only_machine(fixture)->heartbeat.sequence, 9);
	assert_int_equal(task->phase, FL_TASK_PLACED);

	/* A new incarnation: the attempt of the earlier one is gone, once a heartbeat says so. */
	heartbeat.incarnation = 2;
	deliver_heartbeat(fixture, heartbeat, FL_HEARTBEAT_FROM_DIGEST);
	assert_int_equal(task->phase, FL_TASK_PLACED);
	deliver_idle_heartbeat(fixture, 2, 10);
	assert_int_equal(task->phase, FL_TASK_WAITING);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(heartbeat_results_distinguish_why_a_heartbeat_was_not_applied),
		NODE_TEST(ignored_heartbeats_are_not_rejected),
		NODE_TEST(the_incarnation_takes_precedence_over_the_sequence_number),
		NODE_TEST(a_heartbeat_without_tasks_shows_only_that_the_machine_is_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
