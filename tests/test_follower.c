/*
 * A node that does not lead: the heartbeats that it caches, and what it does with its workers and
 * users when it is disconnected from the key-value store and the other controllers.
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

/* A late copy neither replaces a newer heartbeat in the cache nor makes it look fresh. */
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

/* What passes through the key-value store is the same as in the heartbeat. */
static void a_cached_heartbeat_is_restored_from_its_compact_form(void **state)
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

	/* Hundreds of machines share the writes: twenty must fit into the smallest value. */
	assert_in_range(strlen(text), 1, 150);
	free(text);
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		element = fl_json_parse(malformed[i], strlen(malformed[i]));
		assert_non_null(element);
		assert_int_not_equal(fl_cached_heartbeat_decode(element, &decoded), 0);
		cJSON_Delete(element);
	}
}

/* Refused, the worker would lose seconds of its lease looking for a node that is up. */
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

	/* Another heartbeat has the fencing token read already. */
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

/* The node has reached neither the key-value store nor a peer for so long. */
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

/* As if the workers had come a heartbeat interval earlier. */
static void age_misplaced_workers(struct node_fixture *fixture)
{
	for (struct fl_misplaced_worker *worker = fixture->node.follower.misplaced_workers; worker;
	     worker = worker->hh.next)
		worker->first_seen_at -= fixture->config.report_s;
}

/* The key-value store and the other controllers are unreachable, the workers are not. */
static void an_isolated_node_redirects_its_workers_once(void **state)
{
	struct node_fixture *fixture = *state;
	char first[FL_NAME_MAX], second[FL_NAME_MAX];
	struct fl_heartbeat heartbeat = make_heartbeat(1, 20, FENCING_TOKEN, NULL, 0);

	become_follower(fixture, 4);
	disconnect(fixture, 3);
	assert_true(fl_node_is_isolated(&fixture->node));

	/* One that has come but now may have little left of its lease: it is answered first. */
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	strcpy(heartbeat.host, "m-000002");
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	age_misplaced_workers(fixture);

	/* The second worker goes elsewhere than the first: none of them is known to work. */
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, first), 421);

	strcpy(heartbeat.host, "m-000001");
	assert_int_equal(send_heartbeat(fixture, heartbeat, second), 421);
	assert_true(first[0] && second[0] && strcmp(first, second) != 0);

	/* It reached nobody there and is back within its lease: now the lease is renewed. */
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	/* But only while the proof holds: a cancelled job's tasks must end all the same. */
	disconnect(fixture, fixture->config.cancel_s - fixture->config.lease_s);
	fixture->node.follower.fencing_token_refresh.refreshed_at = fl_now();
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 503);
}

/* Partitioned with its zone, or the only one running: its workers have no other node. */
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

	/* The others ended long before the key-value store failed. */
	disconnect(fixture, 3);
	for (int i = 0; i < 4; i++)
		fixture->node.peers[i].last_response_at -= 20;
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);

	/* An outage of the key-value store with peers in reach is no isolation. */
	fixture->node.peers[2].up = true;
	assert_false(fl_node_is_isolated(&fixture->node));
}

/*
 * Found in an incident: all controllers had ended, and workers that came to one of the first back
 * with the rest of their lease were redirected to their zone's, half a second away.
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

	/* It is back, for whatever reason: it stays. */
	heartbeat.sequence++;
	assert_int_equal(send_heartbeat(fixture, heartbeat, NULL), 200);
}

/* An isolated node refuses its users at once, and is not ready for the load balancer. */
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
		enum fl_user_request kind;
		const char *body;
	} requests[] = {{FL_USER_REQUEST_SUBMIT, job},
	                {FL_USER_REQUEST_STATUS, NULL},
	                {FL_USER_REQUEST_CANCEL, NULL}};
	struct node_fixture *fixture = *state;
	struct fl_http_response response;

	become_follower(fixture, 4);
	assert_int_equal(send_user_request(fixture, FL_USER_REQUEST_READY, NULL, NULL).status, 200);

	disconnect(fixture, 3);
	assert_int_equal(send_user_request(fixture, FL_USER_REQUEST_READY, NULL, NULL).status, 503);
	for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
		/* No coroutine runs here, so that a try to connect would fail the test. */
		response = send_user_request(fixture, requests[i].kind, "run-000001",
		                             requests[i].body);
		assert_int_equal(response.status, 503);
		assert_true(response.retry_after_s > 0 && response.close_connection);
		free(response.body);
	}

	/* What is over is known for good, by any node. */
	fl_finished_job_add(&fixture->node.cluster, "run-000050", FL_DONE, 2, 0);
	response = send_user_request(fixture, FL_USER_REQUEST_STATUS, "run-000050", NULL);
	assert_int_equal(response.status, 200);
	free(response.body);
	response = send_user_request(fixture, FL_USER_REQUEST_CANCEL, "run-000050", NULL);
	assert_int_equal(response.status, 200);
	assert_non_null(strstr(response.body, "\"done\""));
	free(response.body);

	/* Connected again, it is ready. */
	fixture->node.peers[0].up = true;
	fixture->node.kv_store.last_success_sent_at = fl_now() + 1;
	assert_int_equal(send_user_request(fixture, FL_USER_REQUEST_READY, NULL, NULL).status, 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_follower_caches_the_newest_heartbeat),
		NODE_TEST(a_starting_node_renews_leases_once_it_has_the_fencing_token_and_jobs),
		NODE_TEST(a_cached_heartbeat_is_restored_from_its_compact_form),
		NODE_TEST(an_isolated_node_redirects_its_workers_once),
		NODE_TEST(a_node_isolated_with_its_workers_renews_their_leases),
		NODE_TEST(a_worker_is_answered_before_it_is_redirected),
		NODE_TEST(an_isolated_node_rejects_user_requests_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
