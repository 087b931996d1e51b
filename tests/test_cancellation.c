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

#include "coordination/persistence/record_writer.h"
#include "coordination/persistence/job_record_refresh.h"
#include "node_fixture.h"
#include "transport/clock.h"

/* For so long after a cancellation leases may be renewed: one more then ends in time. */
static double renewable_time(const struct node_fixture *fixture)
{
	return fixture->config.cancel_s - fixture->config.lease_s - 1;
}

/*
 * Found with controllers eight times slower: nobody led for long enough to stop anything, and all
 * renewed leases of cancelled tasks past the time in which these must have ended.
 */
static void the_lease_of_a_cancelled_task_is_not_renewed_past_its_deadline(void **state)
{
	struct node_fixture *fixture = *state;
	double renewable_s = renewable_time(fixture);
	struct fl_task_status status = running_task(0, 1);
	struct fl_finished_job *final;

	become_follower(fixture, 0);

	/* One more lease still ends before the tasks must have ended. */
	apply_cancellation(fixture, renewable_s - 2);
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 200);

	final = fl_finished_job_find(&fixture->node.cluster, status.ref);
	assert_non_null(final);

	final->cancelled_at -= 3;
	assert_int_equal(send_task_heartbeat(fixture, 1, 21, &status), 503);

	/* Others are renewed, and so is this one when the task has ended. */
	strcpy(status.ref, "run-000002");
	assert_int_equal(send_task_heartbeat(fixture, 1, 22, &status), 200);

	strcpy(status.ref, "run-000001");
	status.state = FL_TASK_STATE_EXITED;
	assert_int_equal(send_task_heartbeat(fixture, 1, 23, &status), 200);

	/* With the jobs not read for so long, any may have been cancelled. */
	fixture->node.cancellation_watermark = fl_now() - renewable_s - 1;
	fixture->node.jobs_known = true;
	assert_int_equal(send_idle_heartbeat(fixture, 1, 24), 503);
}

/* One exchange between two controllers, asked so long ago. */
static void gossip(struct node_fixture *from, int peer_index, struct node_fixture *to, double ago_s)
{
	char *request = fl_gossip_request(&from->node);
	struct fl_http_response response = {0};

	fl_gossip_serve(&to->node, request, strlen(request), &response);
	assert_int_equal(response.status, 200);
	fl_gossip_handle_reply(&from->node, &from->node.peers[peer_index], response.body,
	                       strlen(response.body), fl_now() - ago_s);
	free(response.body);
	free(request);
}

/*
 * A node that the key-value store refuses learns from another what has been cancelled, so it knows
 * as much as that one, and stops the task with the same answer that renews the lease.
 */
static void a_controller_learns_cancellations_from_a_peer(void **state)
{
	struct node_fixture *fixture = *state, *other;
	struct fl_task_status status = running_task(0, 1);
	double renewable_s = renewable_time(fixture);

	set_up((void **)&other);
	become_follower(fixture, 2);
	become_follower(other, 2);
	fixture->node.cancellation_watermark = fl_now() - renewable_s - 1;
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 503);

	/* The other has read the records 3 s ago, and a job has been cancelled since. */
	apply_cancellation(other, 1);
	other->node.cancellation_watermark = fl_now() - 3;
	gossip(fixture, 0, other, 0.01);
	assert_true(fixture->node.cancellation_watermark > fl_now() - 4 &&
	            fixture->node.cancellation_watermark < fl_now() - 3);
	assert_int_equal(send_task_heartbeat(fixture, 1, 21, &status), 200);
	assert_int_equal(stop_commands_in_reply, 1);

	/* What has ended needs no stop, and what is not cancelled gets none. */
	status.state = FL_TASK_STATE_EXITED;
	assert_int_equal(send_task_heartbeat(fixture, 1, 22, &status), 200);
	assert_int_equal(stop_commands_in_reply, 0);

	status = running_task(0, 1);
	strcpy(status.ref, "run-000002");
	assert_int_equal(send_task_heartbeat(fixture, 1, 23, &status), 200);
	assert_int_equal(stop_commands_in_reply, 0);
	tear_down((void **)&other);
}

/* Three followers that have not read for so long that they may renew no lease. */
struct outage {
	struct node_fixture *fixture, *first_peer, *second_peer;
	double old_watermark;
};

