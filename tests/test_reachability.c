/*
 * Messages that arrive one way only, late, or twice: machines that report and do not hear, copies
 * of reports long after them, replies that overtake answers, and a controller that has lost all
 * but its workers. Nothing here opens a connection: reports are handed in, answers looked at.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/reachability.h"
#include "coordination/node.h"
#include "coordination/reconcile.h"
#include "coordination/record_writer.h"
#include "coordination/failure_detector.h"
#include "transport/clock.h"

enum { EPOCH = 7 };

struct fixture {
	struct fl_node node;
	struct fl_config config;
	struct fl_job *job;
	uint64_t seq;
};

static void lead(struct fixture *f, uint64_t epoch)
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

static int set_up(void **state)
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

static int tear_down(void **state)
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

static struct fl_report report(uint64_t session, uint64_t seq, uint64_t epoch,
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

/* Hands a report in; the number of orders in its answer, or the refusal. */
static int hear(struct fixture *f, struct fl_report r, enum fl_report_source source)
{
	struct fl_orders orders;
	int rc, n;

	fl_orders_init(&orders, f->node.lease.epoch);
	rc = fl_reconcile_report(&f->node, &r, source == FL_SOURCE_REPORT ? &orders : NULL, source);
	n = orders.n;
	cJSON_Delete(orders.root);
	return rc ? rc : n;
}

static struct fl_machine *machine(struct fixture *f)
{
	return fl_machine_find(&f->node.cluster.machines, "m-000001");
}

/* The machine has waited: its last answer was given so long ago. */
static void ago(struct fixture *f, double seconds) { machine(f)->answered = fl_now() - seconds; }

static struct fl_task *place(struct fixture *f, uint32_t index)
{
	assert_int_equal(fl_task_place(&f->node.cluster, f->job, index, machine(f),
	                               f->node.lease.epoch, fl_now()),
	                 0);
	fl_job_chunk(f->job, 0)->saved_gen = fl_job_chunk(f->job, 0)->gen;
	return fl_task_peek(f->job, index);
}

static struct fl_task_report running(uint32_t index, uint32_t attempt)
{
	struct fl_task_report p = {.index = index, .attempt = attempt, .state = FL_EXECUTING};

	strcpy(p.ref, "run-000001");
	return p;
}

