/*
 * Cancelled jobs: their tasks end in bounded time, whichever controllers are reachable, since no
 * lease of a worker is renewed by a node that cannot exclude a cancellation.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/record_writer.h"
#include "node_fixture.h"
#include "transport/clock.h"

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
	assert_true(rec.final && rec.has_run && rec.status == FL_CANCELLED);
	assert_true(fabs(fl_since(rec.cancelled) - (fl_now() - 20)) < 1);
	/* Records of earlier versions do not say: they count from now. */
	assert_true(fabs(fl_since(0) - fl_now()) < 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(what_was_cancelled_is_not_renewed_past_its_time),
		NODE_TEST(what_came_up_during_a_wait_counts),
		NODE_TEST(what_one_controller_knows_another_learns),
		NODE_TEST(what_all_controllers_know_is_as_good_as_a_read),
		NODE_TEST(a_report_that_comes_twice_is_answered_with_the_stop_twice),
		NODE_TEST(a_new_leader_does_not_keep_it_either),
		NODE_TEST(a_leader_hears_of_a_cancellation_from_the_record),
		NODE_TEST(a_cancellation_keeps_its_age_across_a_takeover),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
