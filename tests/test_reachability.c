/*
 * One-way partitions and late, duplicate and out-of-order messages: machines whose heartbeats
 * arrive but which receive no replies, late copies of heartbeats, and responses to direct commands
 * that overtake replies to heartbeats.
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

/* Heartbeats arrive but replies do not, so repeated start commands have no effect. */
static void an_unreachable_machine_gets_no_new_task_and_loses_none_early(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task *task;
	int start_commands;

	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 1), 0);

	task = place_task(fixture, 0);
	start_commands = deliver_idle_heartbeats(fixture, 2, 4, 5);
	assert_int_equal(start_commands, 3);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));

	/* Silence is counted from the first unacknowledged reply, not from the last heartbeat. */
	assert_true(fl_reachability_lost_since(only_machine(fixture)) < fl_now() - 4);

	/* The attempt may have started, so it is released only when it is proved absent. */
	assert_int_equal(task->phase, FL_TASK_PLACED);
	assert_int_equal(fixture->job->counts.waiting, 3);

	set_last_reply_age(fixture, 5);
	assert_int_equal(deliver_idle_heartbeat(fixture, 2, 5), 0);
	assert_int_equal(task->phase, FL_TASK_WAITING);
	assert_int_equal(fixture->job->counts.waiting, 4);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));

	/* A decommission does not release the task again, and a later heartbeat has no effect. */
	fl_reconcile_decommission(&fixture->node, only_machine(fixture), "returned");
	assert_int_equal(deliver_idle_heartbeat(fixture, 2, 6),
	                 REJECTED(FL_RECONCILE_DECOMMISSIONED));
	assert_int_equal(fixture->job->counts.waiting, 4);
}

/* Only ended incarnations and timeouts of its worker show that an idle machine is unreachable. */
static void an_idle_unreachable_machine_is_detected(void **state)
{
	struct node_fixture *fixture = *state;

	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 1), 0);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));

	/* A worker that receives a reply sends its next heartbeat soon; this worker timed out. */
	set_last_reply_age(fixture, 5);
	deliver_idle_heartbeat(fixture, 1, 2);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));

	for (uint64_t incarnation = 2; incarnation < 4; incarnation++) {
		set_last_reply_age(fixture, 5);
		deliver_idle_heartbeat(fixture, incarnation, 10 * incarnation);
	}
	assert_true(fl_reachability_lost_since(only_machine(fixture)) < INFINITY);

	/* A response to a direct command shows that the machine is reachable again. */
	deliver_heartbeat(fixture, make_heartbeat(3, 31, FENCING_TOKEN, NULL, 0),
	                  FL_HEARTBEAT_FROM_COMMAND);
	assert_true(fl_reachability_lost_since(only_machine(fixture)) == INFINITY);
}

/*
 * Two replies whose command or fencing token has no effect make a machine suspect, even if its
 * heartbeats are prompt.
 */
static void a_machine_is_suspect_after_commands_without_effect(void **state)
{
	struct node_fixture *fixture = *state;

	deliver_idle_heartbeat(fixture, 1, 1);
	place_task(fixture, 0);
	deliver_idle_heartbeats(fixture, 2, 4, 1);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));

	deliver_heartbeat(fixture, make_heartbeat(1, 5, FENCING_TOKEN, NULL, 0),
	                  FL_HEARTBEAT_FROM_COMMAND);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));

	fl_task_find(fixture->job, 0)->start_sent = false;
	fixture->node.leader_lease.fencing_token++;
	for (uint64_t sequence = 6; sequence < 9; sequence++) {
		set_last_reply_age(fixture, 1);
		fl_task_find(fixture->job, 0)->stop_reason = FL_STOP_PREEMPT;
		deliver_idle_heartbeat(fixture, 1, sequence);
	}
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));

	set_last_reply_age(fixture, 1);
	deliver_heartbeat(fixture, make_heartbeat(1, 9, FENCING_TOKEN + 1, NULL, 0),
	                  FL_HEARTBEAT_FROM_WORKER);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
}

