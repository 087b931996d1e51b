#include "node_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

void lead(struct fixture *f, uint64_t epoch)
{
	struct fl_node *n = &f->node;

	fl_cluster_forget_tasks(&n->cluster);
	memset(&n->lead, 0, sizeof(n->lead));
	n->cluster.leading = n->lead.active = true;
	n->lease.held = true;
	n->lease.valid_until = fl_now() + 1e6;
	n->lease.epoch = n->lead.first_epoch = n->epoch = epoch;
	n->leadership_confirmed_at = n->cancellations_known_until = fl_now();
	strcpy(n->leader, "n0");
}

int set_up(void **state)
{
	struct fl_offered_type kind = {
		.name = "g", .cpus = 8, .ram_gb = 64, .zones = {"a", "b"}, .n_zones = 2};
	struct fl_job_spec run = {.n_tasks = 4,
	                          .cpus = 1,
	                          .ram_gb = 1,
	                          .priority = FL_STANDARD,
	                          .n_machine_types = -1,
	                          .due_s = -1};
	struct fixture *f = calloc(1, sizeof(*f));
	struct fl_cluster *b;

	assert_non_null(f);
	b = &f->node.cluster;
	f->node.config = &f->config;
	f->config.lease_s = 10;
	f->config.report_s = 2;
	f->config.cancel_s = 40;
	f->config.value_kb = 4;
	strcpy(f->config.node, "n0");
	strcpy(f->config.location, "a");
	fl_names_add(&b->zones, "a");
	fl_names_add(&b->zones, "b");
	fl_machine_types_set(&b->machines, &b->zones, &kind, 1);
	strcpy(b->teams.at[0].name, "team");
	b->teams.n = 1;
	strcpy(run.ref, "run-000001");
	strcpy(run.team, "team");
	strcpy(run.job_class, "c");
	strcpy(run.image, "i");
	f->job = fl_job_add(b, &run, 0, 1);
	lead(f, EPOCH);
	*state = f;
	return 0;
}

int tear_down(void **state)
{
	struct fixture *f = *state;
	struct fl_cached_report *k, *tmp;

	HASH_ITER (hh, f->node.standby.cached, k, tmp) {
		HASH_DEL(f->node.standby.cached, k);
		free(k->text);
		free(k);
	}
	while (f->node.standby.misplaced) {
		struct fl_misplaced_worker *g = f->node.standby.misplaced;

		HASH_DEL(f->node.standby.misplaced, g);
		free(g);
	}
	fl_cluster_free(&f->node.cluster);
	free(f);
	return 0;
}

struct fl_report report(uint64_t session, uint64_t seq, uint64_t epoch,
                        struct fl_task_report *tasks, int n)
{
	struct fl_report r = {.session = session,
	                      .seq = seq,
	                      .epoch = epoch,
	                      .reclaim_in_s = -1,
	                      .tasks = tasks,
	                      .n_tasks = n};

	strcpy(r.host, "m-000001");
	strcpy(r.endpoint, "127.0.0.1:1");
	strcpy(r.type, "g");
	strcpy(r.zone, "a");
	return r;
}

int hear(struct fixture *f, struct fl_report r, enum fl_report_source source)
{
	struct fl_orders orders;
	int rc, n;

	fl_orders_init(&orders, f->node.lease.epoch);
	rc = fl_reconcile_report(&f->node, &r, source == FL_SOURCE_REPORT ? &orders : NULL, source);
	n = orders.n;
	cJSON_Delete(orders.root);
	return rc ? rc : n;
}

struct fl_machine *machine(struct fixture *f)
{
	return fl_machine_find(&f->node.cluster.machines, "m-000001");
}

void ago(struct fixture *f, double seconds) { machine(f)->answered = fl_now() - seconds; }

struct fl_task *place(struct fixture *f, uint32_t index)
{
	assert_int_equal(fl_task_place(&f->node.cluster, f->job, index, machine(f),
	                               f->node.lease.epoch, fl_now()),
	                 0);
	fl_job_chunk(f->job, 0)->saved_gen = fl_job_chunk(f->job, 0)->gen;
	return fl_task_peek(f->job, index);
}

struct fl_task_report running(uint32_t index, uint32_t attempt)
{
	struct fl_task_report p = {.index = index, .attempt = attempt, .state = FL_EXECUTING};

	strcpy(p.ref, "run-000001");
	return p;
}

void follow(struct fixture *f, int peers)
{
	struct fl_node *n = &f->node;

	n->lease.held = n->lead.active = n->cluster.leading = false;
	n->types_known = n->jobs_known = true;
	strcpy(n->leader, "n1");
	n->n_peers = peers;
	for (int i = 0; i < peers; i++) {
		snprintf(n->peers[i].name, sizeof(n->peers[i].name), "n%d", i + 1);
		strcpy(n->peers[i].location, "b");
		n->peers[i].heard_at = n->peers[i].sent_all_at = -1e9;
	}
	n->cancellations_known_until = n->state.last_ok = fl_now();
	n->state.last_refusal = -1e9;
}

struct fl_response call(struct fixture *f, enum fl_user_call what, const char *ref,
                        const char *body)
{
	struct fl_response resp = {.status = 500};

	fl_node_user_call(&f->node, what, ref, body, body ? strlen(body) : 0, FL_FIRST_HOP, &resp);
	return resp;
}

int kills_in_answer;

int send_report(struct fixture *f, struct fl_report r, char *to)
{
	char *text = fl_report_encode(&r);
	struct fl_response resp = call(f, FL_CALL_REPORT, NULL, text);
	cJSON *o = resp.body ? fl_json_parse(resp.body, strlen(resp.body)) : NULL;
	const cJSON *e;

	kills_in_answer = 0;
	cJSON_ArrayForEach (e, fl_json_get(o, "Orders")) {
		char verb[16];

		fl_json_str(e, "Verb", verb, sizeof(verb));
		assert_string_not_equal(verb, "launch");
		kills_in_answer += strcmp(verb, "kill") == 0;
	}

	if (to && fl_json_str(o, "Steward", to, FL_NAME_MAX) != FL_FIELD_OK)
		to[0] = 0;
	cJSON_Delete(o);
	free(resp.body);
	free(text);
	return resp.status;
}

cJSON *cancelled_record(struct fixture *f, double seconds)
{
	struct fl_job_spec run;

	fl_job_describe(&f->node.cluster, f->job, &run);
	return fl_job_record_cancelled(&run, 1, fl_wall() - seconds);
}

void hear_of_cancel(struct fixture *f, double seconds)
{
	cJSON *v = cancelled_record(f, seconds);

	assert_null(fl_cluster_apply(&f->node.cluster, f->job->ref, v, 9));
	cJSON_Delete(v);
}
