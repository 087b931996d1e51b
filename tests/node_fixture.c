/* A node without connections: its set-up, its roles, and the delivery of heartbeats to it. */
#include "node_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"
#include "coordination/request_router.h"
#include "coordination/scheduling/scheduling_decisions.h"
#include "coordination/scheduling/scheduling_snapshot.h"
#include "storage/job_records.h"
#include "storage/job_updates.h"
#include "transport/clock.h"

void become_leader(struct node_fixture *fixture, uint64_t fencing_token)
{
	struct fl_node *node = &fixture->node;

	fl_cluster_free_leader_state(&node->cluster);
	memset(&node->leadership, 0, sizeof(node->leadership));
	node->cluster.has_leader_state = node->leadership.active = true;
	node->leader_lease.held = true;
	node->leader_lease.valid_until = fl_now() + 1e6;
	node->leader_lease.fencing_token = node->leadership.first_fencing_token =
		node->leader_view.fencing_token = fencing_token;
	node->leader_view.confirmed_at = node->cancellation_watermark = fl_now();
	strcpy(node->leader_view.leader, "n0");
}

int set_up(void **state)
{
	struct fl_cloud_machine_type type = {
		.name = "g", .cpus = 8, .ram_gb = 64, .zones = {"a", "b"}, .zone_count = 2};
	struct fl_job_spec spec = {.task_count = 4,
	                           .cpus = 1,
	                           .ram_gb = 1,
	                           .priority = FL_STANDARD,
	                           .machine_type_count = -1,
	                           .due_s = -1};
	struct node_fixture *fixture = calloc(1, sizeof(*fixture));
	struct fl_cluster *cluster;

	assert_non_null(fixture);
	cluster = &fixture->node.cluster;
	fixture->node.config = &fixture->config;
	fixture->config.lease_s = 10;
	fixture->config.report_s = 2;
	fixture->config.cancel_s = 40;
	fixture->config.value_kb = 4;
	fl_node_init_store_limits(&fixture->node);
	strcpy(fixture->config.node, "n0");
	strcpy(fixture->config.location, "a");
	fl_symbol_intern(&cluster->zones, "a");
	fl_symbol_intern(&cluster->zones, "b");
	fl_machine_types_set(&cluster->machines, &cluster->zones, &type, 1);
	strcpy(cluster->teams.by_index[0].name, "team");
	cluster->teams.count = 1;
	strcpy(spec.ref, "run-000001");
	strcpy(spec.team, "team");
	strcpy(spec.job_class, "c");
	strcpy(spec.image, "i");
	fixture->job = fl_job_add(cluster, &spec, 0, 1);
	become_leader(fixture, FENCING_TOKEN);
	*state = fixture;
	return 0;
}

int tear_down(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_cached_heartbeat *cached, *next;

	HASH_ITER (hh, fixture->node.follower.cached_heartbeats, cached, next)
		fl_cached_heartbeat_drop(&fixture->node.follower, cached);
	while (fixture->node.follower.misplaced_workers) {
		struct fl_misplaced_worker *worker = fixture->node.follower.misplaced_workers;

		HASH_DEL(fixture->node.follower.misplaced_workers, worker);
		free(worker);
	}
	fl_cluster_free(&fixture->node.cluster);
	free(fixture);
	return 0;
}

struct fl_heartbeat make_heartbeat(uint64_t incarnation, uint64_t sequence, uint64_t fencing_token,
                                   struct fl_task_status *tasks, int task_count)
{
	struct fl_heartbeat heartbeat = {.incarnation = incarnation,
	                                 .sequence = sequence,
	                                 .fencing_token = fencing_token,
	                                 .interruption_in_s = -1,
	                                 .tasks = tasks,
	                                 .task_count = task_count};

	strcpy(heartbeat.host, "m-000001");
	strcpy(heartbeat.endpoint, "127.0.0.1:1");
	strcpy(heartbeat.type, "g");
	strcpy(heartbeat.zone, "a");
	return heartbeat;
}