static void begin_outage(struct outage *outage, struct node_fixture *fixture)
{
	*outage = (struct outage){.fixture = fixture,
	                          .old_watermark = fl_now() - renewable_time(fixture) - 1};
	set_up((void **)&outage->first_peer);
	set_up((void **)&outage->second_peer);
	become_follower(fixture, 2);
	become_follower(outage->first_peer, 2);
	become_follower(outage->second_peer, 2);
	fixture->node.cancellation_watermark = outage->first_peer->node.cancellation_watermark =
		outage->second_peer->node.cancellation_watermark = outage->old_watermark;
}

static void end_outage(struct outage *outage)
{
	tear_down((void **)&outage->first_peer);
	tear_down((void **)&outage->second_peer);
}

/* The second peer is asked, and what it replies is not enough. */
static void assert_no_progress(const struct outage *outage, double ago_s)
{
	gossip(outage->fixture, 1, outage->second_peer, ago_s);
	assert_true(outage->fixture->node.cancellation_watermark <= outage->old_watermark);
}

/* It has learned of more cancellations than a reply has room for. */
static void learn_too_many_cancellations(struct node_fixture *fixture)
{
	for (int i = 0; i <= FL_GOSSIP_CANCELLED_MAX; i++) {
		char ref[FL_REF_MAX];

		snprintf(ref, sizeof(ref), "run-%06d", 1000 + i);
		fl_finished_job_add(&fixture->node.cluster, ref, FL_CANCELLED, 1, fl_now());
	}
}

/*
 * In an outage nobody can read. But no user gets a cancellation confirmed except by a controller
 * that has learned of it: when all have answered, the oldest question counts like a read. One that
 * is silent, has not read since it started, knows more than fits, or answers too late ends that.
 */
static void gossip_replies_of_all_peers_advance_the_cancellation_watermark(void **state)
{
	struct node_fixture *fixture = *state, *peer;
	struct outage outage;

	begin_outage(&outage, fixture);
	peer = outage.second_peer;
	gossip(fixture, 0, outage.first_peer, 0.1);
	assert_true(fixture->node.cancellation_watermark <= outage.old_watermark);

	peer->node.jobs_known = false; /* just restarted: what had it confirmed before? */
	assert_no_progress(&outage, 0.1);

	peer->node.jobs_known = true;
	assert_no_progress(&outage, 2.0); /* suspended between the question and its sending */

	peer->node.cluster.finished_dropped_at = fl_now(); /* something learned was dropped */
	assert_no_progress(&outage, 0.1);

	peer->node.cluster.finished_dropped_at = -1e9;
	learn_too_many_cancellations(peer);
	assert_no_progress(&outage, 0.1);

	for (struct fl_finished_job *entry = peer->node.cluster.finished; entry;
	     entry = entry->hh.next)
		/* Older than what the asker knows: not sent again. */
		entry->learned_at = outage.old_watermark - 9;

	/* The last one that it learned, and the only one that is sent. */
	fl_finished_job_add(&peer->node.cluster, "run-000001", FL_CANCELLED, 1, fl_now());
	gossip(fixture, 1, peer, 0.1);

	assert_true(fixture->node.cancellation_watermark > fl_now() - 1 &&
	            fixture->node.cancellation_watermark < fl_now());
	assert_int_equal(HASH_COUNT(fixture->node.cluster.finished), 1);
	assert_int_equal(send_idle_heartbeat(fixture, 1, 20), 200);
	end_outage(&outage);
}

static void gossip_replies_do_not_replace_the_first_read_of_a_node(void **state)
{
	struct node_fixture *fixture = *state;
	struct outage outage;

	begin_outage(&outage, fixture);
	fixture->node.jobs_known = false;

	gossip(fixture, 0, outage.first_peer, 0.1);
	gossip(fixture, 1, outage.second_peer, 0.1);

	assert_true(fixture->node.cancellation_watermark <= outage.old_watermark);
	end_outage(&outage);
}

