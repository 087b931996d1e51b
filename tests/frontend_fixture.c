#include "frontend_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

static void on_state(void *ctx, const struct fl_request *req, struct fl_response *resp)
{
	struct fixture *f = ctx;
	struct fl_buf b = {0};

	resp->status = 503;
	if (f->refused)
		return;
	resp->status = 200;
	if (strcmp(req->path, "/multi") == 0) {
		f->writes++;
		fl_buf_printf(&b, "{\"LedgerRev\":9}");
	} else if (strcmp(req->path, "/keys") == 0) {
		if (f->record && strstr(req->query, "Prefix=" FL_PREFIX_JOBS))
			fl_buf_printf(&b,
			              "{\"Items\":[{\"Key\":\"j/run-000001\",\"V\":%s,"
			              "\"KeyRev\":3}],\"More\":false,\"LedgerRev\":9}",
			              f->record);
		else if (f->progress && strstr(req->query, "Prefix=" FL_PREFIX_PROGRESS))
			fl_buf_printf(&b,
			              "{\"Items\":[{\"Key\":\"p/run-000001/0\",\"V\":%s,"
			              "\"KeyRev\":4}],\"More\":false,\"LedgerRev\":9}",
			              f->progress);
		else
			fl_buf_printf(&b, "{\"Items\":[],%s\"LedgerRev\":9}",
			              f->no_more ? "" : "\"More\":false,");
	} else if (strcmp(req->path, "/rentals") == 0) {
		fl_buf_printf(&b, "{%s\"Hosts\":[]}", f->no_more ? "" : "\"More\":false,");
	} else if ((f->gated ? f->seen : f->known) && strncmp(req->path, "/keys/f/", 8) == 0) {
		f->reads++;
		fl_buf_printf(&b, "{\"V\":{\"final\":\"done\",\"parts\":4},\"KeyRev\":3}");
	} else {
		f->reads++;
		f->seen = f->known;
		if (f->gated)
			fl_signal_wait(&f->gate, -1);
		resp->status = 404;
	}
	resp->body = b.data;
}

static void on_leader(void *ctx, const struct fl_request *req, struct fl_response *resp)
{
	struct fixture *f = ctx;
	struct fl_job_spec run;
	struct fl_relay r;
	cJSON *o;

	resp->status = 400;
	if (fl_relay_decode(req->body, req->body_len, &r) != 0)
		return;
	if (r.call == FL_CALL_SUBMIT) {
		o = fl_json_parse(r.body, strlen(r.body));
		resp->status = fl_job_spec_decode(o, &run) ? 400 : 201;
		cJSON_Delete(o);
	} else {
		resp->status = f->known ? 200 : 404;
	}
	resp->body = strdup("{\"Status\":\"done\"}");
	fl_relay_free(&r);
}

static void connect_to(struct fl_http_client *c, const struct fl_http_server *s)
{
	char addr[32];

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", fl_http_server_port(s));
	assert_int_equal(fl_http_client_init(c, addr, 1), 0);
}

int set_up(void **state)
{
	struct fl_offered_type types[] = {
		{.name = "both", .cpus = 8, .ram_gb = 64, .zones = {"a", "b"}, .n_zones = 2},
		{.name = "one", .cpus = 96, .ram_gb = 64, .zones = {"a"}, .n_zones = 1},
		{.name = "elsewhere", .cpus = 900, .ram_gb = 64, .zones = {"y"}, .n_zones = 1},
	};
	struct fixture *f = calloc(1, sizeof(*f));
	struct fl_node *n = &f->node;

	fl_routines_init(ev_default_loop(0));
	n->config = &f->config;
	strcpy(f->config.node, "n0");
	f->config.lease_s = 10;
	f->config.cancel_s = 40;
	fl_names_add(&n->cluster.zones, "a");
	fl_names_add(&n->cluster.zones, "b");
	fl_machine_types_set(&n->cluster.machines, &n->cluster.zones, types, 3);
	strcpy(n->cluster.teams.at[0].name, "t");
	n->cluster.teams.at[0].cpus_max = 100;
	n->cluster.teams.n = 1;
	f->state = fl_http_serve("127.0.0.1:0", 16, 90, on_state, f);
	f->leader = fl_http_serve("127.0.0.1:0", 16, 90, on_leader, f);
	assert_true(f->state && f->leader);
	connect_to(&n->state.http, f->state);
	connect_to(&n->cloud.http, f->state);
	n->state.last_ok = n->leadership_confirmed_at = n->cancellations_known_until = fl_now();
	n->state.last_refusal = -1e9;
	n->types_known = n->jobs_known = true;
	strcpy(n->leader, "n1");
	n->n_peers = 1;
	strcpy(n->peers[0].name, "n1");
	n->peers[0].up = true;
	connect_to(&n->peers[0].http, f->leader);
	*state = f;
	return 0;
}

int tear_down(void **state)
{
	struct fixture *f = *state;

	fl_http_client_close(&f->node.state.http);
	fl_http_client_close(&f->node.cloud.http);
	fl_http_client_close(&f->node.peers[0].http);
	fl_routines_shutdown();
	fl_cluster_free(&f->node.cluster);
	free(f->state);
	free(f->leader);
	free(f);
	return 0;
}