static void a_machine_is_not_suspect_after_one_lost_reply(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task_status(0, 1);
	struct fl_task *task;

	deliver_idle_heartbeat(fixture, 1, 1);
	task = place_task(fixture, 0);
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 2), 1);

	set_last_reply_age(fixture, 1);
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 3), 1);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));

	set_last_reply_age(fixture, 1);
	deliver_task_heartbeat(fixture, 1, 4, &status);
	assert_int_equal(only_machine(fixture)->outbound.unacknowledged_replies, 0);
	assert_int_equal(task->last_observed_state, FL_OBSERVED_RUNNING);

	/* After a longer pause, as in an outage, a machine is suspect until a prompt heartbeat. */
	set_last_reply_age(fixture, 6);
	deliver_task_heartbeat(fixture, 1, 5, &status);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));

	set_last_reply_age(fixture, 2);
	deliver_task_heartbeat(fixture, 1, 6, &status);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));
}

/*
 * Guards against reachable machines that get no tasks: on sites so large that workers send a
 * heartbeat every 6 s, the time between two heartbeats made every idle machine look unreachable. A
 * worker that keeps sending to the same node shows that replies reach it.
 */
static void a_machine_with_a_long_heartbeat_interval_is_not_suspect(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_heartbeat heartbeat = make_heartbeat(1, 1, FENCING_TOKEN, NULL, 0);

	fixture->config.report_s = 6;
	fixture->node.peer_count = 2;
	for (heartbeat.entry_node_index = 1; heartbeat.entry_node_index <= 3;
	     heartbeat.entry_node_index++) {
		/* A worker changes its entry node after a timeout or a redirect. */
		for (int i = 0; i < 3; i++) {
			deliver_heartbeat(fixture, heartbeat, FL_HEARTBEAT_FROM_WORKER);
			assert_int_equal(fl_reachability_is_suspect(only_machine(fixture)),
			                 heartbeat.entry_node_index > 1 && i == 0);
			set_last_reply_age(fixture, 6);
			heartbeat.sequence++;
		}
	}

	/*
	 * Even after a change of the entry node, a response to a direct command or an executed
	 * start command shows that replies reach the machine.
	 */
	heartbeat.entry_node_index = 1;
	deliver_heartbeat(fixture, heartbeat, FL_HEARTBEAT_FROM_WORKER);
	assert_true(fl_reachability_is_suspect(only_machine(fixture)));

	heartbeat.sequence++;
	deliver_heartbeat(fixture, heartbeat, FL_HEARTBEAT_FROM_COMMAND);
	assert_false(fl_reachability_is_suspect(only_machine(fixture)));

	/*
	 * Without another node, an interval longer than the worker's timeout shows nothing: only
	 * replies without effect make the machine suspect.
	 */
	fixture->node.peer_count = 0;
	for (int i = 0; i < 3; i++) {
		set_last_reply_age(fixture, 6);
		heartbeat.sequence++;
		deliver_heartbeat(fixture, heartbeat, FL_HEARTBEAT_FROM_WORKER);
		assert_false(fl_reachability_is_suspect(only_machine(fixture)));
	}
}

/* After a failover, only the fencing token in a heartbeat copy shows that the copy is old. */
static void a_late_heartbeat_copy_after_a_failover_is_answered_but_not_applied(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task_status(0, 1);
	struct fl_task *task;

	/* The previous leader returned this machine, so no record and no list contains it. */
	assert_int_equal(deliver_heartbeat(fixture,
	                                   make_heartbeat(1, 50, FENCING_TOKEN - 1, &status, 1),
	                                   FL_HEARTBEAT_FROM_WORKER),
	                 0);
	assert_null(only_machine(fixture));
	assert_int_equal(deliver_heartbeat(fixture,
	                                   make_heartbeat(1, 50, FENCING_TOKEN - 1, &status, 1),
	                                   FL_HEARTBEAT_FROM_DIGEST),
	                 0);
	assert_null(only_machine(fixture));

	/* For a machine known from a record, a copy proves neither contact nor a task's absence. */
	fl_cluster_describe_machine(
		fl_machine_get_or_add(&fixture->node.cluster.machines, "m-000001", fl_now()), 0, 0,
		false, "x");
	assert_int_equal(
		fl_task_restore(&fixture->node.cluster, fixture->job, 1,
	                        &(struct fl_recorded_attempt){3, only_machine(fixture), 1, 0},
	                        fl_now()),
		FL_PLACE_OK);

	task = fl_task_find(fixture->job, 1);
	task->stop_reason = FL_STOP_PREEMPT;
	assert_int_equal(deliver_heartbeat(fixture,
	                                   make_heartbeat(9, 50, FENCING_TOKEN - 1, &status, 1),
	                                   FL_HEARTBEAT_FROM_WORKER),
	                 0);
	assert_false(only_machine(fixture)->lifecycle.up);
	assert_true(only_machine(fixture)->heartbeat.last_received_at == 0);
	assert_int_equal(task->phase, FL_TASK_PLACED);

	/* The worker has received a reply, sends its token, and this heartbeat is applied. */
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 70), 0);
	assert_true(only_machine(fixture)->lifecycle.up);
	assert_int_equal(task->phase, FL_TASK_WAITING);
}

