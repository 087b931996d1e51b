/*
 * Messages that arrive one way only, late, or twice: machines that report and receive no answers,
 * copies of reports long after them, and replies that overtake answers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "coordination/workers/reachability.h"
#include "node_fixture.h"
#include "transport/clock.h"

/* Reports arrive, answers do not: the launch shows no effect, however often it is ordered. */
static void an_unreachable_machine_gets_no_new_task_and_loses_none_early(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task *task;
	int launches = 0;

	assert_int_equal(deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 0);
	task = place_task(fixture, 0);
	for (uint64_t sequence = 2; sequence < 5; sequence++) {
		answered_ago(fixture, 5);
		launches += deliver_report(fixture, make_report(1, sequence, EPOCH, NULL, 0),
		                           FL_HEARTBEAT_FROM_WORKER);
	}
	assert_int_equal(launches, 3);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));
	/* Silence counts from the first answer without effect, though it reported just now. */
	assert_true(fl_reachability_lost_since(only_machine(fixture)) < fl_now() - 4);
	/* Its attempt may have been launched all the same: only a proof frees it. */
	assert_int_equal(task->phase, FL_TASK_PLACED);
	assert_int_equal(fixture->job->counts.waiting, 3);
	answered_ago(fixture, 5);
	assert_int_equal(deliver_report(fixture, make_report(2, 5, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 0);
	assert_int_equal(task->phase, FL_TASK_WAITING);
	assert_int_equal(fixture->job->counts.waiting, 4);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));
	/* Gone for good: its work is free once, and a later report changes nothing. */
	fl_reconcile_decommission(&fixture->node, only_machine(fixture), "returned");
	assert_int_equal(deliver_report(fixture, make_report(2, 6, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 REJECTED(FL_RECONCILE_DECOMMISSIONED));
	assert_int_equal(fixture->job->counts.waiting, 4);
}

/* An idle machine shows it only by sessions that end and by waiting out its timeout. */
static void an_idle_unreachable_machine_is_detected(void **state)
{
	struct fixture *fixture = *state;

	assert_int_equal(deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 0);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
	/* A worker that had its answer reports within seconds; this one waited for its timeout. */
	answered_ago(fixture, 5);
	deliver_report(fixture, make_report(1, 2, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));
	for (uint64_t incarnation = 2; incarnation < 4; incarnation++) {
		answered_ago(fixture, 5);
		deliver_report(fixture, make_report(incarnation, 10 * incarnation, EPOCH, NULL, 0),
		               FL_HEARTBEAT_FROM_WORKER);
	}
	assert_true(fl_reachability_lost_since(only_machine(fixture)) < INFINITY);
	/* Once it answers a command itself, all is well again. */
	deliver_report(fixture, make_report(3, 31, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_COMMAND);
	assert_true(fl_reachability_lost_since(only_machine(fixture)) == INFINITY);
}

/* However prompt its reports: a launch, or a higher epoch, that shows no effect twice is enough. */
static void an_order_without_effect_was_not_received(void **state)
{
	struct fixture *fixture = *state;

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	place_task(fixture, 0);
	for (uint64_t sequence = 2; sequence < 5; sequence++) {
		answered_ago(fixture, 1);
		deliver_report(fixture, make_report(1, sequence, EPOCH, NULL, 0),
		               FL_HEARTBEAT_FROM_WORKER);
	}
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));
	deliver_report(fixture, make_report(1, 5, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_COMMAND);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
	fl_task_peek(fixture->job, 0)->start_sent = false;
	fixture->node.leader_lease.fencing_token++;
	for (uint64_t sequence = 6; sequence < 9; sequence++) {
		answered_ago(fixture, 1);
		fl_task_peek(fixture->job, 0)->stop_reason = FL_STOP_PREEMPT;
		deliver_report(fixture, make_report(1, sequence, EPOCH, NULL, 0),
		               FL_HEARTBEAT_FROM_WORKER);
	}
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));
	answered_ago(fixture, 1);
	deliver_report(fixture, make_report(1, 9, EPOCH + 1, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
}

static void one_lost_answer_does_not_make_a_machine_unreachable(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	struct fl_task *task;

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	task = place_task(fixture, 0);
	assert_int_equal(deliver_report(fixture, make_report(1, 2, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 1);
	answered_ago(fixture, 1);
	assert_int_equal(deliver_report(fixture, make_report(1, 3, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 1);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
	answered_ago(fixture, 1);
	deliver_report(fixture, make_report(1, 4, EPOCH, &status, 1), FL_HEARTBEAT_FROM_WORKER);
	assert_int_equal(only_machine(fixture)->outbound.unacknowledged_replies, 0);
	assert_int_equal(task->observed, FL_OBSERVED_RUNNING);
	/* A longer pause, as after an outage, is over with the next prompt report. */
	answered_ago(fixture, 6);
	deliver_report(fixture, make_report(1, 5, EPOCH, &status, 1), FL_HEARTBEAT_FROM_WORKER);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));
	answered_ago(fixture, 2);
	deliver_report(fixture, make_report(1, 6, EPOCH, &status, 1), FL_HEARTBEAT_FROM_WORKER);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
}

/*
 * Found at the size at which workers report every 6 s: the time between two reports made every
 * idle machine look unreachable. That it stays at its node shows that answers reach it.
 */
static void a_machine_that_reports_seldom_is_not_unreachable(void **state)
{
	struct fixture *fixture = *state;
	struct fl_heartbeat heartbeat = make_report(1, 1, EPOCH, NULL, 0);

	fixture->config.report_s = 6;
	fixture->node.peer_count = 2;
	for (heartbeat.entry_node = 1; heartbeat.entry_node <= 3; heartbeat.entry_node++) {
		/* It changes its node after a timeout, or when it was redirected. */
		for (int i = 0; i < 3; i++) {
			deliver_report(fixture, heartbeat, FL_HEARTBEAT_FROM_WORKER);
			assert_int_equal(fl_reachability_is_suspect(only_machine(fixture)),
			                 heartbeat.entry_node > 1 && i == 0);
			answered_ago(fixture, 6);
			heartbeat.sequence++;
		}
	}
	/* Even then its own answer to a command, or a launch that shows, ends the doubt. */
	heartbeat.entry_node = 1;
	deliver_report(fixture, heartbeat, FL_HEARTBEAT_FROM_WORKER);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));
	heartbeat.sequence++;
	deliver_report(fixture, heartbeat, FL_HEARTBEAT_FROM_COMMAND);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
	/* Where there is no other node, only a launch without effect shows it. */
	fixture->node.peer_count = 0;
	for (int i = 0; i < 3; i++) {
		answered_ago(fixture, 6);
		heartbeat.sequence++;
		deliver_report(fixture, heartbeat, FL_HEARTBEAT_FROM_WORKER);
		assert_false(fl_reachability_is_suspect(only_machine(fixture)));
	}
}

/* Across a takeover nothing is known that would show a copy to be old, except its epoch. */
static void a_late_copy_after_a_takeover_is_only_answered(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	struct fl_task *task;

	/* A machine that the leader before returned: no record, no list names it any more. */
	assert_int_equal(deliver_report(fixture, make_report(1, 50, EPOCH - 1, &status, 1),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 0);
	assert_null(only_machine(fixture));
	assert_int_equal(deliver_report(fixture, make_report(1, 50, EPOCH - 1, &status, 1),
	                                FL_HEARTBEAT_FROM_DIGEST),
	                 0);
	assert_null(only_machine(fixture));
	/* One that is known from a record: the copy neither shows life nor what is absent. */
	fl_cluster_describe(fl_machine_get(&fixture->node.cluster.machines, "m-000001", fl_now()),
	                    0, 0, false, "x");
	assert_int_equal(
		fl_task_restore(&fixture->node.cluster, fixture->job, 1,
	                        &(struct fl_recorded_attempt){3, only_machine(fixture), 1, 0},
	                        fl_now()),
		FL_PLACE_OK);
	task = fl_task_peek(fixture->job, 1);
	task->stop_reason = FL_STOP_PREEMPT;
	assert_int_equal(deliver_report(fixture, make_report(9, 50, EPOCH - 1, &status, 1),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 0);
	assert_false(only_machine(fixture)->lifecycle.up);
	assert_true(only_machine(fixture)->heartbeat.last_at == 0);
	assert_int_equal(task->phase, FL_TASK_PLACED);
	/* The worker itself has seen the answer and reports with the epoch: now it counts. */
	assert_int_equal(deliver_report(fixture, make_report(1, 70, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 0);
	assert_true(only_machine(fixture)->lifecycle.up);
	assert_int_equal(task->phase, FL_TASK_WAITING);
}

static void a_late_copy_within_a_leadership_changes_nothing(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	double heartbeat_at;

	deliver_report(fixture, make_report(2, 10, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	place_task(fixture, 0);
	deliver_report(fixture, make_report(2, 12, EPOCH, &status, 1), FL_HEARTBEAT_FROM_WORKER);
	only_machine(fixture)->heartbeat.last_at =
		only_machine(fixture)->outbound.last_reachable_at = heartbeat_at = fl_now() - 30;
	for (int source = FL_HEARTBEAT_FROM_WORKER; source <= FL_HEARTBEAT_FROM_DIGEST; source++) {
		/* Older, of the same number, and of an earlier session with a higher number. */
		assert_int_equal(deliver_report(fixture, make_report(2, 11, EPOCH, NULL, 0),
		                                (enum fl_heartbeat_source)source),
		                 0);
		assert_int_equal(deliver_report(fixture, make_report(2, 12, EPOCH, &status, 1),
		                                (enum fl_heartbeat_source)source),
		                 0);
		assert_int_equal(deliver_report(fixture, make_report(1, 99, EPOCH, NULL, 0),
		                                (enum fl_heartbeat_source)source),
		                 0);
	}
	assert_true(only_machine(fixture)->heartbeat.last_at == heartbeat_at &&
	            only_machine(fixture)->outbound.last_reachable_at == heartbeat_at);
	assert_int_equal(fixture->job->counts.placed, 1);
	fl_reconcile_decommission(&fixture->node, only_machine(fixture), "test");
	assert_int_equal(deliver_report(fixture, make_report(2, 13, EPOCH, &status, 1),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 REJECTED(FL_RECONCILE_DECOMMISSIONED));
	assert_true(only_machine(fixture)->lifecycle.decommissioned &&
	            !only_machine(fixture)->lifecycle.up);
}

/*
 * Found by the random walk: an answer with a launch is in flight when the task is stopped. The
 * reply to the stop lacks the task, since the worker has not had the answer yet.
 */
static void a_reply_that_overtakes_an_answer_proves_no_absence(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task *task;

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	task = place_task(fixture, 0);
	assert_int_equal(deliver_report(fixture, make_report(1, 2, EPOCH, NULL, 0),
	                                FL_HEARTBEAT_FROM_WORKER),
	                 1);
	task->stop_reason = FL_STOP_PREEMPT;
	deliver_report(fixture, make_report(1, 3, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_COMMAND);
	assert_int_equal(task->phase, FL_TASK_PLACED);
	/* Its own next report is sent when the answer has been carried out or dropped. */
	deliver_report(fixture, make_report(1, 4, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	assert_int_equal(task->phase, FL_TASK_WAITING);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(an_unreachable_machine_gets_no_new_task_and_loses_none_early),
		NODE_TEST(an_idle_unreachable_machine_is_detected),
		NODE_TEST(an_order_without_effect_was_not_received),
		NODE_TEST(one_lost_answer_does_not_make_a_machine_unreachable),
		NODE_TEST(a_machine_that_reports_seldom_is_not_unreachable),
		NODE_TEST(a_late_copy_after_a_takeover_is_only_answered),
		NODE_TEST(a_late_copy_within_a_leadership_changes_nothing),
		NODE_TEST(a_reply_that_overtakes_an_answer_proves_no_absence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
