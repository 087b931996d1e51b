/*
 * Messages that arrive one way only, late, or twice: machines that report and receive no answers,
 * copies of reports long after them, and replies that overtake answers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <math.h>
#include <string.h>

#include "coordination/reachability.h"
#include "node_fixture.h"
#include "transport/clock.h"

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

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_deaf_machine_gets_nothing_new_and_loses_nothing_early),
		NODE_TEST(an_idle_deaf_machine_is_found_too),
		NODE_TEST(what_shows_no_effect_was_not_heard),
		NODE_TEST(one_lost_answer_is_no_deafness),
		NODE_TEST(a_machine_that_reports_seldom_is_not_deaf),
		NODE_TEST(a_late_copy_after_a_takeover_is_answered_and_nothing_else),
		NODE_TEST(a_late_copy_within_a_leadership_changes_nothing),
		NODE_TEST(a_reply_that_overtakes_an_answer_proves_no_absence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
