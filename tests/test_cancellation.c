/*
 * Cancelled jobs: their tasks end in bounded time, whichever controllers are reachable, since no
 * lease of a worker is renewed by a node that cannot exclude a cancellation.
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

#include "coordination/follower/gossip.h"
#include "coordination/persistence/record_writer.h"
#include "coordination/persistence/job_record_refresh.h"
#include "node_fixture.h"
#include "protocol/peers.h"
#include "transport/clock.h"

/*
 * Found with controllers eight times slower: nobody led for long enough to stop anything, and all
 * renewed leases of cancelled tasks past the time in which these must have ended.
 */
static void the_lease_of_a_cancelled_task_is_not_renewed_past_its_deadline(void **state)
{
	struct fixture *fixture = *state;
	double renewable_s = fixture->config.cancel_s - fixture->config.lease_s - 1;
	struct fl_task_status status = running_task(0, 1);
	struct fl_finished_job *final;

	become_follower(fixture, 0);
	/* One more lease still ends before the tasks must have ended. */
	apply_cancellation(fixture, renewable_s - 2);
	assert_int_equal(send_report(fixture, make_report(1, 20, EPOCH, &status, 1), NULL), 200);
	final = fl_finished_job_find(&fixture->node.cluster, status.ref);
	assert_non_null(final);
	final->cancelled_at -= 3;
	assert_int_equal(send_report(fixture, make_report(1, 21, EPOCH, &status, 1), NULL), 503);
	/* Others are renewed, and so is this one when the task has ended. */
	strcpy(status.ref, "run-000002");
	assert_int_equal(send_report(fixture, make_report(1, 22, EPOCH, &status, 1), NULL), 200);
	strcpy(status.ref, "run-000001");
	status.state = FL_TASK_STATE_EXITED;
	assert_int_equal(send_report(fixture, make_report(1, 23, EPOCH, &status, 1), NULL), 200);
	/* With the jobs not read for so long, any may have been cancelled. */
	fixture->node.cancellation_watermark = fl_now() - renewable_s - 1;
	fixture->node.jobs_known = true;
	assert_int_equal(send_report(fixture, make_report(1, 24, EPOCH, NULL, 0), NULL), 503);
}

/* One exchange between two controllers, asked so long ago. */
static void gossip(struct fixture *from, int peer, struct fixture *to, double ago_s)
{
	char *ask = fl_gossip_request(&from->node);
	struct fl_http_response response = {0};

	fl_gossip_serve(&to->node, ask, strlen(ask), &response);
	assert_int_equal(response.status, 200);
	fl_gossip_handle_reply(&from->node, &from->node.peers[peer], response.body,
	                       strlen(response.body), fl_now() - ago_s);
	free(response.body);
	free(ask);
}

/*
 * A node that the state service refuses learns from another what has been cancelled, so it knows as
 * much as that one, and stops the task with the same answer that renews the lease.
 */
static void a_controller_learns_cancellations_from_another(void **state)
{
	struct fixture *fixture = *state, *other;
	struct fl_task_status status = running_task(0, 1);
	double renewable_s = fixture->config.cancel_s - fixture->config.lease_s - 1;

	set_up((void **)&other);
	become_follower(fixture, 2);
	become_follower(other, 2);
	fixture->node.cancellation_watermark = fl_now() - renewable_s - 1;
	assert_int_equal(send_report(fixture, make_report(1, 20, EPOCH, &status, 1), NULL), 503);
	/* The other has read the records 3 s ago, and a job has been cancelled since. */
	apply_cancellation(other, 1);
	other->node.cancellation_watermark = fl_now() - 3;
	gossip(fixture, 0, other, 0.01);
	assert_true(fixture->node.cancellation_watermark > fl_now() - 4 &&
	            fixture->node.cancellation_watermark < fl_now() - 3);
	assert_int_equal(send_report(fixture, make_report(1, 21, EPOCH, &status, 1), NULL), 200);
	assert_int_equal(kills_in_answer, 1);
	/* What has ended needs no stop, and what is not cancelled gets none. */
	status.state = FL_TASK_STATE_EXITED;
	assert_int_equal(send_report(fixture, make_report(1, 22, EPOCH, &status, 1), NULL), 200);
	assert_int_equal(kills_in_answer, 0);
	status = running_task(0, 1);
	strcpy(status.ref, "run-000002");
	assert_int_equal(send_report(fixture, make_report(1, 23, EPOCH, &status, 1), NULL), 200);
	assert_int_equal(kills_in_answer, 0);
	tear_down((void **)&other);
}