/* Forwarded on two paths, only the second answer reached the worker, and it was empty. */
static void a_repeated_heartbeat_is_answered_with_the_stop_command_again(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	cJSON *record = cancelled_record(fixture, 1);

	deliver_idle_heartbeat(fixture, 1, 1);
	status.attempt = place_task(fixture, 0)->attempt;
	assert_non_null(
		fl_cluster_apply_job_record(&fixture->node.cluster, fixture->job->ref, record, 9));
	cJSON_Delete(record);
	for (int i = 0; i < 2; i++) {
		assert_int_equal(send_task_heartbeat(fixture, 1, 2, &status), 200);
		assert_int_equal(stop_commands_in_reply, 1);
	}
}

/*
 * Found with slow controllers that had all ended: the heartbeat came before the list of jobs,
 * waited for it, and was answered by what had been known before the wait.
 */
static void a_cancellation_read_while_a_heartbeat_waits_is_applied(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	struct waiting_heartbeat waiting = {
		.fixture = fixture, .heartbeat = make_heartbeat(1, 20, FENCING_TOKEN, &status, 1)};

	become_follower(fixture, 0);
	fixture->node.cancellation_watermark = -1e9;
	fixture->node.jobs_known = false;
	send_waiting_heartbeat(&waiting);
	assert_int_equal(waiting.status, 0);

	apply_cancellation(fixture, fixture->config.cancel_s - fixture->config.lease_s + 1);
	fixture->node.cancellation_watermark = fl_now();
	fixture->node.jobs_known = true;
	fl_condition_broadcast(&fixture->node.jobs_listed);
	run_waiting_heartbeat(&waiting);

	assert_int_equal(waiting.status, 503);
	end_waiting_heartbeat(&waiting);
}

/* A new leader answers its first heartbeats without applying them, and renews no such lease. */
static void a_new_leader_does_not_renew_the_lease_of_a_cancelled_task(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task(0, 1);
	double renewable_s = renewable_time(fixture);

	fixture->node.cluster.leading = false;
	apply_cancellation(fixture, renewable_s + 2);
	become_leader(fixture, FENCING_TOKEN + 1);
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 503);

	/* One that is taken in has its task stopped, and the answer may renew the lease. */
	assert_int_equal(
		send_heartbeat(fixture, make_heartbeat(1, 21, FENCING_TOKEN + 1, &status, 1), NULL),
		200);
	assert_int_equal(
		send_heartbeat(fixture, make_heartbeat(1, 21, FENCING_TOKEN + 1, &status, 1), NULL),
		503);
}

/*
 * Found with controllers eight times slower: the write of a cancellation went unanswered, and the
 * leader, which took the record for its own earlier write, did not stop the job that it had
 * confirmed.
 */
static void a_leader_learns_of_a_cancellation_from_the_record(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_finished_job *final;
	struct fl_job_record decoded;
	cJSON *record;

	fixture->job->record.final_write_unknown = true;
	record = cancelled_record(fixture, 3);
	assert_int_equal(fl_job_record_decode(record, fixture->job->ref, &decoded), 0);

	fl_job_record_refresh_apply(&fixture->node, fixture->job, &decoded, 9);
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
static void a_cancellation_keeps_its_age_across_a_failover(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_job_record decoded;
	cJSON *record;

	record = cancelled_record(fixture, 20);
	assert_int_equal(fl_job_record_decode(record, fixture->job->ref, &decoded), 0);
	cJSON_Delete(record);
	assert_true(decoded.final && decoded.has_spec && decoded.status == FL_CANCELLED);
	assert_true(fabs(fl_since(decoded.cancelled_wall) - (fl_now() - 20)) < 1);

	/* Records of earlier versions do not say: they count from now. */
	assert_true(fabs(fl_since(0) - fl_now()) < 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(the_lease_of_a_cancelled_task_is_not_renewed_past_its_deadline),
		NODE_TEST(a_cancellation_read_while_a_heartbeat_waits_is_applied),
		NODE_TEST(a_controller_learns_cancellations_from_a_peer),
		NODE_TEST(gossip_replies_of_all_peers_advance_the_cancellation_watermark),
		NODE_TEST(gossip_replies_do_not_replace_the_first_read_of_a_node),
		NODE_TEST(a_repeated_heartbeat_is_answered_with_the_stop_command_again),
		NODE_TEST(a_new_leader_does_not_renew_the_lease_of_a_cancelled_task),
		NODE_TEST(a_leader_learns_of_a_cancellation_from_the_record),
		NODE_TEST(a_cancellation_keeps_its_age_across_a_failover),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
