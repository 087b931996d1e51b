/*
 * Cancellations learned from other controllers: a node that cannot read the job records learns of
 * them by gossip, and may renew leases for as long as its cancellation watermark is recent.
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

/* Exchanges gossip between two controllers; the request was sent `sent_ago_s` ago. */
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
 * A node without access to the key-value store learns of cancellations from a peer. It then stops
 * the task with the same reply that renews the lease.
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

	/* The peer read the job records 3 s ago, and has learned of a cancellation since. */
	apply_cancellation(other, 1);
	other->node.cancellation_watermark = fl_now() - 3;
	exchange_gossip(fixture, 0, other, 0.01);
	assert_true(fixture->node.cancellation_watermark > fl_now() - 4 &&
	            fixture->node.cancellation_watermark < fl_now() - 3);
	assert_int_equal(send_task_heartbeat(fixture, 1, 21, &status), 200);
	assert_int_equal(stop_commands_in_last_reply, 1);

	/* A task that has ended or whose job is not cancelled gets no stop command. */
	status.state = FL_TASK_STATE_EXITED;
	assert_int_equal(send_task_heartbeat(fixture, 1, 22, &status), 200);
	assert_int_equal(stop_commands_in_last_reply, 0);

	status = running_task_status(0, 1);
	strcpy(status.ref, "run-000002");
	assert_int_equal(send_task_heartbeat(fixture, 1, 23, &status), 200);
	assert_int_equal(stop_commands_in_last_reply, 0);
	tear_down((void **)&other);
}

/* Three followers that have not read the job records for so long that they renew no leases. */
struct outage {
	struct node_fixture *fixture, *first_peer, *second_peer;
	double old_watermark; /* of all three; monotonic clock, s */
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

/* Exchanges gossip with the second peer; its reply must not raise the watermark. */
static void assert_watermark_not_raised(const struct outage *outage, double sent_ago_s)
{
	exchange_gossip(outage->fixture, 1, outage->second_peer, sent_ago_s);
	assert_true(outage->fixture->node.cancellation_watermark <= outage->old_watermark);
}

/* Adds more cancellations than fit into one reply. */
static void add_more_cancellations_than_fit(struct node_fixture *fixture)
{
	for (int i = 0; i <= FL_GOSSIP_CANCELLED_MAX; i++) {
		char ref[FL_REF_MAX];

		snprintf(ref, sizeof(ref), "run-%06d", 1000 + i);
		fl_finished_job_add(&fixture->node.cluster, ref, FL_CANCELLED, 1, fl_now());
	}
}

/*
 * During an outage no controller can read the job records. But only a controller that has learned
 * of a cancellation confirms it to a user, so once all peers have replied, the time of the oldest
 * request counts as the time of a read. This does not hold if a peer does not reply or replies too
 * late, has not read the records since its start, or has more cancellations than fit into a reply.
 */
static void gossip_replies_of_all_peers_raise_the_cancellation_watermark(void **state)
{
	struct node_fixture *fixture = *state, *peer;
	struct outage outage;

	begin_outage(&outage, fixture);
	peer = outage.second_peer;
	exchange_gossip(fixture, 0, outage.first_peer, 0.1);
	assert_true(fixture->node.cancellation_watermark <= outage.old_watermark);

	/* The peer has just restarted: its earlier process may have confirmed a cancellation. */
	peer->node.live_jobs_loaded = false;
	assert_watermark_not_raised(&outage, 0.1);

	peer->node.live_jobs_loaded = true;

	/* The reply is too late: this node was suspended during the exchange. */
	assert_watermark_not_raised(&outage, 2.0);

	/* The peer has dropped cancellations that it had learned of. */
	peer->node.cluster.finished_dropped_up_to = fl_now();
	assert_watermark_not_raised(&outage, 0.1);

	peer->node.cluster.finished_dropped_up_to = -1e9;
	add_more_cancellations_than_fit(peer);
	assert_watermark_not_raised(&outage, 0.1);

	for (struct fl_finished_job *entry = peer->node.cluster.finished; entry;
	     entry = entry->hh.next)
		/* Older than the requester's watermark, so not sent again. */
		entry->added_at = outage.old_watermark - 9;

	/* Only this cancellation, which the peer learned last, is sent. */
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