/*
 * In an outage nobody can read. But no user gets a cancellation confirmed except by a controller
 * that has learned of it: when all have answered, the oldest question counts like a read. One that
 * is silent, has not read since it started, knows more than fits, or answers too late ends that.
 */
static void answers_of_all_controllers_replace_a_read(void **state)
{
	struct fixture *fixture = *state, *a, *b;
	double renewable_s = fixture->config.cancel_s - fixture->config.lease_s - 1, old;

	set_up((void **)&a);
	set_up((void **)&b);
	become_follower(fixture, 2);
	become_follower(a, 2);
	become_follower(b, 2);
	old = fixture->node.cancellation_watermark = a->node.cancellation_watermark =
		b->node.cancellation_watermark = fl_now() - renewable_s - 1;
	gossip(fixture, 0, a, 0.1);
	assert_true(fixture->node.cancellation_watermark <= old);
	b->node.jobs_known = false; /* just restarted: what had it confirmed before? */
	gossip(fixture, 1, b, 0.1);
	assert_true(fixture->node.cancellation_watermark <= old);
	b->node.jobs_known = true;
	gossip(fixture, 1, b, 2.0); /* it was suspended between the question and its sending */
	assert_true(fixture->node.cancellation_watermark <= old);
	b->node.cluster.finished_dropped_at = fl_now(); /* something learned was dropped */
	gossip(fixture, 1, b, 0.1);
	assert_true(fixture->node.cancellation_watermark <= old);
	b->node.cluster.finished_dropped_at = -1e9;
	for (int i = 0; i <= FL_GOSSIP_CANCELLED_MAX; i++) {
		char ref[FL_REF_MAX];

		snprintf(ref, sizeof(ref), "run-%06d", 1000 + i);
		fl_finished_job_add(&b->node.cluster, ref, FL_CANCELLED, 1, fl_now());
	}
	gossip(fixture, 1, b, 0.1);
	assert_true(fixture->node.cancellation_watermark <= old);
	for (struct fl_finished_job *entry = b->node.cluster.finished; entry;
	     entry = entry->hh.next)
		entry->learned_at = old - 9; /* older than what the asker knows: not sent again */
	/* The last one that it learned, and the only one that is sent. */
	fl_finished_job_add(&b->node.cluster, "run-000001", FL_CANCELLED, 1, fl_now());
	gossip(fixture, 1, b, 0.1);
	assert_true(fixture->node.cancellation_watermark > fl_now() - 1 &&
	            fixture->node.cancellation_watermark < fl_now());
	assert_int_equal(HASH_COUNT(fixture->node.cluster.finished), 1);
	assert_int_equal(send_report(fixture, make_report(1, 20, EPOCH, NULL, 0), NULL), 200);
	/* This node itself has not read since it started. */
	fixture->node.cancellation_watermark = old;
	fixture->node.jobs_known = false;
	gossip(fixture, 0, a, 0.1);
	gossip(fixture, 1, b, 0.1);
	assert_true(fixture->node.cancellation_watermark <= old);
	tear_down((void **)&a);
	tear_down((void **)&b);
}

/* Relayed on two paths, only the second answer reached the worker, and it was empty. */
static void a_repeated_report_is_answered_with_the_stop_again(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	cJSON *record = cancelled_record(fixture, 1);

	deliver_report(fixture, make_report(1, 1, EPOCH, NULL, 0), FL_HEARTBEAT_FROM_WORKER);
	status.attempt = place_task(fixture, 0)->attempt;
	assert_non_null(
		fl_cluster_apply_job_record(&fixture->node.cluster, fixture->job->ref, record, 9));
	cJSON_Delete(record);
	for (int i = 0; i < 2; i++) {
		assert_int_equal(send_report(fixture, make_report(1, 2, EPOCH, &status, 1), NULL),
		                 200);
		assert_int_equal(kills_in_answer, 1);
	}
}

struct waiting_report {
	struct fixture *fixture;
	struct fl_heartbeat report;
	int status;
};

static void send_and_wait(void *arg)
{
	struct waiting_report *waiting = arg;

	waiting->status = send_report(waiting->fixture, waiting->report, NULL);
}

