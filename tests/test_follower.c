/*
 * A follower: its cache of heartbeats, and its replies to workers and users while it is isolated
 * from the key-value store and all other controllers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/follower/isolation.h"
#include "node_fixture.h"
#include "protocol/heartbeat_digests.h"
#include "transport/clock.h"

/* A stale or duplicate heartbeat neither replaces a newer one in the cache nor refreshes it. */
static void a_follower_caches_the_newest_heartbeat(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status status = running_task_status(0, 1);
	struct fl_cached_heartbeat *cached;
	double received_at;

	become_follower(fixture, 0);
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 200);

	cached = fixture->node.follower.cached_heartbeats;
	assert_non_null(cached);

	cached->cached_at = received_at = fl_now() - 9;
	cached->in_digest = true;
	assert_int_equal(send_idle_heartbeat(fixture, 1, 19), 200);
	assert_int_equal(send_task_heartbeat(fixture, 1, 20, &status), 200);
	assert_true(cached->sequence == 20 && cached->cached_at == received_at &&
	            cached->in_digest);
	assert_int_equal(send_idle_heartbeat(fixture, 2, 3), 200);
	assert_true(cached->incarnation == 2 && cached->sequence == 3 && !cached->in_digest);
}

/* The fields in a digest entry, which passes through the key-value store, decode unchanged. */
static void a_cached_heartbeat_is_restored_from_its_digest_entry(void **state)
{
	static const char *const malformed[] = {"[]",
	                                        "[\"m\",1,2,3,-1]",
	                                        "[\"m\",1,2,-3,-1,[]]",
	                                        "[\"m\",1,2,3,-1,[[\"run-000001\",0,1]]]",
	                                        "[\"m\",1,2,3,-1,[[\"run-000001\",0,1,9]]]",
	                                        "[\"\",1,2,3,-1,[]]",
	                                        "[\"m\",1,2,3,-1,[[\"run-000001\",100000,1,0]]]",
	                                        "{\"m\":1}"};
	struct fl_task_status tasks[2] = {running_task_status(3, 2), running_task_status(1, 1)};
	struct fl_heartbeat heartbeat = make_heartbeat(4, 5, 6, tasks, 2), decoded;
	char *text;
	cJSON *element;

	(void)state;
	tasks[1].state = FL_TASK_STATE_EXITED;
	tasks[1].exit_reason = FL_EXIT_DONE;
	heartbeat.interruption_in_s = 12.5;
	text = fl_cached_heartbeat_encode(&heartbeat);
	element = fl_json_parse(text, strlen(text));
	assert_int_equal(fl_cached_heartbeat_decode(element, &decoded), 0);
	assert_string_equal(decoded.host, heartbeat.host);
	assert_true(decoded.incarnation == 4 && decoded.sequence == 5 &&
	            decoded.fencing_token == 6);
	assert_true(decoded.interruption_in_s == 12.5 && decoded.task_count == 2);
	assert_int_equal(decoded.tasks[0].state, FL_TASK_STATE_RUNNING);
	assert_int_equal(decoded.tasks[0].index, 3);
	assert_int_equal(decoded.tasks[1].exit_reason, FL_EXIT_DONE);
	fl_heartbeat_free(&decoded);
	cJSON_Delete(element);

	/* Hundreds of machines share the writes: 20 entries must fit into the smallest value. */
	assert_in_range(strlen(text), 1, 150);
	free(text);
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		element = fl_json_parse(malformed[i], strlen(malformed[i]));
		assert_non_null(element);
		assert_int_not_equal(fl_cached_heartbeat_decode(element, &decoded), 0);
		cJSON_Delete(element);
	}
}

