/* One node without connections: its set-up, its roles, and the reports delivered to it. */
#include "node_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/request_router.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "transport/clock.h"

void become_leader(struct fixture *fixture, uint64_t fencing_token)
{
	struct fl_node *node = &fixture->node;

	fl_cluster_forget_tasks(&node->cluster);
	memset(&node->leadership, 0, sizeof(node->leadership));
	node->cluster.leading = node->leadership.active = true;
	node->leader_lease.held = true;
	node->leader_lease.valid_until = fl_now() + 1e6;
	node->leader_lease.fencing_token = node->leadership.first_fencing_token =
		node->leader_view.fencing_token = fencing_token;
	node->leader_view.confirmed_at = node->cancellation_watermark = fl_now();
	strcpy(node->leader_view.leader, "n0");
}

int set_up(void **state)
{
	struct fl_cloud_machine_type kind = {
		.name = "g", .cpus = 8, .ram_gb = 64, .zones = {"a", "b"}, .zone_count = 2};
	struct fl_job_spec spec = {.task_count = 4,
	                           .cpus = 1,
	                           .ram_gb = 1,
	                           .priority = FL_STANDARD,
	                           .machine_type_count = -1,
	                           .due_s = -1};
	struct fixture *fixture = calloc(1, sizeof(*fixture));
	struct fl_cluster *cluster;

	assert_non_null(fixture);
	cluster = &fixture->node.cluster;
	fixture->node.config = &fixture->config;
	fixture->config.lease_s = 10;
	fixture->config.report_s = 2;
	fixture->config.cancel_s = 40;
	fixture->config.value_kb = 4;
	strcpy(fixture->config.node, "n0");
	strcpy(fixture->config.location, "a");
	fl_symbol_intern(&cluster->zones, "a");
	fl_symbol_intern(&cluster->zones, "b");
	fl_machine_types_set(&cluster->machines, &cluster->zones, &kind, 1);
	strcpy(cluster->teams.by_index[0].name, "team");
	cluster->teams.count = 1;
	strcpy(spec.ref, "run-000001");
	strcpy(spec.team, "team");
	strcpy(spec.job_class, "c");
	strcpy(spec.image, "i");
	fixture->job = fl_job_add(cluster, &spec, 0, 1);
	become_leader(fixture, EPOCH);
	*state = fixture;
	return 0;
}

int tear_down(void **state)
{
	struct fixture *fixture = *state;
	struct fl_cached_heartbeat *cached, *tmp;

	HASH_ITER (hh, fixture->node.follower.cached_heartbeats, cached, tmp) {
		HASH_DEL(fixture->node.follower.cached_heartbeats, cached);
		free(cached->text);
		free(cached);
	}
	while (fixture->node.follower.misplaced_workers) {
		struct fl_misplaced_worker *worker = fixture->node.follower.misplaced_workers;

		HASH_DEL(fixture->node.follower.misplaced_workers, worker);
		free(worker);
	}
	fl_cluster_free(&fixture->node.cluster);
	free(fixture);
	return 0;
}

struct fl_heartbeat make_report(uint64_t incarnation, uint64_t sequence, uint64_t fencing_token,
                                struct fl_task_status *tasks, int n)
{
	struct fl_heartbeat heartbeat = {.incarnation = incarnation,
	                                 .sequence = sequence,
	                                 .fencing_token = fencing_token,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks,
	                                 .task_count = n};

	strcpy(heartbeat.host, "m-000001");
	strcpy(heartbeat.endpoint, "127.0.0.1:1");
	strcpy(heartbeat.type, "g");
	strcpy(heartbeat.zone, "a");
	return heartbeat;
}

int deliver_report(struct fixture *fixture, struct fl_heartbeat heartbeat,
                   enum fl_heartbeat_source source)
{
	struct fl_command_list commands;
	enum fl_reconcile_result result;
	int command_count;

