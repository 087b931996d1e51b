/*
 * A node that does not lead: the reports that it caches, and what it does with its workers and
 * users when it is disconnected from the state service and the other controllers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "node_fixture.h"
#include "transport/clock.h"

/* A copy that comes to a standby late takes no newer report's place, nor makes it look fresh. */
static void a_standby_keeps_the_newest_report(void **state)
{
	struct fixture *f = *state;
	struct fl_task_report p = running(0, 1);
	struct fl_cached_report *k;
	double at;

	follow(f, 0);
	assert_int_equal(send_report(f, report(1, 20, EPOCH, &p, 1), NULL), 200);
	k = f->node.standby.cached;
	assert_non_null(k);
	k->at = at = fl_now() - 9;
	k->stored = true;
	assert_int_equal(send_report(f, report(1, 19, EPOCH, NULL, 0), NULL), 200);
	assert_int_equal(send_report(f, report(1, 20, EPOCH, &p, 1), NULL), 200);
	assert_true(k->seq == 20 && k->at == at && k->stored);
	assert_int_equal(send_report(f, report(2, 3, EPOCH, NULL, 0), NULL), 200);
	assert_true(k->session == 2 && k->seq == 3 && !k->stored);
}

/* What goes through the state service says the same of a machine as its report did. */
static void a_cached_report_survives_its_short_form(void **state)
{
	static const char *const bad[] = {"[]",
	                                  "[\"m\",1,2,3,-1]",
	                                  "[\"m\",1,2,-3,-1,[]]",
	                                  "[\"m\",1,2,3,-1,[[\"run-000001\",0,1]]]",
	                                  "[\"m\",1,2,3,-1,[[\"run-000001\",0,1,9]]]",
	                                  "[\"\",1,2,3,-1,[]]",
	                                  "[\"m\",1,2,3,-1,[[\"run-000001\",100000,1,0]]]",
	                                  "{\"m\":1}"};
	struct fl_task_report tasks[2] = {running(3, 2), running(1, 1)};
	struct fl_report r = report(4, 5, 6, tasks, 2), back;
	char *text;
	cJSON *e;

	(void)state;
	tasks[1].state = FL_ENDED;
	tasks[1].exit = FL_EXIT_DONE;
	r.reclaim_in_s = 12.5;
	text = fl_cached_report_encode(&r);
	e = fl_json_parse(text, strlen(text));
	assert_int_equal(fl_cached_report_decode(e, &back), 0);
	assert_string_equal(back.host, r.host);
	assert_true(back.session == 4 && back.seq == 5 && back.epoch == 6);
	assert_true(back.reclaim_in_s == 12.5 && back.n_tasks == 2);
	assert_int_equal(back.tasks[0].state, FL_EXECUTING);
	assert_int_equal(back.tasks[0].index, 3);
	assert_int_equal(back.tasks[1].exit, FL_EXIT_DONE);
	fl_report_free(&back);
	cJSON_Delete(e);
	/* Hundreds of machines share the writes: twenty must fit into the smallest value. */
	assert_in_range(strlen(text), 1, 150);
	free(text);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		e = fl_json_parse(bad[i], strlen(bad[i]));
		assert_non_null(e);
		assert_int_not_equal(fl_cached_report_decode(e, &back), 0);
		cJSON_Delete(e);
	}
}

static void lose_all(struct fixture *f, double for_s)
{
	double now = fl_now();

	f->node.state.last_ok = now - for_s;
	f->node.state.last_refusal = now;
	for (int i = 0; i < f->node.n_peers; i++) {
		f->node.peers[i].up = false;
		f->node.peers[i].heard_at = now - for_s;
	}
	f->node.probed_at = now;
	f->node.leadership_confirmed_at = f->node.cancellations_known_until = now - for_s;
}

/* The workers have been here for a while. */
static void settled(struct fixture *f)
{
	for (struct fl_misplaced_worker *g = f->node.standby.misplaced; g; g = g->hh.next)
		g->came -= f->config.report_s;
}