/* A rejected worker would lose seconds of its lease in search of a node that is up. */
static void a_starting_node_renews_leases_once_it_has_the_fencing_token_and_jobs(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_node *node = &fixture->node;
	struct waiting_heartbeat waiting = {
		.fixture = fixture, .heartbeat = make_heartbeat(1, 20, FENCING_TOKEN, NULL, 0)};

	become_follower(fixture, 0);
	node->cancellation_watermark = -1e9;
	node->live_jobs_loaded = false;
	node->leader_view.fencing_token = 0;

	/* A read of the fencing token for another heartbeat is in flight. */
	node->follower.fencing_token_refresh.in_flight = true;
	send_waiting_heartbeat(&waiting);
	assert_int_equal(waiting.status, 0);

	node->leader_view.fencing_token = FENCING_TOKEN;
	node->follower.fencing_token_refresh.in_flight = false;
	fl_condition_broadcast(&node->follower.fencing_token_refresh.completed);
	run_waiting_heartbeat(&waiting);
	assert_int_equal(waiting.status, 0);

	node->cancellation_watermark = fl_now();
	node->live_jobs_loaded = true;
	fl_condition_broadcast(&node->jobs_listed);
	run_waiting_heartbeat(&waiting);
	assert_int_equal(waiting.status, 200);
	end_waiting_heartbeat(&waiting);
}

/* Sets the last contact with the key-value store and all peers to `duration_s` ago. */
static void disconnect(struct node_fixture *fixture, double duration_s)
{
	double now = fl_now();

	fixture->node.kv_store.last_success_sent_at = now - duration_s;
	fixture->node.kv_store.last_failure_at = now;
	for (int i = 0; i < fixture->node.peer_count; i++) {
		fixture->node.peers[i].up = false;
		fixture->node.peers[i].last_response_at = now - duration_s;
	}
	fixture->node.api.last_readiness_probe_at = now;
	fixture->node.leader_view.confirmed_at = fixture->node.cancellation_watermark =
		now - duration_s;
}

/* Moves the first heartbeat of all misplaced workers one heartbeat interval into the past. */
static void age_misplaced_workers(struct node_fixture *fixture)
{
	for (struct fl_misplaced_worker *worker = fixture->node.follower.misplaced_workers; worker;
	     worker = worker->hh.next)
		worker->first_seen_at -= fixture->config.report_s;
}

/* The node reaches neither the key-value store nor another controller, but its workers reach it. */
static void an_isolated_node_redirects_its_workers_once(void **state)
{
	struct node_fixture *fixture = *state;
	char first[FL_NAME_MAX], second[FL_NAME_MAX];
	struct fl_heartbeat heartbeat = make_heartbeat(1, 20, FENCING_TOKEN, NULL, 0);

	become_follower(fixture, 4);
	disconnect(fixture, 3);
	assert_true(fl_node_is_isolated(&fixture->node));

	/* The lease of a worker that has just arrived may end soon, so it is renewed at first. */
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	strcpy(heartbeat.host, "m-000002");
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	age_misplaced_workers(fixture);

	/* The workers are redirected to different peers, since no peer is known to be up. */
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, first), 421);

	strcpy(heartbeat.host, "m-000001");
	assert_int_equal(send_heartbeat(fixture, heartbeat, second), 421);
	assert_true(first[0] && second[0] && strcmp(first, second) != 0);

	/* The worker is back within its lease, since the peer was down: its lease is renewed. */
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	/*
	 * With an old cancellation watermark the lease is not renewed, since the tasks of cancelled
	 * jobs must end in time.
	 */
	disconnect(fixture, fixture->config.cancel_s - fixture->config.lease_s);
	fixture->node.follower.fencing_token_refresh.refreshed_at = fl_now();
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 503);
}

/* If a node is partitioned with its zone, or the only one up, its workers reach no other node. */
static void a_node_isolated_with_its_workers_renews_their_leases(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_heartbeat heartbeat = make_heartbeat(1, 20, FENCING_TOKEN, NULL, 0);

	become_follower(fixture, 4);
	disconnect(fixture, 3);
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	age_misplaced_workers(fixture);
	fixture->node.api.last_readiness_probe_at = fl_now() - 10;
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	/* The peers became unreachable long before the key-value store. */
	disconnect(fixture, 3);
	for (int i = 0; i < 4; i++)
		fixture->node.peers[i].last_response_at -= 20;
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	/* A node that reaches a peer is not isolated by an outage of the key-value store. */
	fixture->node.peers[2].up = true;
	assert_false(fl_node_is_isolated(&fixture->node));
}