static void a_late_heartbeat_copy_within_a_leadership_changes_nothing(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task_status(0, 1);
	double heartbeat_at;

	deliver_idle_heartbeat(fixture, 2, 10);
	place_task(fixture, 0);
	deliver_task_heartbeat(fixture, 2, 12, &status);
	only_machine(fixture)->heartbeat.last_received_at =
		only_machine(fixture)->outbound.last_reachable_at = heartbeat_at = fl_now() - 30;
	for (int source = FL_HEARTBEAT_FROM_WORKER; source <= FL_HEARTBEAT_FROM_DIGEST; source++) {
		/*
		 * An older heartbeat, a duplicate, and one of an earlier incarnation with a higher
		 * sequence number.
		 */
		assert_int_equal(deliver_heartbeat(fixture,
		                                   make_heartbeat(2, 11, FENCING_TOKEN, NULL, 0),
		                                   (enum fl_heartbeat_source)source),
		                 0);
		assert_int_equal(deliver_heartbeat(fixture,
		                                   make_heartbeat(2, 12, FENCING_TOKEN, &status, 1),
		                                   (enum fl_heartbeat_source)source),
		                 0);
		assert_int_equal(deliver_heartbeat(fixture,
		                                   make_heartbeat(1, 99, FENCING_TOKEN, NULL, 0),
		                                   (enum fl_heartbeat_source)source),
		                 0);
	}
	assert_true(only_machine(fixture)->heartbeat.last_received_at == heartbeat_at &&
	            only_machine(fixture)->outbound.last_reachable_at == heartbeat_at);
	assert_int_equal(fixture->job->counts.placed, 1);

	fl_reconcile_decommission(&fixture->node, only_machine(fixture), "test");
	assert_int_equal(deliver_task_heartbeat(fixture, 2, 13, &status),
	                 REJECTED(FL_RECONCILE_DECOMMISSIONED));
	assert_true(only_machine(fixture)->lifecycle.decommissioned &&
	            !only_machine(fixture)->lifecycle.up);
}

/*
 * Guards against a task that is released too early: the reply with its start command is in flight
 * when the task is stopped. The response to the stop command does not report the task, since the
 * worker has not received that reply yet.
 */
static void a_command_response_that_overtakes_a_heartbeat_reply_does_not_prove_absence(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task *task;

	deliver_idle_heartbeat(fixture, 1, 1);
	task = place_task(fixture, 0);
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 2), 1);

	task->stop_reason = FL_STOP_PREEMPT;
	deliver_heartbeat(fixture, make_heartbeat(1, 3, FENCING_TOKEN, NULL, 0),
	                  FL_HEARTBEAT_FROM_COMMAND);
	assert_int_equal(task->phase, FL_TASK_PLACED);

	/* The worker sends its next heartbeat after it has executed or dropped that reply. */
	deliver_idle_heartbeat(fixture, 1, 4);
	assert_int_equal(task->phase, FL_TASK_WAITING);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(an_unreachable_machine_gets_no_new_task_and_loses_none_early),
		NODE_TEST(an_idle_unreachable_machine_is_detected),
		NODE_TEST(a_machine_is_suspect_after_commands_without_effect),
		NODE_TEST(a_machine_is_not_suspect_after_one_lost_reply),
		NODE_TEST(a_machine_with_a_long_heartbeat_interval_is_not_suspect),
		NODE_TEST(a_late_heartbeat_copy_after_a_failover_is_answered_but_not_applied),
		NODE_TEST(a_late_heartbeat_copy_within_a_leadership_changes_nothing),
		NODE_TEST(
			a_command_response_that_overtakes_a_heartbeat_reply_does_not_prove_absence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
