/*
 * Forwarding of workers' heartbeats from a follower to the leader: the number of messages, that
 * each worker gets the reply to its own heartbeat, and that no worker reaches its timeout while the
 * leader stalls. Time is virtual, and the test defines fl_http_call() itself.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "protocol/peer_heartbeats.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

enum { WORKERS = 300, FENCING_TOKEN = 4, TASKS_MAX = 3000 };
static const double one_way_latency_s = 0.005;
static const double worker_timeout_s = 4; /* maximum wait of a worker for a reply */

static struct {
	struct fl_node follower, third, leader;
	struct fl_config follower_config, third_config, leader_config;
	int messages; /* sent to the leader */
	bool link_down, leader_stalls;
} scenario;

struct worker {
	char host[FL_NAME_MAX];
	int task_count;      /* in its heartbeat; 0: one */
	double send_delay_s; /* from the beginning of the test */
	enum fl_forward_result result;
	struct fl_http_response response;
	bool completed;
	double duration_s;
};

/* Computation takes no virtual time. */
void sim_process_delay_if_slow(int process) { (void)process; }

/* Calls the leader, or the third controller, which forwards messages. */
int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	bool to_leader = client == &scenario.follower.peers[0].http ||
	                 client == &scenario.third.peers[0].http;
	struct fl_http_response response = {0};

	(void)method;
	assert_string_equal(path, FL_PATH_HEARTBEATS);
	scenario.messages += to_leader;
	if ((to_leader && scenario.leader_stalls) ||
	    (client == &scenario.follower.peers[0].http && scenario.link_down)) {
		fl_sleep(timeout_s);
		return -ETIMEDOUT;
	}
	fl_sleep(one_way_latency_s);
	fl_heartbeat_forward_serve(to_leader ? &scenario.leader : &scenario.third, body,
	                           strlen(body), &response);
	fl_sleep(one_way_latency_s);
	move_response_to_reply(&response, out);
	return 0;
}

static char *encode_heartbeat(const struct worker *worker)
{
	static struct fl_task_status tasks[TASKS_MAX];
	struct fl_heartbeat heartbeat = {.incarnation = 1,
	                                 .sequence = 1,
	                                 .fencing_token = FENCING_TOKEN,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks,
	                                 .task_count = worker->task_count ? worker->task_count : 1};

	snprintf(heartbeat.host, sizeof(heartbeat.host), "%s", worker->host);
	snprintf(heartbeat.endpoint, sizeof(heartbeat.endpoint), "127.0.0.1:1");
	snprintf(heartbeat.type, sizeof(heartbeat.type), "t");
	snprintf(heartbeat.zone, sizeof(heartbeat.zone), "a");
	/* Tasks unknown to the leader, which are named in the reply and differ for each worker. */
	for (int i = 0; i < heartbeat.task_count; i++) {
		tasks[i] = (struct fl_task_status){
			.index = (uint32_t)i, .attempt = 1, .state = FL_TASK_STATE_RUNNING};
		snprintf(tasks[i].ref, sizeof(tasks[i].ref), "run-%.6s", worker->host + 2);
	}
	return fl_heartbeat_encode(&heartbeat);
}

static void send_heartbeat(void *argument)
{
	struct worker *worker = argument;
	char *text;
	double began_at;

	if (fl_sleep(worker->send_delay_s) != 0)
		return;
	text = encode_heartbeat(worker);
	began_at = fl_now();
	worker->result =
		fl_heartbeat_forward(&scenario.follower, text, strlen(text), &worker->response);
	worker->duration_s = fl_now() - began_at;
	worker->completed = true;
	free(text);
}

/*
 * Runs all workers, which send one heartbeat each at intervals of `interval_s`; one in ten has
 * `large_task_count` tasks in it, unless that is 0.
 */
static struct worker *run_workers_with_tasks(double interval_s, int large_task_count)
{
	struct worker *workers = calloc(WORKERS, sizeof(*workers));

	for (int i = 0; i < WORKERS; i++) {
		snprintf(workers[i].host, sizeof(workers[i].host), "m-%06d", i);
		workers[i].send_delay_s = i * interval_s;
		workers[i].task_count = i % 10 == 0 ? large_task_count : 0;
		sim_spawn(0, send_heartbeat, &workers[i]);
	}
	sim_time_run(fl_now() + 30);
	virtual_time_end();
	return workers;
}

