/*
 * Cancellations learned from the other controllers: what a node that cannot read the records knows
 * of them, and for how long it may renew leases by that.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/follower/gossip.h"
#include "coordination/node.h"
#include "node_fixture.h"
#include "protocol/peers.h"
#include "transport/clock.h"

/* One exchange between two controllers, asked so long ago. */
static void exchange_gossip(struct node_fixture *requester, int peer_index,
                            struct node_fixture *replier, double sent_ago_s)
{
	char *request = fl_gossip_request_encode(&requester->node);
	struct fl_http_response response = {0};

	fl_gossip_serve(&replier->node, request, strlen(request), &response);
	assert_int_equal(response.status, 200);
	fl_gossip_handle_reply(&requester->node, &requester->node.peers[peer_index], response.body,
	                       strlen(response.body), fl_now() - sent_ago_s);
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
	struct fl_task_status status = running_task_status(0, 1);
	double renewable_s = lease_renewal_window_s(fixture);

	set_up((void **)&other);
	become_follower(fixture, 2);
	become_follower(other, 2);
	fixture->node.cancellation_watermark = fl_now() - renewable_s - 1;
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 503);

	/* The other has read the records 3 s ago, and a job has been cancelled since. */
	apply_cancellation(other, 1);
	other->node.cancellation_watermark = fl_now() - 3;
	exchange_gossip(fixture, 0, other, 0.01);
	assert_true(fixture->node.cancellation_watermark > fl_now() - 4 &&
	            fixture->node.cancellation_watermark < fl_now() - 3);
	assert_int_equal(send_task_heartbeat(fixture, 1, 21, &status), 200);
	assert_int_equal(stop_commands_in_last_reply, 1);

	/* What has ended needs no stop, and what is not cancelled gets none. */
	status.state = FL_TASK_STATE_EXITED;
	assert_int_equal(send_task_heartbeat(fixture, 1, 22, &status), 200);
	assert_int_equal(stop_commands_in_last_reply, 0);

	status = running_task_status(0, 1);
	strcpy(status.ref, "run-000002");
	assert_int_equal(send_task_heartbeat(fixture, 1, 23, &status), 200);
	assert_int_equal(stop_commands_in_last_reply, 0);
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
	                          .old_watermark = fl_now() - lease_renewal_window_s(fixture) - 1};
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
static void assert_watermark_not_raised(const struct outage *outage, double sent_ago_s)
{
	exchange_gossip(outage->fixture, 1, outage->second_peer, sent_ago_s);
	assert_true(outage->fixture->node.cancellation_watermark <= outage->old_watermark);
}

/* It has learned of more cancellations than a reply has room for. */
static void add_more_cancellations_than_fit(struct node_fixture *fixture)
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
static void gossip_replies_of_all_peers_raise_the_cancellation_watermark(void **state)
{
	struct node_fixture *fixture = *state, *peer;
	struct outage outage;

	begin_outage(&outage, fixture);
	peer = outage.second_peer;
	exchange_gossip(fixture, 0, outage.first_peer, 0.1);
	assert_true(fixture->node.cancellation_watermark <= outage.old_watermark);

	peer->node.live_jobs_loaded = false; /* just restarted: what had it confirmed before? */
	assert_watermark_not_raised(&outage, 0.1);

	peer->node.live_jobs_loaded = true;
	assert_watermark_not_raised(&outage,
	                            2.0); /* suspended between the question and its sending */

	peer->node.cluster.finished_dropped_up_to = fl_now(); /* something learned was dropped */
	assert_watermark_not_raised(&outage, 0.1);

	peer->node.cluster.finished_dropped_up_to = -1e9;
	add_more_cancellations_than_fit(peer);
	assert_watermark_not_raised(&outage, 0.1);

	for (struct fl_finished_job *entry = peer->node.cluster.finished; entry;
	     entry = entry->hh.next)
		/* Older than what the asker knows: not sent again. */
		entry->added_at = outage.old_watermark - 9;

	/* The last one that it learned, and the only one that is sent. */
	fl_finished_job_add(&peer->node.cluster, "run-000001", FL_CANCELLED, 1, fl_now());
	exchange_gossip(fixture, 1, peer, 0.1);

	assert_true(fixture->node.cancellation_watermark > fl_now() - 1 &&
	            fixture->node.cancellation_watermark < fl_now());
	assert_int_equal(HASH_COUNT(fixture->node.cluster.finished), 1);
	assert_int_equal(send_idle_heartbeat(fixture, 1, 20), 200);
	end_outage(&outage);
}

static void gossip_replies_do_not_replace_the_first_read_of_the_job_records(void **state)
{
	struct node_fixture *fixture = *state;
	struct outage outage;

	begin_outage(&outage, fixture);
	fixture->node.live_jobs_loaded = false;

	exchange_gossip(fixture, 0, outage.first_peer, 0.1);
	exchange_gossip(fixture, 1, outage.second_peer, 0.1);

	assert_true(fixture->node.cancellation_watermark <= outage.old_watermark);
	end_outage(&outage);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_controller_learns_cancellations_from_a_peer),
		NODE_TEST(gossip_replies_of_all_peers_raise_the_cancellation_watermark),
		NODE_TEST(gossip_replies_do_not_replace_the_first_read_of_the_job_records),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
