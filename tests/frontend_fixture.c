/* One node on loopback, its set-up, and the fake key-value store and leader that respond to it. */
#include "frontend_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coroutine_fixture.h"
#include "storage/keys.h"
#include "protocol/peers.h"
#include "transport/clock.h"

static void answer_as_kv_store(void *context, const struct fl_http_request *request,
                               struct fl_http_response *response)
{
	struct frontend_fixture *fixture = context;
	struct fl_buffer body = {0};

	response->status = 503;
	if (fixture->kv_store_returns_503)
		return;
	response->status = 200;
	if (strcmp(request->path, "/multi") == 0) {
		fixture->record_writes++;
		fl_buffer_printf(&body, "{\"LedgerRev\":9}");
	} else if (strcmp(request->path, "/keys") == 0) {
		if (fixture->job_record && strstr(request->query, "Prefix=" FL_PREFIX_JOBS))
			fl_buffer_printf(&body,
			                 "{\"Items\":[{\"Key\":\"j/run-000001\",\"V\":%s,"
			                 "\"KeyRev\":3}],\"More\":false,\"LedgerRev\":9}",
			                 fixture->job_record);
		else if (fixture->progress_record &&
		         strstr(request->query, "Prefix=" FL_PREFIX_PROGRESS))
			fl_buffer_printf(&body,
			                 "{\"Items\":[{\"Key\":\"p/run-000001/0\",\"V\":%s,"
			                 "\"KeyRev\":4}],\"More\":false,\"LedgerRev\":9}",
			                 fixture->progress_record);
		else
			fl_buffer_printf(&body, "{\"Items\":[],%s\"LedgerRev\":9}",
			                 fixture->lists_lack_more_field ? "" : "\"More\":false,");
	} else if (strcmp(request->path, "/rentals") == 0) {
		fl_buffer_printf(&body, "{%s\"Hosts\":[]}",
		                 fixture->lists_lack_more_field ? "" : "\"More\":false,");
	} else if ((fixture->reads_gated ? fixture->job_known_at_read_start : fixture->job_known) &&
	           strncmp(request->path, "/keys/f/", 8) == 0) {
		fixture->record_reads++;
		fl_buffer_printf(&body, "{\"V\":{\"final\":\"done\",\"parts\":4},\"KeyRev\":3}");
	} else {
		fixture->record_reads++;
		fixture->job_known_at_read_start = fixture->job_known;
		if (fixture->reads_gated)
			fl_condition_wait(&fixture->read_gate, -1);
		response->status = 404;
		fl_buffer_printf(&body, "{\"LedgerRev\":9}");
	}
	response->body = body.data;
}

static void answer_as_leader(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response)
{
	struct frontend_fixture *fixture = context;
	struct fl_job_spec spec;
	struct fl_forwarded_request forwarded;
	cJSON *object;

	response->status = 400;
	if (fl_forwarded_request_decode(request->body, request->body_len, &forwarded) != 0)
		return;
	if (forwarded.kind == FL_REQUEST_SUBMIT) {
		object = fl_json_parse(forwarded.body, strlen(forwarded.body));
		response->status = fl_job_spec_decode(object, &spec) ? 400 : 201;
		cJSON_Delete(object);
	} else {
		response->status = fixture->job_known ? 200 : 404;
	}
	response->body = strdup("{\"Status\":\"done\"}");
	fl_forwarded_request_free(&forwarded);
}

static void connect_client(struct fl_http_client *client, const struct fl_http_server *server)
{
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", fl_http_server_port(server));
	assert_int_equal(fl_http_client_init(client, addr, 1), 0);
}

int set_up(void **state)
{
	struct fl_cloud_machine_type types[] = {
		{.name = "both", .cpus = 8, .ram_gb = 64, .zones = {"a", "b"}, .zone_count = 2},
		{.name = "one", .cpus = 96, .ram_gb = 64, .zones = {"a"}, .zone_count = 1},
		{.name = "elsewhere", .cpus = 900, .ram_gb = 64, .zones = {"y"}, .zone_count = 1},
	};
	struct frontend_fixture *fixture = calloc(1, sizeof(*fixture));
	struct fl_node *node = &fixture->node;

	fl_coroutines_init(ev_default_loop(0));
	node->config = &fixture->config;
	strcpy(fixture->config.node, "n0");
	fixture->config.lease_s = 10;
	fixture->config.cancel_s = 40;
	fixture->config.ram_mb = 1024;
	fl_symbol_intern(&node->cluster.zones, "a");
	fl_symbol_intern(&node->cluster.zones, "b");
	fl_machine_types_set(&node->cluster.machines, &node->cluster.zones, types, 3);
	strcpy(node->cluster.teams.by_index[0].name, "t");
	node->cluster.teams.by_index[0].max_cpus = 100;
	node->cluster.teams.count = 1;
	fixture->kv_store = fl_http_serve("127.0.0.1:0", 16, 90, answer_as_kv_store, fixture);
	fixture->leader = fl_http_serve("127.0.0.1:0", 16, 90, answer_as_leader, fixture);
	assert_true(fixture->kv_store && fixture->leader);
	connect_client(&node->kv_store.client, fixture->kv_store);
	connect_client(&node->cloud.http, fixture->kv_store);
	node->kv_store.last_success_sent_at = node->leader_view.confirmed_at =
		node->cancellation_watermark = fl_now();
	node->kv_store.last_failure_at = -1e9;
	node->machine_types_loaded = node->live_jobs_loaded = true;
	strcpy(node->leader_view.leader, "n1");
	node->peer_count = 1;
	strcpy(node->peers[0].name, "n1");
	node->peers[0].up = true;
	connect_client(&node->peers[0].http, fixture->leader);
	*state = fixture;
	return 0;
}

int tear_down(void **state)
{
	struct frontend_fixture *fixture = *state;

	fl_http_client_close(&fixture->node.kv_store.client);
	fl_http_client_close(&fixture->node.cloud.http);
	fl_http_client_close(&fixture->node.peers[0].http);
	fl_coroutines_shutdown();
	fl_cluster_free(&fixture->node.cluster);
	free(fixture->kv_store);
	free(fixture->leader);
	free(fixture);
	return 0;
}

void note_failure(struct frontend_fixture *fixture, const char *format, ...)
{
	va_list ap;

	if (fixture->first_failure[0])
		return;
	va_start(ap, format);
	vsnprintf(fixture->first_failure, sizeof(fixture->first_failure), format, ap);
	va_end(ap);
}

void run_in_coroutine(struct frontend_fixture *fixture, void (*function)(void *fixture))
{
	run_coroutine(function, fixture);
	if (fixture->first_failure[0])
		fail_msg("%s", fixture->first_failure);
}
