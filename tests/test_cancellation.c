/*
 * The tasks of cancelled jobs end in bounded time, regardless of which controllers are reachable,
 * since a node renews a worker's lease only if it can rule out a cancellation.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/persistence/record_writer.h"
#include "coordination/persistence/job_record_refresh.h"
#include "coordination/scheduling/scheduling_snapshot.h"
#include "node_fixture.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "transport/clock.h"

/*
 * Guards against cancelled tasks that run past their deadline: with controllers eight times slower,
 * no leader led for long enough to stop a task, and all controllers kept renewing the leases.
 */
static void the_lease_of_a_cancelled_task_is_not_renewed_past_its_deadline(void **state)
{
	struct node_fixture *fixture = *state;
	double renewable_s = lease_renewal_window_s(fixture);
	struct fl_task_status status = running_task_status(0, 1);
	struct fl_finished_job *final;

	become_follower(fixture, 0);

	/* A lease renewed now still ends before the deadline of the cancelled tasks. */
	apply_cancellation(fixture, renewable_s - 2);
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 200);

	final = fl_finished_job_find(&fixture->node.cluster, status.ref);
	assert_non_null(final);

	final->cancelled_at -= 3;
	assert_int_equal(send_task_heartbeat(fixture, 1, 21, &status), 503);

	/* The lease is renewed if the task is of another job or has ended. */
	strcpy(status.ref, "run-000002");
	assert_int_equal(send_task_heartbeat(fixture, 1, 22, &status), 200);

	strcpy(status.ref, "run-000001");
	status.state = FL_TASK_STATE_EXITED;
	assert_int_equal(send_task_heartbeat(fixture, 1, 23, &status), 200);

	/* The job records were not read for so long that any job may have been cancelled. */
	fixture->node.cancellation_watermark = fl_now() - renewable_s - 1;
	fixture->node.live_jobs_loaded = true;
	assert_int_equal(send_idle_heartbeat(fixture, 1, 24), 503);
}

/*
 * Guards against a lost stop command: a heartbeat was forwarded on two paths, and only the second
 * reply, which had no commands, reached the worker.
 */
static void a_repeated_heartbeat_is_answered_with_the_stop_command_again(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task_status(0, 1);
	cJSON *record = cancelled_job_record(fixture, 1);

	deliver_idle_heartbeat(fixture, 1, 1);
	status.attempt = place_task(fixture, 0)->attempt;
	assert_non_null(
		fl_cluster_apply_job_record(&fixture->node.cluster, fixture->job->ref, record, 9));
	cJSON_Delete(record);
	for (int i = 0; i < 2; i++) {
		assert_int_equal(send_task_heartbeat(fixture, 1, 2, &status), 200);
		assert_int_equal(stop_commands_in_last_reply, 1);
	}
}

/*
 * Guards against a renewal for a cancelled task: after a restart of all controllers, which were
 * slow, a heartbeat arrived before the job list, waited for it, and was answered from the state
 * before the wait.
 */
static void a_cancellation_read_while_a_heartbeat_waits_is_applied(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task_status(0, 1);
	struct waiting_heartbeat waiting = {
		.fixture = fixture, .heartbeat = make_heartbeat(1, 20, FENCING_TOKEN, &status, 1)};

	become_follower(fixture, 0);
	fixture->node.cancellation_watermark = -1e9;
	fixture->node.live_jobs_loaded = false;
	send_waiting_heartbeat(&waiting);
	assert_int_equal(waiting.status, 0);

	apply_cancellation(fixture, fixture->config.cancel_s - fixture->config.lease_s + 1);
	fixture->node.cancellation_watermark = fl_now();
	fixture->node.live_jobs_loaded = true;
	fl_condition_broadcast(&fixture->node.jobs_listed);
	run_waiting_heartbeat(&waiting);

	assert_int_equal(waiting.status, 503);
	end_waiting_heartbeat(&waiting);
}

/*
 * A new leader replies to heartbeats with an older fencing token without applying them, so it must
 * not renew the lease of a cancelled task.
 */
static void a_new_leader_does_not_renew_the_lease_of_a_cancelled_task(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task_status(0, 1);
	double renewable_s = lease_renewal_window_s(fixture);

	fixture->node.cluster.has_leader_state = false;
	apply_cancellation(fixture, renewable_s + 2);
	become_leader(fixture, FENCING_TOKEN + 1);
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 503);

	/* The reply to an applied heartbeat stops the task, and may therefore renew the lease. */
	assert_int_equal(
		send_heartbeat(fixture, make_heartbeat(1, 21, FENCING_TOKEN + 1, &status, 1), NULL),
		200);
	assert_int_equal(
		send_heartbeat(fixture, make_heartbeat(1, 21, FENCING_TOKEN + 1, &status, 1), NULL),
		503);
}