/* State service and other controllers are lost, the workers are not. */
static void a_node_alone_sends_its_workers_away_once(void **state)
{
	struct fixture *f = *state;
	char first[FL_NAME_MAX], second[FL_NAME_MAX];
	struct fl_report r = report(1, 20, EPOCH, NULL, 0);

	follow(f, 4);
	lose_all(f, 3);
	assert_true(fl_standby_alone(&f->node));
	/* One that has come but now may have little left of its lease: it is answered first. */
	assert_int_equal(send_report(f, r, NULL), 200);
	strcpy(r.host, "m-000002");
	assert_int_equal(send_report(f, r, NULL), 200);
	settled(f);
	/* The second worker goes elsewhere than the first: none of them is known to be well. */
	r.seq++;
	assert_int_equal(send_report(f, r, first), 421);
	strcpy(r.host, "m-000001");
	assert_int_equal(send_report(f, r, second), 421);
	assert_true(first[0] && second[0] && strcmp(first, second) != 0);
	/* It found nobody there and is back within its lease: now it is kept. */
	r.seq++;
	assert_int_equal(send_report(f, r, NULL), 200);
	/* But only while the proof holds: a cancelled job's tasks must end all the same. */
	lose_all(f, f->config.cancel_s - f->config.lease_s);
	f->node.standby.refreshed_at = fl_now();
	r.seq++;
	assert_int_equal(send_report(f, r, NULL), 503);
}

/* Its zone is cut off with it, or it is the last one alive: its workers can go nowhere else. */
static void a_node_cut_off_with_its_workers_keeps_them(void **state)
{
	struct fixture *f = *state;
	struct fl_report r = report(1, 20, EPOCH, NULL, 0);

	follow(f, 4);
	lose_all(f, 3);
	assert_int_equal(send_report(f, r, NULL), 200);
	settled(f);
	f->node.probed_at = fl_now() - 10;
	r.seq++;
	assert_int_equal(send_report(f, r, NULL), 200);
	/* The others died long before the state service failed. */
	lose_all(f, 3);
	for (int i = 0; i < 4; i++)
		f->node.peers[i].heard_at -= 20;
	r.seq++;
	assert_int_equal(send_report(f, r, NULL), 200);
	/* An outage alone, with peers in reach, is not being alone. */
	f->node.peers[2].up = true;
	assert_false(fl_standby_alone(&f->node));
}

/*
 * Found in an incident: all controllers had died, and workers that came to one of the first back
 * with the rest of their lease were sent on to their zone's, half a second away.
 */
static void a_worker_is_answered_before_it_is_sent_home(void **state)
{
	struct fixture *f = *state;
	struct fl_report r = report(1, 20, EPOCH, NULL, 0);
	char to[FL_NAME_MAX];

	follow(f, 1);
	strcpy(r.zone, "b");
	strcpy(f->node.leader, "n9");
	f->node.peers[0].up = true;
	f->node.peers[0].up_since = fl_now() - 5;
	assert_int_equal(send_report(f, r, NULL), 200);
	settled(f);
	r.seq++;
	assert_int_equal(send_report(f, r, to), 421);
	assert_string_equal(to, "n1");
	/* It is back, for whatever reason: it stays. */
	r.seq++;
	assert_int_equal(send_report(f, r, NULL), 200);
}

/* Users of a node that is alone are told so at once, and the balancer too. */
static void a_node_alone_says_so(void **state)
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
		enum fl_user_call call;
		const char *body;
	} asks[] = {{FL_CALL_SUBMIT, job}, {FL_CALL_POLL, NULL}, {FL_CALL_CANCEL, NULL}};
	struct fixture *f = *state;
	struct fl_response resp;

	follow(f, 4);
	assert_int_equal(call(f, FL_CALL_READY, NULL, NULL).status, 200);
	lose_all(f, 3);
	assert_int_equal(call(f, FL_CALL_READY, NULL, NULL).status, 503);
	for (size_t i = 0; i < sizeof(asks) / sizeof(asks[0]); i++) {
		/* There is no routine here to wait in: any try at a connection would fail the test.
		 */
		resp = call(f, asks[i].call, "run-000001", asks[i].body);
		assert_int_equal(resp.status, 503);
		assert_true(resp.retry_after_s > 0 && resp.close);
		free(resp.body);
	}
	/* What is over is known for good, by any node. */
	fl_finished_add(&f->node.cluster, "run-000050", FL_DONE, 2, 0);
	resp = call(f, FL_CALL_POLL, "run-000050", NULL);
	assert_int_equal(resp.status, 200);
	free(resp.body);
	resp = call(f, FL_CALL_CANCEL, "run-000050", NULL);
	assert_int_equal(resp.status, 200);
	assert_non_null(strstr(resp.body, "\"done\""));
	free(resp.body);
	/* Back, it is as before. */
	f->node.peers[0].up = true;
	f->node.state.last_ok = fl_now() + 1;
	assert_int_equal(call(f, FL_CALL_READY, NULL, NULL).status, 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_standby_keeps_the_newest_report),
		NODE_TEST(a_cached_report_survives_its_short_form),
		NODE_TEST(a_node_alone_sends_its_workers_away_once),
		NODE_TEST(a_node_cut_off_with_its_workers_keeps_them),
		NODE_TEST(a_worker_is_answered_before_it_is_sent_home),
		NODE_TEST(a_node_alone_says_so),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