/*
 * Found with slow controllers that had all ended: the report came before the list of jobs, waited
 * for it, and was answered by what had been known before the wait.
 */
static void a_cancellation_read_during_a_wait_counts(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	struct waiting_report waiting = {.fixture = fixture,
	                                 .report = make_report(1, 20, EPOCH, &status, 1)};
	struct ev_loop *loop = ev_loop_new(0);

	fl_coroutines_init(loop);
	become_follower(fixture, 0);
	fixture->node.cancellation_watermark = -1e9;
	fixture->node.jobs_known = false;
	assert_non_null(fl_coroutine_spawn(send_and_wait, &waiting));
	ev_run(loop, EVRUN_NOWAIT);
	assert_int_equal(waiting.status, 0);
	apply_cancellation(fixture, fixture->config.cancel_s - fixture->config.lease_s + 1);
	fixture->node.cancellation_watermark = fl_now();
	fixture->node.jobs_known = true;
	fl_condition_broadcast(&fixture->node.jobs_listed);
	ev_run(loop, EVRUN_NOWAIT);
	assert_int_equal(waiting.status, 503);
	fl_coroutines_shutdown();
	ev_loop_destroy(loop);
}

/* A new leader answers its first reports without applying them, and renews no such lease. */
static void a_new_leader_does_not_renew_it_either(void **state)
{
	struct fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	double renewable_s = fixture->config.cancel_s - fixture->config.lease_s - 1;

	fixture->node.cluster.leading = false;
	apply_cancellation(fixture, renewable_s + 2);
	become_leader(fixture, EPOCH + 1);
	assert_int_equal(send_report(fixture, make_report(1, 20, EPOCH, &status, 1), NULL), 503);
	/* One that is taken in has its task stopped, and the answer may renew the lease. */
	assert_int_equal(send_report(fixture, make_report(1, 21, EPOCH + 1, &status, 1), NULL),
	                 200);
	assert_int_equal(send_report(fixture, make_report(1, 21, EPOCH + 1, &status, 1), NULL),
	                 503);
}

/*
 * Found with controllers eight times slower: the write of a cancellation went unanswered, and the
 * leader, which took the record for its own earlier write, did not stop the job that it had
 * confirmed.
 */
static void a_leader_learns_of_a_cancellation_from_the_record(void **state)
{
	struct fixture *fixture = *state;
	struct fl_finished_job *final;
	struct fl_job_record rec;
	cJSON *record;

	fixture->job->record.final_write_unknown = true;
	record = cancelled_record(fixture, 3);
	assert_int_equal(fl_job_record_decode(record, fixture->job->ref, &rec), 0);
	fl_job_record_refresh_apply(&fixture->node, fixture->job, &rec, 9);
	assert_true(fixture->job->cancelled && !fixture->job->record.final_write_unknown &&
	            fixture->job->record.mod_revision == 9);
	/* Or while it still loads its cluster state, and its lease may be another's already. */
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

/* A new leader continues the count: else one that leads briefly would never expire a machine. */
static void a_cancellation_keeps_its_age_across_a_takeover(void **state)
{
	struct fixture *fixture = *state;
	struct fl_job_record rec;
	cJSON *record;

	record = cancelled_record(fixture, 20);
	assert_int_equal(fl_job_record_decode(record, fixture->job->ref, &rec), 0);
	cJSON_Delete(record);
	assert_true(rec.final && rec.has_spec && rec.status == FL_CANCELLED);
	assert_true(fabs(fl_since(rec.cancelled_wall) - (fl_now() - 20)) < 1);
	/* Records of earlier versions do not say: they count from now. */
	assert_true(fabs(fl_since(0) - fl_now()) < 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(the_lease_of_a_cancelled_task_is_not_renewed_past_its_deadline),
		NODE_TEST(a_cancellation_read_during_a_wait_counts),
		NODE_TEST(a_controller_learns_cancellations_from_another),
		NODE_TEST(answers_of_all_controllers_replace_a_read),
		NODE_TEST(a_repeated_report_is_answered_with_the_stop_again),
		NODE_TEST(a_new_leader_does_not_renew_it_either),
		NODE_TEST(a_leader_learns_of_a_cancellation_from_the_record),
		NODE_TEST(a_cancellation_keeps_its_age_across_a_takeover),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