	fl_command_list_init(&commands, fixture->node.leader_lease.fencing_token);
	result = fl_reconcile_heartbeat(&fixture->node, &heartbeat,
	                                source == FL_HEARTBEAT_FROM_WORKER ? &commands : NULL,
	                                source);
	command_count = commands.count;
	cJSON_Delete(commands.root);
	return fl_reconcile_is_rejection(result) ? REJECTED(result) : command_count;
}

struct fl_machine *only_machine(struct fixture *fixture)
{
	return fl_machine_find(&fixture->node.cluster.machines, "m-000001");
}

void answered_ago(struct fixture *fixture, double seconds)
{
	only_machine(fixture)->outbound.last_reply_at = fl_now() - seconds;
}

struct fl_task *place_task(struct fixture *fixture, uint32_t index)
{
	assert_int_equal(
		fl_task_place(&fixture->node.cluster, fixture->job, index,
	                      &(struct fl_new_attempt){only_machine(fixture),
	                                               fixture->node.leader_lease.fencing_token},
	                      fl_now()),
		0);
	fl_job_task_block(fixture->job, 0)->saved_generation =
		fl_job_task_block(fixture->job, 0)->generation;
	return fl_task_peek(fixture->job, index);
}

struct fl_task_status running_task(uint32_t index, uint32_t attempt)
{
	struct fl_task_status status = {
		.index = index, .attempt = attempt, .state = FL_TASK_STATE_RUNNING};

	strcpy(status.ref, "run-000001");
	return status;
}

void become_follower(struct fixture *fixture, int peers)
{
	struct fl_node *node = &fixture->node;

	node->leader_lease.held = node->leadership.active = node->cluster.leading = false;
	node->machine_types_known = node->jobs_known = true;
	strcpy(node->leader_view.leader, "n1");
	node->peer_count = peers;
	for (int i = 0; i < peers; i++) {
		snprintf(node->peers[i].name, sizeof(node->peers[i].name), "n%d", i + 1);
		strcpy(node->peers[i].location, "b");
		node->peers[i].last_exchange_at = node->peers[i].complete_as_of = -1e9;
	}
	node->cancellation_watermark = node->kv_store.last_success_at = fl_now();
	node->kv_store.last_failure_at = -1e9;
}

struct fl_http_response user_call(struct fixture *fixture, enum fl_user_request kind,
                                  const char *ref, const char *body)
{
	struct fl_http_response response = {.status = 500};

	fl_route_user_request(&fixture->node,
	                      &(struct fl_client_request){.kind = kind,
	                                                  .ref = ref,
	                                                  .body = body,
	                                                  .body_len = body ? strlen(body) : 0},
	                      &response);
	return response;
}

int kills_in_answer;

int send_report(struct fixture *fixture, struct fl_heartbeat heartbeat, char *to)
{
	char *text = fl_heartbeat_encode(&heartbeat);
	struct fl_http_response response =
		user_call(fixture, FL_USER_REQUEST_HEARTBEAT, NULL, text);
	cJSON *object = response.body ? fl_json_parse(response.body, strlen(response.body)) : NULL;
	const cJSON *element;

	kills_in_answer = 0;
	cJSON_ArrayForEach (element, fl_json_get(object, "Orders")) {
		char verb[16];

		fl_json_get_string(element, "Verb", verb, sizeof(verb));
		assert_string_not_equal(verb, "launch");
		kills_in_answer += strcmp(verb, "kill") == 0;
	}

	if (to && fl_json_get_string(object, "Steward", to, FL_NAME_MAX) != FL_JSON_OK)
		to[0] = 0;
	cJSON_Delete(object);
	free(response.body);
	free(text);
	return response.status;
}

cJSON *cancelled_record(struct fixture *fixture, double seconds)
{
	struct fl_job_spec spec;

	fl_job_describe(&fixture->node.cluster, fixture->job, &spec);
	return fl_job_record_cancelled(&spec, 1, fl_wall() - seconds);
}

void apply_cancellation(struct fixture *fixture, double seconds)
{
	cJSON *record = cancelled_record(fixture, seconds);

	assert_null(
		fl_cluster_apply_job_record(&fixture->node.cluster, fixture->job->ref, record, 9));
	cJSON_Delete(record);
}