/*
 * Guards against a cancelled job that is not stopped: with controllers eight times slower, the
 * write of a cancellation got no reply, and the leader took the record for its own earlier write
 * and did not stop the job, although it had confirmed the cancellation.
 */
static void a_leader_applies_a_cancellation_from_the_job_record(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_finished_job *final;
	struct fl_job_record decoded;
	cJSON *record;

	fixture->job->record.unresolved_writes = 1;
	record = cancelled_job_record(fixture, 3);
	assert_int_equal(fl_job_record_decode(record, fixture->job->ref, &decoded), 0);

	fl_job_record_apply_cancellation(&fixture->node, fixture->job, &decoded, 9);
	assert_true(fixture->job->cancelled && fixture->job->record.unresolved_writes == 0 &&
	            fixture->job->record.mod_revision == 9);

	/*
	 * The same holds while the node loads its cluster state, when another node may already hold
	 * the leader lease.
	 */
	fixture->job->cancelled = fixture->node.leadership.active = false;
	final = fixture->node.cluster.finished;
	HASH_DEL(fixture->node.cluster.finished, final);
	free(final);
	assert_ptr_equal(
		fl_cluster_apply_job_record(&fixture->node.cluster, fixture->job->ref, record, 10),
		fixture->job);
	cJSON_Delete(record);
	assert_true(fixture->job->cancelled && fixture->job->record.mod_revision == 10);
	assert_true(fabs(fixture->job->cancelled_at - (fl_now() - 3)) < 1);
	assert_non_null(fl_finished_job_find(&fixture->node.cluster, fixture->job->ref));
}

/* Returns how many jobs a scheduling cycle would consider now. */
static int count_schedulable_jobs(struct node_fixture *fixture)
{
	struct fl_snapshot snapshot;
	int count;

	assert_int_equal(fl_snapshot_take(&fixture->node, &snapshot, fl_now()), FL_SCHEDULE_OK);
	count = snapshot.input.job_count;
	fl_snapshot_free(&snapshot);
	return count;
}

/* Returns whether a direct command to m-000001 would have any command now. */
static bool direct_command_is_due(struct node_fixture *fixture)
{
	struct fl_command_list commands;
	bool is_due;

	fl_command_list_init(&commands, FENCING_TOKEN);
	is_due = fl_reconcile_collect_commands(&fixture->node, only_machine(fixture), &commands);
	cJSON_Delete(commands.root);
	return is_due;
}

/*
 * Guards against a task that starts after its job was reported as cancelled: the write of the
 * cancellation had no answer yet, a follower saw it first, and the leader started a task 84 ms
 * after the follower's answer.
 */
static void no_task_starts_while_a_cancellation_may_be_executed(void **state)
{
	struct node_fixture *fixture = *state;

	deliver_idle_heartbeat(fixture, 1, 1);
	place_task(fixture, 0);
	fixture->job->record.unresolved_writes = 1;
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 2), 0);
	assert_false(direct_command_is_due(fixture));
	assert_int_equal(count_schedulable_jobs(fixture), 0);
	assert_int_equal(fixture->job->counts.placed, 1);

	fixture->job->record.unresolved_writes = 0;
	assert_int_equal(count_schedulable_jobs(fixture), 1);
	assert_true(direct_command_is_due(fixture));
	assert_int_equal(deliver_idle_heartbeat(fixture, 1, 3), 1);
}

/*
 * If the time since the cancellation restarted at each failover, leaders that lead only briefly
 * would never drain the machine of an overdue task.
 */
static void a_cancellation_keeps_its_age_across_a_failover(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_job_record decoded;
	cJSON *record;

	record = cancelled_job_record(fixture, 20);
	assert_int_equal(fl_job_record_decode(record, fixture->job->ref, &decoded), 0);
	cJSON_Delete(record);
	assert_true(decoded.final && decoded.has_spec && decoded.status == FL_CANCELLED);
	assert_true(fabs(fl_monotonic_from_wall(decoded.cancelled_wall) - (fl_now() - 20)) < 1);

	/* Records of earlier versions lack the time of the cancellation; it counts from now. */
	assert_true(fabs(fl_monotonic_from_wall(0) - fl_now()) < 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(the_lease_of_a_cancelled_task_is_not_renewed_past_its_deadline),
		NODE_TEST(a_cancellation_read_while_a_heartbeat_waits_is_applied),
		NODE_TEST(a_repeated_heartbeat_is_answered_with_the_stop_command_again),
		NODE_TEST(a_new_leader_does_not_renew_the_lease_of_a_cancelled_task),
		NODE_TEST(a_leader_applies_a_cancellation_from_the_job_record),
		NODE_TEST(no_task_starts_while_a_cancellation_may_be_executed),
		NODE_TEST(a_cancellation_keeps_its_age_across_a_failover),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