static struct worker *run_workers(double interval_s)
{
	return run_workers_with_tasks(interval_s, 0);
}

static int count_answered_and_free(struct worker *workers)
{
	int count = 0;

	for (int i = 0; i < WORKERS; i++) {
		char own_task[32];

		assert_true(workers[i].completed);
		snprintf(own_task, sizeof(own_task), "run-%06d/0", i);
		if (workers[i].result == FL_FORWARD_ANSWERED) {
			assert_int_equal(workers[i].response.status, 200);
			assert_non_null(strstr(workers[i].response.body, own_task));
			count++;
		}
		free(workers[i].response.body);
	}
	free(workers);
	return count;
}

static void init_node(struct fl_node *node, struct fl_config *config, const char *name)
{
	node->config = config;
	snprintf(config->node, sizeof(config->node), "%s", name);
	config->cancel_s = 44;
	config->lease_s = 14;
	config->report_s = 2;
	snprintf(node->leader_view.leader, sizeof(node->leader_view.leader), "host-1");
	node->kv_store.last_success_sent_at = fl_now();
	node->kv_store.last_failure_at = -INFINITY;
}

static void add_peer(struct fl_node *node, const char *name)
{
	struct fl_peer *peer = &node->peers[node->peer_count++];

	snprintf(peer->name, sizeof(peer->name), "%s", name);
	peer->up = true;
}

static int set_up(void **state)
{
	struct fl_cloud_machine_type type = {
		.name = "t", .cpus = 12, .ram_gb = 96, .pull_gb_per_s = 1};

	(void)state;
	memset(&scenario, 0, sizeof(scenario));
	sim_time_begin();
	init_node(&scenario.leader, &scenario.leader_config, "host-1");
	init_node(&scenario.follower, &scenario.follower_config, "host-2");
	init_node(&scenario.third, &scenario.third_config, "host-3");
	add_peer(&scenario.follower, "host-1");
	add_peer(&scenario.follower, "host-3");
	add_peer(&scenario.third, "host-1");
	scenario.leader.leadership.active = scenario.leader.leader_lease.held =
		scenario.leader.live_jobs_loaded = true;
	scenario.leader.leader_lease.valid_until = fl_now() + 1000;
	scenario.leader.leader_lease.fencing_token =
		scenario.leader.leadership.first_fencing_token = FENCING_TOKEN;
	scenario.leader.cancellation_watermark = fl_now();
	assert_int_equal(fl_symbol_intern(&scenario.leader.cluster.zones, "a"), 0);
	fl_machine_types_set(&scenario.leader.cluster.machines, &scenario.leader.cluster.zones,
	                     &type, 1);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	fl_cluster_free(&scenario.leader.cluster);
	return 0;
}

/* With 3% of a core, one message for each heartbeat took more CPU time than the leader had. */
static void many_heartbeats_cost_few_messages(void **state)
{
	const int full_messages = (WORKERS + FL_PEER_HEARTBEATS_MAX - 1) / FL_PEER_HEARTBEATS_MAX;

	(void)state;
	assert_int_equal(count_answered_and_free(run_workers(0)), WORKERS);
	assert_true(scenario.messages <= full_messages + FL_HEARTBEAT_REQUESTS_MAX);
}

static void a_single_heartbeat_is_forwarded_without_delay(void **state)
{
	struct worker *workers;

	(void)state;
	workers = run_workers(0.05);
	for (int i = 0; i < WORKERS; i++)
		assert_true(workers[i].duration_s < 2.1 * one_way_latency_s);
	assert_int_equal(count_answered_and_free(workers), WORKERS);
	assert_int_equal(scenario.messages, WORKERS);
}

static void a_third_controller_forwards_heartbeats_when_the_link_to_the_leader_is_down(void **state)
{
	(void)state;
	scenario.link_down = true;
	/*
	 * Two messages with one heartbeat each and two full ones are answered; meanwhile the other
	 * heartbeats reach their timeout.
	 */
	assert_int_equal(count_answered_and_free(run_workers(0)), 2 + 2 * FL_PEER_HEARTBEATS_MAX);
}