int deliver_heartbeat(struct node_fixture *fixture, struct fl_heartbeat heartbeat,
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

int deliver_idle_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence)
{
	return deliver_heartbeat(fixture,
	                         make_heartbeat(incarnation, sequence, FENCING_TOKEN, NULL, 0),
	                         FL_HEARTBEAT_FROM_WORKER);
}

int deliver_task_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence,
                           struct fl_task_status *status)
{
	return deliver_heartbeat(fixture,
	                         make_heartbeat(incarnation, sequence, FENCING_TOKEN, status, 1),
	                         FL_HEARTBEAT_FROM_WORKER);
}

int deliver_idle_heartbeats(struct node_fixture *fixture, uint64_t first, uint64_t last,
                            double last_reply_age_s)
{
	int command_count = 0;

	for (uint64_t sequence = first; sequence <= last; sequence++) {
		set_last_reply_age(fixture, last_reply_age_s);
		command_count += deliver_idle_heartbeat(fixture, 1, sequence);
	}
	return command_count;
}

struct fl_machine *only_machine(struct node_fixture *fixture)
{
	return fl_machine_find(&fixture->node.cluster.machines, "m-000001");
}

void set_last_reply_age(struct node_fixture *fixture, double age_s)
{
	only_machine(fixture)->outbound.last_reply_at = fl_now() - age_s;
}

struct fl_task *place_task(struct node_fixture *fixture, uint32_t index)
{
	assert_int_equal(
		fl_task_place(&fixture->node.cluster, fixture->job, index,
	                      &(struct fl_new_attempt){only_machine(fixture),
	                                               fixture->node.leader_lease.fencing_token},
	                      fl_now()),
		0);
	fl_job_task_block(fixture->job, 0)->parts[0].saved_generation =
		fl_job_task_block(fixture->job, 0)->generation;
	return fl_task_find(fixture->job, index);
}

struct fl_job *add_fixture_job(struct node_fixture *fixture, const char *ref,
                               struct fl_job_spec spec)
{
	spec.priority = FL_STANDARD;
	spec.machine_type_count = -1;
	spec.due_s = -1;
	copy_text(spec.ref, sizeof(spec.ref), ref);
	copy_text(spec.team, sizeof(spec.team), "team");
	copy_text(spec.job_class, sizeof(spec.job_class), "c");
	copy_text(spec.image, sizeof(spec.image), "i");
	fixture->job->cancelled = true;
	return fl_job_add(&fixture->node.cluster, &spec, fl_wall_time(), 1);
}

int run_scheduling_cycle(struct node_fixture *fixture)
{
	struct fl_sched_output output = {0};
	struct fl_snapshot snapshot;
	int start_count;

	assert_int_equal(fl_snapshot_take(&fixture->node, &snapshot, fl_now()), FL_SCHEDULE_OK);
	assert_int_equal(fl_schedule(&snapshot.input, &output), FL_SCHEDULE_OK);
	fl_scheduling_decisions_apply(&fixture->node, &snapshot, &output, fl_now());
	start_count = output.start_count;
	fl_sched_output_free(&output);
	fl_snapshot_free(&snapshot);
	return start_count;
}

struct fl_task_status running_task_status(uint32_t index, uint32_t attempt)
{
	struct fl_task_status status = {
		.index = index, .attempt = attempt, .state = FL_TASK_STATE_RUNNING};

	strcpy(status.ref, "run-000001");
	return status;
}

void become_follower(struct node_fixture *fixture, int peer_count)
{
	struct fl_node *node = &fixture->node;

	node->leader_lease.held = node->leadership.active = node->cluster.has_leader_state = false;
	node->machine_types_loaded = node->live_jobs_loaded = true;
	strcpy(node->leader_view.leader, "n1");
	node->peer_count = peer_count;
	for (int i = 0; i < peer_count; i++) {
		snprintf(node->peers[i].name, sizeof(node->peers[i].name), "n%d", i + 1);
		strcpy(node->peers[i].location, "b");
		node->peers[i].last_response_at = node->peers[i].cancellations_complete_as_of =
			-1e9;
	}
	node->cancellation_watermark = node->kv_store.last_success_sent_at = fl_now();
	node->kv_store.last_failure_at = -1e9;
}