/*
 * Guards against leases that expire during a redirect: after an outage of all controllers, workers
 * with little of their lease left reached one of the first controllers that were up again, and the
 * redirect to the controller of their own zone took another half second.
 */
static void a_worker_is_answered_before_it_is_redirected(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_heartbeat heartbeat = make_heartbeat(1, 20, FENCING_TOKEN, NULL, 0);
	char to[FL_NAME_MAX];

	become_follower(fixture, 1);
	strcpy(heartbeat.zone, "b");
	strcpy(fixture->node.leader_view.leader, "n9");
	fixture->node.peers[0].up = true;
	fixture->node.peers[0].up_since = fl_now() - 5;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	age_misplaced_workers(fixture);
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, to), 421);
	assert_string_equal(to, "n1");

	/* A worker that returns after a redirect is served here. */
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);
}

/* An isolated node rejects its users' requests, and reports to the load balancer as not ready. */
static void an_isolated_node_rejects_user_requests_at_once(void **state)
{
	static const char job[] =
		"{\"Ref\":\"run-000099\",\"JobClass\":\"c\",\"Owner\":\"team\",\"JobKind\":"
		"\"sweep\","
		"\"Tier\":\"standard\",\"Parts\":1,\"Vcpus\":1,\"Accelerators\":0,\"RamGb\":1,"
		"\"Bundle\":\"i\",\"ImageGb\":1,\"HostKinds\":null,\"Site\":null,\"Together\":"
		"false,"
		"\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":1,\"SnapshotEveryS\":0,"
		"\"SnapshotCostS\":0,\"DueS\":null}";
	static const struct {
		enum fl_request_kind kind;
		const char *body;
	} requests[] = {
		{FL_REQUEST_SUBMIT, job}, {FL_REQUEST_STATUS, NULL}, {FL_REQUEST_CANCEL, NULL}};
	struct node_fixture *fixture = *state;
	struct fl_http_response response;

	become_follower(fixture, 4);
	assert_int_equal(send_client_request(fixture, FL_REQUEST_READY, NULL, NULL).status, 200);

	disconnect(fixture, 3);
	assert_int_equal(send_client_request(fixture, FL_REQUEST_READY, NULL, NULL).status, 503);
	for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
		/* This is not a coroutine, so an attempt to connect would fail the test. */
		response = send_client_request(fixture, requests[i].kind, "run-000001",
		                               requests[i].body);
		assert_int_equal(response.status, 503);
		assert_true(response.retry_after_s > 0 && response.close_connection);
		free(response.body);
	}

	/* The status of a finished job is final, so any node can report it. */
	fl_finished_job_add(&fixture->node.cluster, "run-000050", FL_DONE, 2, 0);
	response = send_client_request(fixture, FL_REQUEST_STATUS, "run-000050", NULL);
	assert_int_equal(response.status, 200);
	free(response.body);
	response = send_client_request(fixture, FL_REQUEST_CANCEL, "run-000050", NULL);
	assert_int_equal(response.status, 200);
	assert_non_null(strstr(response.body, "\"done\""));
	free(response.body);

	/* The node is ready again once it is connected. */
	fixture->node.peers[0].up = true;
	fixture->node.kv_store.last_success_sent_at = fl_now() + 1;
	assert_int_equal(send_client_request(fixture, FL_REQUEST_READY, NULL, NULL).status, 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_follower_caches_the_newest_heartbeat),
		NODE_TEST(a_starting_node_renews_leases_once_it_has_the_fencing_token_and_jobs),
		NODE_TEST(a_cached_heartbeat_is_restored_from_its_digest_entry),
		NODE_TEST(an_isolated_node_redirects_its_workers_once),
		NODE_TEST(a_node_isolated_with_its_workers_renews_their_leases),
		NODE_TEST(a_worker_is_answered_before_it_is_redirected),
		NODE_TEST(an_isolated_node_rejects_user_requests_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