/* The follower then renews the lease itself, before the worker searches for another node. */
static void forwarding_fails_within_the_worker_timeout_when_the_leader_stalls(void **state)
{
	struct worker *workers;

	(void)state;
	scenario.leader_stalls = true;
	workers = run_workers(0.01);
	for (int i = 0; i < WORKERS; i++) {
		assert_int_not_equal(workers[i].result, FL_FORWARD_ANSWERED);
		assert_true(workers[i].duration_s < 0.75 * worker_timeout_s);
	}
	assert_int_equal(count_answered_and_free(workers), 0);
}

/*
 * Guards against a leader that hears nothing of the tasks on a machine because its heartbeats are
 * larger than a message with many (review case 5). The reply stays within a line of 64 KiB.
 */
static void a_heartbeat_above_the_limit_of_a_message_is_forwarded(void **state)
{
	const size_t line_bytes_max = 65536;
	struct worker *workers;

	(void)state;
	workers = run_workers_with_tasks(0.05, TASKS_MAX);
	for (int i = 0; i < WORKERS; i++) {
		assert_int_equal(workers[i].result, FL_FORWARD_ANSWERED);
		assert_true(strlen(workers[i].response.body) < line_bytes_max);
	}
	assert_int_equal(count_answered_and_free(workers), WORKERS);
}

static enum fl_decode_result decode_replies(const char *text, int count)
{
	struct fl_heartbeat_reply replies[4];

	return fl_heartbeat_replies_decode(text, strlen(text), replies, count);
}

static void a_malformed_heartbeat_message_is_rejected(void **state)
{
	static const char *const malformed[] = {
		"{}",
		"[]",
		"{\"last_hop\":true,\"via\":\"a\"}",
		"{\"last_hop\":true,\"via\":7,\"reports\":[]}",
		"{\"last_hop\":1,\"via\":\"a\",\"reports\":[]}",
		"{\"last_hop\":true,\"via\":\"a\",\"reports\":{}}",
		"{\"last_hop\":true,\"via\":\"a\",\"adrift\":3,\"reports\":[]}",
	};
	struct fl_peer_heartbeats message;
	struct fl_http_response response = {0};
	struct fl_heartbeat heartbeat;
	cJSON *list = fl_heartbeat_list_create();
	char *text;

	(void)state;
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		assert_int_equal(
			fl_peer_heartbeats_decode(malformed[i], strlen(malformed[i]), &message),
			FL_DECODE_MALFORMED);
	assert_int_equal(decode_replies("[]", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_replies("[{\"status\":200,\"body\":7}]", 1), FL_DECODE_MALFORMED);
	assert_int_equal(decode_replies("[{\"status\":200,\"body\":\"\"},{\"status\":7}]", 2),
	                 FL_DECODE_MALFORMED);
	assert_int_equal(fl_heartbeat_decode_json(NULL, &heartbeat), FL_DECODE_MALFORMED);

	/* A malformed heartbeat among others is rejected alone. */
	fl_heartbeat_list_add(list, "{\"Host\":7}");
	text = fl_peer_heartbeats_encode(list, "host-2", true, true);
	assert_int_equal(fl_peer_heartbeats_decode(text, strlen(text), &message), 0);
	assert_true(message.last_hop && message.sender_kv_unavailable);
	assert_string_equal(message.entry_node, "host-2");
	fl_peer_heartbeats_free(&message);
	fl_heartbeat_forward_serve(&scenario.leader, text, strlen(text), &response);
	assert_int_equal(response.status, 200);
	assert_non_null(strstr(response.body, "400"));
	free(response.body);
	free(text);
	cJSON_Delete(list);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(many_heartbeats_cost_few_messages, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(
			a_heartbeat_above_the_limit_of_a_message_is_forwarded, set_up, tear_down),
		cmocka_unit_test_setup_teardown(a_single_heartbeat_is_forwarded_without_delay,
	                                        set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_third_controller_forwards_heartbeats_when_the_link_to_the_leader_is_down,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			forwarding_fails_within_the_worker_timeout_when_the_leader_stalls, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(a_malformed_heartbeat_message_is_rejected, set_up,
	                                        tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