struct fl_http_response send_client_request(struct node_fixture *fixture, enum fl_request_kind kind,
                                            const char *ref, const char *body)
{
	struct fl_http_response response = {.status = 500};

	fl_route_client_request(&fixture->node,
	                        &(struct fl_client_request){.kind = kind,
	                                                    .ref = ref,
	                                                    .body = body,
	                                                    .body_len = body ? strlen(body) : 0},
	                        &response);
	return response;
}

int stop_commands_in_last_reply;

int send_heartbeat(struct node_fixture *fixture, struct fl_heartbeat heartbeat,
                   char *redirect_target)
{
	char *text = fl_heartbeat_encode(&heartbeat);
	struct fl_http_response response =
		send_client_request(fixture, FL_REQUEST_HEARTBEAT, NULL, text);
	cJSON *object = response.body ? fl_json_parse(response.body, strlen(response.body)) : NULL;
	const cJSON *element;

	stop_commands_in_last_reply = 0;
	cJSON_ArrayForEach (element, fl_json_get(object, "Orders")) {
		char verb[16];

		fl_json_get_string(element, "Verb", verb, sizeof(verb));
		assert_string_not_equal(verb, "launch");
		stop_commands_in_last_reply += strcmp(verb, "kill") == 0;
	}

	if (redirect_target &&
	    fl_json_get_string(object, "Steward", redirect_target, FL_NAME_MAX) != FL_JSON_OK)
		redirect_target[0] = 0;
	cJSON_Delete(object);
	free(response.body);
	free(text);
	return response.status;
}

int send_idle_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence)
{
	return send_heartbeat(fixture,
	                      make_heartbeat(incarnation, sequence, FENCING_TOKEN, NULL, 0), NULL);
}

int send_task_heartbeat(struct node_fixture *fixture, uint64_t incarnation, uint64_t sequence,
                        struct fl_task_status *status)
{
	return send_heartbeat(
		fixture, make_heartbeat(incarnation, sequence, FENCING_TOKEN, status, 1), NULL);
}

static void send_and_record_status(void *argument)
{
	struct waiting_heartbeat *waiting = argument;

	waiting->status = send_heartbeat(waiting->fixture, waiting->heartbeat, NULL);
}

void send_waiting_heartbeat(struct waiting_heartbeat *waiting)
{
	waiting->loop = ev_loop_new(0);
	fl_coroutines_init(waiting->loop);
	assert_non_null(fl_coroutine_spawn(send_and_record_status, waiting));
	run_waiting_heartbeat(waiting);
}

void run_waiting_heartbeat(const struct waiting_heartbeat *waiting)
{
	ev_run(waiting->loop, EVRUN_NOWAIT);
}

void end_waiting_heartbeat(struct waiting_heartbeat *waiting)
{
	fl_coroutines_shutdown();
	ev_loop_destroy(waiting->loop);
}

double lease_renewal_window_s(const struct node_fixture *fixture)
{
	return fixture->config.cancel_s - fixture->config.lease_s - 1;
}

cJSON *cancelled_job_record(struct node_fixture *fixture, double age_s)
{
	struct fl_job_spec spec;

	fl_job_to_spec(&fixture->node.cluster, fixture->job, &spec);
	return fl_job_record_encode_cancelled(&spec, 1, fl_wall_time() - age_s);
}

void apply_cancellation(struct node_fixture *fixture, double age_s)
{
	cJSON *record = cancelled_job_record(fixture, age_s);

	assert_null(
		fl_cluster_apply_job_record(&fixture->node.cluster, fixture->job->ref, record, 9));
	cJSON_Delete(record);
}