/* Reports come, answers do not arrive: the launch shows no effect, however often it is ordered. */
static void a_deaf_machine_gets_nothing_new_and_loses_nothing_early(void **state)
{
	struct fixture *f = *state;
	struct fl_task *t;
	int launches = 0;

	assert_int_equal(hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT), 0);
	t = place(f, 0);
	for (uint64_t seq = 2; seq < 5; seq++) {
		ago(f, 5);
		launches += hear(f, report(1, seq, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	}
	assert_int_equal(launches, 3);
	assert_true(fl_reachability_doubted(machine(f)));
	/* Silence counts from the first unheard answer, though it reported a moment ago. */
	assert_true(fl_reachability_lost_at(machine(f)) < fl_now() - 4);
	/* Its attempt may have been launched all the same: only a proof frees it. */
	assert_int_equal(t->phase, FL_TASK_PLACED);
	assert_int_equal(f->job->n_waiting, 3);
	ago(f, 5);
	assert_int_equal(hear(f, report(2, 5, EPOCH, NULL, 0), FL_SOURCE_REPORT), 0);
	assert_int_equal(t->phase, FL_TASK_WAITING);
	assert_int_equal(f->job->n_waiting, 4);
	assert_true(fl_reachability_doubted(machine(f)));
	/* Gone for good: its work is free once, and a later report changes nothing. */
	fl_reconcile_gone(&f->node, machine(f), "returned");
	assert_int_equal(hear(f, report(2, 6, EPOCH, NULL, 0), FL_SOURCE_REPORT), -ENOENT);
	assert_int_equal(f->job->n_waiting, 4);
}

/* With nothing to do, only its ending sessions and its patience show that it is deaf. */
static void an_idle_deaf_machine_is_found_too(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT), 0);
	assert_false(fl_reachability_doubted(machine(f)));
	/* A worker that had its answer reports within seconds; this one waited it out. */
	ago(f, 5);
	hear(f, report(1, 2, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	assert_true(fl_reachability_doubted(machine(f)));
	for (uint64_t session = 2; session < 4; session++) {
		ago(f, 5);
		hear(f, report(session, 10 * session, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	}
	assert_true(fl_reachability_lost_at(machine(f)) < INFINITY);
	/* Once it answers a command itself, all is well again. */
	hear(f, report(3, 31, EPOCH, NULL, 0), FL_SOURCE_COMMAND);
	assert_true(fl_reachability_lost_at(machine(f)) == INFINITY);
}

/* However prompt its reports: a launch, or a higher epoch, that shows no effect twice is enough. */
static void what_shows_no_effect_was_not_heard(void **state)
{
	struct fixture *f = *state;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	for (uint64_t seq = 2; seq < 5; seq++) {
		ago(f, 1);
		hear(f, report(1, seq, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	}
	assert_true(fl_reachability_doubted(machine(f)));
	hear(f, report(1, 5, EPOCH, NULL, 0), FL_SOURCE_COMMAND);
	assert_false(fl_reachability_doubted(machine(f)));
	fl_task_peek(f->job, 0)->launch_sent = false;
	f->node.lease.epoch++;
	for (uint64_t seq = 6; seq < 9; seq++) {
		ago(f, 1);
		fl_task_peek(f->job, 0)->stop = FL_STOP_PREEMPT;
		hear(f, report(1, seq, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	}
	assert_true(fl_reachability_doubted(machine(f)));
	ago(f, 1);
	hear(f, report(1, 9, EPOCH + 1, NULL, 0), FL_SOURCE_REPORT);
	assert_false(fl_reachability_doubted(machine(f)));
}

static void one_lost_answer_is_no_deafness(void **state)
{
	struct fixture *f = *state;
	struct fl_task_report p = running(0, 1);
	struct fl_task *t;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	t = place(f, 0);
	assert_int_equal(hear(f, report(1, 2, EPOCH, NULL, 0), FL_SOURCE_REPORT), 1);
	ago(f, 1);
	assert_int_equal(hear(f, report(1, 3, EPOCH, NULL, 0), FL_SOURCE_REPORT), 1);
	assert_false(fl_reachability_doubted(machine(f)));
	ago(f, 1);
	hear(f, report(1, 4, EPOCH, &p, 1), FL_SOURCE_REPORT);
	assert_int_equal(machine(f)->unheard, 0);
	assert_int_equal(t->observed, FL_OBSERVED_RUNNING);
	/* A longer pause, as after an outage, is over with the next prompt report. */
	ago(f, 6);
	hear(f, report(1, 5, EPOCH, &p, 1), FL_SOURCE_REPORT);
	assert_true(fl_reachability_doubted(machine(f)));
	ago(f, 2);
	hear(f, report(1, 6, EPOCH, &p, 1), FL_SOURCE_REPORT);
	assert_false(fl_reachability_doubted(machine(f)));
}

/*
 * Found at the size at which workers report every 6 s: the time between two reports made every
 * machine look deaf that had just nothing to do. That it stays at its node shows that it hears.
 */
static void a_machine_that_reports_seldom_is_not_deaf(void **state)
{
	struct fixture *f = *state;
	struct fl_report r = report(1, 1, EPOCH, NULL, 0);

	f->config.report_s = 6;
	f->node.n_peers = 2;
	for (r.via = 1; r.via <= 3; r.via++) {
		/* To another node it comes when it has waited its answer out, or was sent. */
		for (int i = 0; i < 3; i++) {
			hear(f, r, FL_SOURCE_REPORT);
			assert_int_equal(fl_reachability_doubted(machine(f)), r.via > 1 && i == 0);
			ago(f, 6);
			r.seq++;
		}
	}
	/* Even then its own answer to a command, or a launch that shows, ends the doubt. */
	r.via = 1;
	hear(f, r, FL_SOURCE_REPORT);
	assert_true(fl_reachability_doubted(machine(f)));
	r.seq++;
	hear(f, r, FL_SOURCE_COMMAND);
	assert_false(fl_reachability_doubted(machine(f)));
	/* Where there is no other node, only a launch without effect can tell. */
	f->node.n_peers = 0;
	for (int i = 0; i < 3; i++) {
		ago(f, 6);
		r.seq++;
		hear(f, r, FL_SOURCE_REPORT);
		assert_false(fl_reachability_doubted(machine(f)));
	}
}

/* Across a takeover nothing is known that would show a copy to be old, except its epoch. */
static void a_late_copy_after_a_takeover_is_answered_and_nothing_else(void **state)
{
	struct fixture *f = *state;
	struct fl_task_report p = running(0, 1);
	struct fl_task *t;

	/* A machine that the leader before returned: no record, no list names it any more. */
	assert_int_equal(hear(f, report(1, 50, EPOCH - 1, &p, 1), FL_SOURCE_REPORT), 0);
	assert_null(machine(f));
	assert_int_equal(hear(f, report(1, 50, EPOCH - 1, &p, 1), FL_SOURCE_FORWARDED), 0);
	assert_null(machine(f));
	/* One that is known from a record: the copy neither shows life nor what is absent. */
	fl_cluster_describe(&f->node.cluster,
	                    fl_machine_get(&f->node.cluster.machines, "m-000001", fl_now()), 0, 0,
	                    false, "x");
	assert_int_equal(
		fl_task_restore(&f->node.cluster, f->job, 1, 3, machine(f), 1, 0, fl_now()), 0);
	t = fl_task_peek(f->job, 1);
	t->stop = FL_STOP_PREEMPT;
	assert_int_equal(hear(f, report(9, 50, EPOCH - 1, &p, 1), FL_SOURCE_REPORT), 0);
	assert_false(machine(f)->up);
	assert_true(machine(f)->heard == 0);
	assert_int_equal(t->phase, FL_TASK_PLACED);
	/* The worker itself has seen the answer and reports with the epoch: now it counts. */
	assert_int_equal(hear(f, report(1, 70, EPOCH, NULL, 0), FL_SOURCE_REPORT), 0);
	assert_true(machine(f)->up);
	assert_int_equal(t->phase, FL_TASK_WAITING);
}

static void a_late_copy_within_a_leadership_changes_nothing(void **state)
{
	struct fixture *f = *state;
	struct fl_task_report p = running(0, 1);
	double heard;

	hear(f, report(2, 10, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	hear(f, report(2, 12, EPOCH, &p, 1), FL_SOURCE_REPORT);
	machine(f)->heard = machine(f)->reached = heard = fl_now() - 30;
	for (int source = FL_SOURCE_REPORT; source <= FL_SOURCE_FORWARDED; source++) {
		/* Older, of the same number, and of an earlier session with a higher number. */
		assert_int_equal(
			hear(f, report(2, 11, EPOCH, NULL, 0), (enum fl_report_source)source), 0);
		assert_int_equal(
			hear(f, report(2, 12, EPOCH, &p, 1), (enum fl_report_source)source), 0);
		assert_int_equal(
			hear(f, report(1, 99, EPOCH, NULL, 0), (enum fl_report_source)source), 0);
	}
	assert_true(machine(f)->heard == heard && machine(f)->reached == heard);
	assert_int_equal(f->job->n_placed, 1);
	fl_reconcile_gone(&f->node, machine(f), "test");
	assert_int_equal(hear(f, report(2, 13, EPOCH, &p, 1), FL_SOURCE_REPORT), -ENOENT);
	assert_true(machine(f)->gone && !machine(f)->up);
}

/*
 * Found by the random walk: an answer with a launch is on its way when the task is stopped. The
 * reply to the stop lacks the task, since the worker has not had the answer yet.
 */
static void a_reply_that_overtakes_an_answer_proves_no_absence(void **state)
{
	struct fixture *f = *state;
	struct fl_task *t;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	t = place(f, 0);
	assert_int_equal(hear(f, report(1, 2, EPOCH, NULL, 0), FL_SOURCE_REPORT), 1);
	t->stop = FL_STOP_PREEMPT;
	hear(f, report(1, 3, EPOCH, NULL, 0), FL_SOURCE_COMMAND);
	assert_int_equal(t->phase, FL_TASK_PLACED);
	/* Its own next report is sent when the answer has been carried out or dropped. */
	hear(f, report(1, 4, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	assert_int_equal(t->phase, FL_TASK_WAITING);
}

/* ---- a node that does not lead ---- */

static void follow(struct fixture *f, int peers)
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

static struct fl_response call(struct fixture *f, enum fl_user_call what, const char *ref,
                               const char *body)
{
	struct fl_response resp = {.status = 500};

	fl_node_user_call(&f->node, what, ref, body, body ? strlen(body) : 0, FL_FIRST_HOP, &resp);
	return resp;
}

static int kills_in_answer; /* of the report sent last */

static int send_report(struct fixture *f, struct fl_report r, char *to)
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

/* The record of the job, cancelled so long ago. */
static cJSON *cancelled_record(struct fixture *f, double seconds)
{
	struct fl_job_spec run;

	fl_job_describe(&f->node.cluster, f->job, &run);
	return fl_job_record_cancelled(&run, 1, fl_wall() - seconds);
}

/* As every node hears of it. */
static void hear_of_cancel(struct fixture *f, double seconds)
{
	cJSON *v = cancelled_record(f, seconds);

	assert_null(fl_cluster_apply(&f->node.cluster, f->job->ref, v, 9));
	cJSON_Delete(v);
}

/*
 * Found with controllers eight times slower: nobody led for long enough to stop anything, and all
 * kept what had been cancelled, with fresh proofs, past the time in which it must be gone.
 */
static void what_was_cancelled_is_not_renewed_past_its_time(void **state)
{
	struct fixture *f = *state;
	double cache_report = f->config.cancel_s - f->config.lease_s - 1;
	struct fl_task_report p = running(0, 1);
	struct fl_finished_job *final;

	follow(f, 0);
	/* One more lease still ends before the tasks must be gone. */
	hear_of_cancel(f, cache_report - 2);
	assert_int_equal(send_report(f, report(1, 20, EPOCH, &p, 1), NULL), 200);
	final = fl_finished_find(&f->node.cluster, p.ref);
	assert_non_null(final);
	final->cancelled_at -= 3;
	assert_int_equal(send_report(f, report(1, 21, EPOCH, &p, 1), NULL), 503);
	/* Others are kept on, and so is this one when the task has ended. */
	strcpy(p.ref, "run-000002");
	assert_int_equal(send_report(f, report(1, 22, EPOCH, &p, 1), NULL), 200);
	strcpy(p.ref, "run-000001");
	p.state = FL_ENDED;
	assert_int_equal(send_report(f, report(1, 23, EPOCH, &p, 1), NULL), 200);
	/* With the jobs not heard of for so long, any may have been cancelled. */
	f->node.cancellations_known_until = fl_now() - cache_report - 1;
	f->node.jobs_known = true;
	assert_int_equal(send_report(f, report(1, 24, EPOCH, NULL, 0), NULL), 503);
}

/* One exchange between two controllers, asked so long ago. */
static void gossip(struct fixture *from, int peer, struct fixture *to, double ago_s)
{
	char *ask = fl_standby_gossip_request(&from->node);
	struct fl_response resp = {0};

	fl_standby_gossip(&to->node, ask, strlen(ask), &resp);
	assert_int_equal(resp.status, 200);
	fl_standby_gossip_answer(&from->node, &from->node.peers[peer], resp.body, strlen(resp.body),
	                         fl_now() - ago_s);
	free(resp.body);
	free(ask);
}

/*
 * The day that the users call gap: a node that the state service refuses hears from another what
 * has been cancelled, so it knows as much as that one, and stops it with the very answer that
 * renews the lease.
 */
static void what_one_controller_knows_another_learns(void **state)
{
	struct fixture *f = *state, *other;
	struct fl_task_report p = running(0, 1);
	double cache_report = f->config.cancel_s - f->config.lease_s - 1;

	set_up((void **)&other);
	follow(f, 2);
	follow(other, 2);
	f->node.cancellations_known_until = fl_now() - cache_report - 1;
	assert_int_equal(send_report(f, report(1, 20, EPOCH, &p, 1), NULL), 503);
	/* The other has read the records 3 s ago, and a job has been cancelled since. */
	hear_of_cancel(other, 1);
	other->node.cancellations_known_until = fl_now() - 3;
	gossip(f, 0, other, 0.01);
	assert_true(f->node.cancellations_known_until > fl_now() - 4 &&
	            f->node.cancellations_known_until < fl_now() - 3);
	assert_int_equal(send_report(f, report(1, 21, EPOCH, &p, 1), NULL), 200);
	assert_int_equal(kills_in_answer, 1);
	/* What has ended needs no stop, and what is not cancelled gets none. */
	p.state = FL_ENDED;
	assert_int_equal(send_report(f, report(1, 22, EPOCH, &p, 1), NULL), 200);
	assert_int_equal(kills_in_answer, 0);
	p = running(0, 1);
	strcpy(p.ref, "run-000002");
	assert_int_equal(send_report(f, report(1, 23, EPOCH, &p, 1), NULL), 200);
	assert_int_equal(kills_in_answer, 0);
	tear_down((void **)&other);
}

/*
 * In an outage nobody can read. But no user is told of a cancellation except by a controller that
 * has learned of it: when all have answered, the oldest question counts like a read. One that is
 * silent, has not read since it started, knows more than fits, or answers too late ends that.
 */
static void what_all_controllers_know_is_as_good_as_a_read(void **state)
{
	struct fixture *f = *state, *a, *b;
	double cache_report = f->config.cancel_s - f->config.lease_s - 1, old;

	set_up((void **)&a);
	set_up((void **)&b);
	follow(f, 2);
	follow(a, 2);
	follow(b, 2);
	old = f->node.cancellations_known_until = a->node.cancellations_known_until =
		b->node.cancellations_known_until = fl_now() - cache_report - 1;
	gossip(f, 0, a, 0.1);
	assert_true(f->node.cancellations_known_until <= old);
	b->node.jobs_known = false; /* back since a moment ago: what did the one before it say? */
	gossip(f, 1, b, 0.1);
	assert_true(f->node.cancellations_known_until <= old);
	b->node.jobs_known = true;
	gossip(f, 1, b, 2.0); /* it stood still between the question and its sending */
	assert_true(f->node.cancellations_known_until <= old);
	b->node.cluster.finished_lost_at = fl_now(); /* something learned is not held any more */
	gossip(f, 1, b, 0.1);
	assert_true(f->node.cancellations_known_until <= old);
	b->node.cluster.finished_lost_at = -1e9;
	for (int i = 0; i <= FL_GOSSIP_CANCELLED_MAX; i++) {
		char ref[FL_REF_MAX];

		snprintf(ref, sizeof(ref), "run-%06d", 1000 + i);
		fl_finished_add(&b->node.cluster, ref, FL_CANCELLED, 1, fl_now());
	}
	gossip(f, 1, b, 0.1);
	assert_true(f->node.cancellations_known_until <= old);
	for (struct fl_finished_job *e = b->node.cluster.finished; e; e = e->hh.next)
		e->learned_at = old - 9; /* known before what the asker knows: not told again */
	/* The last thing that it learned, and the only one that is told. */
	fl_finished_add(&b->node.cluster, "run-000001", FL_CANCELLED, 1, fl_now());
	gossip(f, 1, b, 0.1);
	assert_true(f->node.cancellations_known_until > fl_now() - 1 &&
	            f->node.cancellations_known_until < fl_now());
	assert_int_equal(HASH_COUNT(f->node.cluster.finished), 1);
	assert_int_equal(send_report(f, report(1, 20, EPOCH, NULL, 0), NULL), 200);
	/* This node itself has not read since it started. */
	f->node.cancellations_known_until = old;
	f->node.jobs_known = false;
	gossip(f, 0, a, 0.1);
	gossip(f, 1, b, 0.1);
	assert_true(f->node.cancellations_known_until <= old);
	tear_down((void **)&a);
	tear_down((void **)&b);
}

/* Relayed on two ways, only the second answer reached the worker, and it had nothing to say. */
static void a_report_that_comes_twice_is_answered_with_the_stop_twice(void **state)
{
	struct fixture *f = *state;
	struct fl_task_report p = running(0, 1);
	cJSON *v = cancelled_record(f, 1);

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	p.attempt = place(f, 0)->attempt;
	assert_non_null(fl_cluster_apply(&f->node.cluster, f->job->ref, v, 9));
	cJSON_Delete(v);
	for (int i = 0; i < 2; i++) {
		assert_int_equal(send_report(f, report(1, 2, EPOCH, &p, 1), NULL), 200);
		assert_int_equal(kills_in_answer, 1);
	}
}

struct waiting_report {
	struct fixture *f;
	struct fl_report r;
	int status;
};

static void send_and_wait(void *arg)
{
	struct waiting_report *w = arg;

	w->status = send_report(w->f, w->r, NULL);
}

/*
 * Found with slow controllers that had all ended: the report came before the list of jobs, waited
 * for it, and was kept by what had been known before the wait.
 */
static void what_came_up_during_a_wait_counts(void **state)
{
	struct fixture *f = *state;
	struct fl_task_report p = running(0, 1);
	struct waiting_report w = {.f = f, .r = report(1, 20, EPOCH, &p, 1)};
	struct ev_loop *loop = ev_loop_new(0);

	fl_routines_init(loop);
	follow(f, 0);
	f->node.cancellations_known_until = -1e9;
	f->node.jobs_known = false;
	assert_non_null(fl_spawn(send_and_wait, &w));
	ev_run(loop, EVRUN_NOWAIT);
	assert_int_equal(w.status, 0);
	hear_of_cancel(f, f->config.cancel_s - f->config.lease_s + 1);
	f->node.cancellations_known_until = fl_now();
	f->node.jobs_known = true;
	fl_signal_wake(&f->node.jobs_listed);
	ev_run(loop, EVRUN_NOWAIT);
	assert_int_equal(w.status, 503);
	fl_routines_shutdown();
	ev_loop_destroy(loop);
}

/* Nor by a leader that answers a report without taking it in, as each new one does at first. */
static void a_new_leader_does_not_keep_it_either(void **state)
{
	struct fixture *f = *state;
	struct fl_task_report p = running(0, 1);
	double cache_report = f->config.cancel_s - f->config.lease_s - 1;

	f->node.cluster.leading = false;
	hear_of_cancel(f, cache_report + 2);
	lead(f, EPOCH + 1);
	assert_int_equal(send_report(f, report(1, 20, EPOCH, &p, 1), NULL), 503);
	/* One that is taken in has its task stopped, and the answer may renew the lease. */
	assert_int_equal(send_report(f, report(1, 21, EPOCH + 1, &p, 1), NULL), 200);
	assert_int_equal(send_report(f, report(1, 21, EPOCH + 1, &p, 1), NULL), 503);
}

/*
 * Found with controllers eight times slower: the write of a cancellation went unanswered, and the
 * leader, which took the record for its own old news, stopped nothing that its user was told of.
 */
static void a_leader_hears_of_a_cancellation_from_the_record(void **state)
{
	struct fixture *f = *state;
	struct fl_finished_job *final;
	struct fl_job_record rec;
	cJSON *v;

	f->job->unsure = true;
	v = cancelled_record(f, 3);
	assert_int_equal(fl_job_record_decode(v, f->job->ref, &rec), 0);
	fl_record_writer_heard(&f->node, f->job, &rec, 9);
	assert_true(f->job->cancelled && !f->job->unsure && f->job->rev == 9);
	/* Or while it still loads its cluster state, and its lease may be another's already. */
	f->job->cancelled = f->node.lead.active = false;
	final = f->node.cluster.finished;
	HASH_DEL(f->node.cluster.finished, final);
	free(final);
	assert_ptr_equal(fl_cluster_apply(&f->node.cluster, f->job->ref, v, 10), f->job);
	cJSON_Delete(v);
	assert_true(f->job->cancelled && f->job->rev == 10);
	assert_true(fabs(f->job->cancelled_at - (fl_now() - 3)) < 1);
	assert_non_null(fl_finished_find(&f->node.cluster, f->job->ref));
}

/* A new leader goes on counting: else one that leads briefly would never give a machine up. */
static void a_cancellation_keeps_its_age_across_a_takeover(void **state)
{
	struct fixture *f = *state;
	struct fl_job_record rec;
	cJSON *v;

	v = cancelled_record(f, 20);
	assert_int_equal(fl_job_record_decode(v, f->job->ref, &rec), 0);
	cJSON_Delete(v);
	assert_true(rec.final && rec.has_spec && rec.status == FL_CANCELLED);
	assert_true(fabs(fl_since(rec.cancelled) - (fl_now() - 20)) < 1);
	/* Records of earlier versions do not say: they count from now. */
	assert_true(fabs(fl_since(0) - fl_now()) < 1);
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

/* ---- when silence ends a machine ---- */

static void silent_for(struct fixture *f, double seconds)
{
	struct fl_machine *m = machine(f);

	m->heard = m->reached = m->created = fl_now() - seconds;
	f->node.lead.since = fl_now() - 1000;
}

static bool given_up(struct fixture *f)
{
	double leases[FL_ZONES_MAX];

	fl_failure_detector_leases(&f->node, fl_now(), leases);
	return fl_failure_detector_expired(&f->node, machine(f), fl_now(), leases);
}

/* Alone it is given up after a lease; with its zone's controllers, when these must stop keeping. */
static void a_zone_that_falls_silent_keeps_its_machines(void **state)
{
	struct fixture *f = *state;
	struct fl_peer *p = &f->node.peers[0];
	double cache_report = f->config.cancel_s - f->config.lease_s - 1;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	f->node.n_peers = 1;
	strcpy(p->location, "a");
	p->up = true;
	/* All controllers well for long: nothing but the machine is amiss, and less is allowed. */
	p->up_since = fl_now() - 100;
	silent_for(f, 7);
	assert_false(given_up(f));
	silent_for(f, 8);
	assert_true(given_up(f));
	/* One came up lately: workers may still be looking for a node. */
	p->up_since = fl_now() - 5;
	silent_for(f, 9);
	assert_false(given_up(f));
	silent_for(f, 11);
	assert_true(given_up(f));
	/* The controller of its zone fell silent at the same time. */
	p->up = false;
	p->heard_at = fl_now() - 12;
	assert_false(given_up(f));
	silent_for(f, f->config.lease_s + cache_report + 1);
	p->heard_at = machine(f)->heard;
	assert_true(given_up(f));
	/* Of another zone, or long before: it keeps nothing here. */
	silent_for(f, 11);
	p->heard_at = fl_now() - 30;
	assert_true(given_up(f));
	p->heard_at = machine(f)->heard;
	strcpy(p->location, "b");
	assert_true(given_up(f));
}

static struct fl_machine *another(struct fixture *f, int i, bool spot, int zone)
{
	char name[FL_NAME_MAX];
	struct fl_machine *m;

	snprintf(name, sizeof(name), "m-%06d", i);
	m = fl_machine_get(&f->node.cluster.machines, name, fl_now() - 100);
	fl_cluster_describe(&f->node.cluster, m, 0, zone, spot, "x");
	m->up = true;
	m->heard = fl_now();
	return m;
}

/*
 * Found on a standard day: a zone apart, whose controller had just ended, went by twos and threes,
 * each time too few to look like a fault of the links, until all of it was returned.
 */
static void a_zone_does_not_go_by_twos_and_threes(void **state)
{
	struct fixture *f = *state;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	for (int i = 2; i < 22; i++)
		another(f, i, false, 1);
	/* This one is due; three more of its zone are on their way there, of four. */
	for (int i = 30; i < 33; i++)
		another(f, i, false, 0)->heard = fl_now() - 7;
	silent_for(f, 11);
	assert_false(given_up(f));
	silent_for(f, 31);
	assert_true(given_up(f));
	/* A wave of cheap machines says nothing of the links. */
	silent_for(f, 11);
	for (int i = 30; i < 33; i++)
		fl_machine_find(&f->node.cluster.machines, i == 30   ? "m-000030"
		                                           : i == 31 ? "m-000031"
		                                                     : "m-000032")
			->spot = true;
	assert_true(given_up(f));
}

/*
 * Found at a thousand machines: dozens that died at once were waited for as if it were two links
 * that had failed, since more than two were silent. How many is many depends on how many there are.
 */
static void a_few_of_many_machines_are_given_up_early(void **state)
{
	struct fixture *f = *state;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	for (int i = 2; i < 42; i++)
		another(f, i, false, i % 2)->heard = fl_now() - (i < 7 ? 7 : 0);
	silent_for(f, 8);
	assert_true(given_up(f));
	for (int i = 43; i < 46; i++)
		another(f, i, false, i % 2)->heard = fl_now() - 7;
	assert_false(given_up(f));
	silent_for(f, 11);
	assert_true(given_up(f));
}

/* A deaf machine is given up like a silent one, though it reports; many at once point at us. */
static void deafness_counts_as_silence_but_not_of_all_at_once(void **state)
{
	struct fixture *f = *state;

	hear(f, report(1, 1, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	place(f, 0);
	for (uint64_t seq = 2; seq < 5; seq++) {
		ago(f, 12);
		hear(f, report(1, seq, EPOCH, NULL, 0), FL_SOURCE_REPORT);
	}
	assert_true(given_up(f));
	for (int i = 2; i < 6; i++) {
		struct fl_machine *m = another(f, i, false, 0);

		m->unheard = 3;
		m->unheard_since = fl_now() - 12;
	}
	assert_false(given_up(f));
}

#define T(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_deaf_machine_gets_nothing_new_and_loses_nothing_early),
		T(an_idle_deaf_machine_is_found_too),
		T(what_shows_no_effect_was_not_heard),
		T(one_lost_answer_is_no_deafness),
		T(a_machine_that_reports_seldom_is_not_deaf),
		T(a_late_copy_after_a_takeover_is_answered_and_nothing_else),
		T(a_late_copy_within_a_leadership_changes_nothing),
		T(a_reply_that_overtakes_an_answer_proves_no_absence),
		T(a_standby_keeps_the_newest_report),
		T(what_was_cancelled_is_not_renewed_past_its_time),
		T(what_came_up_during_a_wait_counts),
		T(what_one_controller_knows_another_learns),
		T(what_all_controllers_know_is_as_good_as_a_read),
		T(a_report_that_comes_twice_is_answered_with_the_stop_twice),
		T(a_new_leader_does_not_keep_it_either),
		T(a_leader_hears_of_a_cancellation_from_the_record),
		T(a_cancellation_keeps_its_age_across_a_takeover),
		T(a_cached_report_survives_its_short_form),
		T(a_node_alone_sends_its_workers_away_once),
		T(a_node_cut_off_with_its_workers_keeps_them),
		T(a_worker_is_answered_before_it_is_sent_home),
		T(a_node_alone_says_so),
		T(a_zone_that_falls_silent_keeps_its_machines),
		T(a_zone_does_not_go_by_twos_and_threes),
		T(a_few_of_many_machines_are_given_up_early),
		T(deafness_counts_as_silence_but_not_of_all_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
