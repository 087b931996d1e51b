/* The order in which urgent, ordinary and deferred coroutines run. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "transport/clock.h"
#include "transport/coroutine.h"

enum { MAX_WAITING = 2, ORDER_SIZE = 32, LOOP_ITERATIONS = 16 };
static const double longer_than_a_turn_s = 0.02;

/* The clock that limits a turn of the coroutine scheduler; it advances only in run_slow(). */
static double fake_now = 1000;

double fl_now(void) { return fake_now; }

static char order[ORDER_SIZE];

static void append_to_order(char letter) { order[strlen(order)] = letter; }

static void run_ordinary(void *argument) { append_to_order(*(const char *)argument); }

/* Takes longer than a turn of the coroutine scheduler. */
static void run_slow(void *argument)
{
	fake_now += longer_than_a_turn_s;
	append_to_order(*(const char *)argument);
}

static void run_deferred(void *argument)
{
	if (fl_coroutine_defer(MAX_WAITING))
		append_to_order(*(const char *)argument);
	else
		append_to_order('-');
}

static void run_urgent(void *argument)
{
	fl_coroutine_set_urgent();
	fl_sleep(0);
	append_to_order(*(const char *)argument);
}

static void cancel_other(void *argument)
{
	fl_coroutine_cancel(argument);
	append_to_order('c');
}

/* Runs the event loop without sleeping, often enough for all coroutines of a test to end. */
static void run_all(void)
{
	for (int i = 0; i < LOOP_ITERATIONS; i++)
		ev_run(fl_event_loop(), EVRUN_NOWAIT);
}

static int set_up(void **state)
{
	(void)state;
	memset(order, 0, sizeof(order));
	fl_coroutines_init(ev_loop_new(EVFLAG_AUTO));
	return 0;
}

static int tear_down(void **state)
{
	struct ev_loop *loop = fl_event_loop();

	(void)state;
	fl_coroutines_shutdown();
	ev_loop_destroy(loop);
	return 0;
}

static void a_deferred_coroutine_runs_after_all_others_that_are_ready(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(run_deferred, "1"));
	assert_non_null(fl_coroutine_spawn(run_ordinary, "a"));
	assert_non_null(fl_coroutine_spawn(run_deferred, "2"));
	assert_non_null(fl_coroutine_spawn(run_ordinary, "b"));

	run_all();
	assert_string_equal(order, "ab12");
}

/* One deferred coroutine runs in each turn, even if others are still ready. */
static void a_deferred_coroutine_is_not_starved_by_slow_ones(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(run_deferred, "1"));
	assert_non_null(fl_coroutine_spawn(run_deferred, "2"));
	assert_non_null(fl_coroutine_spawn(run_slow, "a"));
	assert_non_null(fl_coroutine_spawn(run_slow, "b"));
	assert_non_null(fl_coroutine_spawn(run_slow, "c"));

	run_all();
	assert_string_equal(order, "a1b2c");
}

static void a_coroutine_is_not_deferred_when_too_many_are_waiting(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(run_deferred, "1"));
	assert_non_null(fl_coroutine_spawn(run_deferred, "2"));
	assert_non_null(fl_coroutine_spawn(run_deferred, "3"));
	assert_non_null(fl_coroutine_spawn(run_ordinary, "a"));

	run_all();
	assert_string_equal(order, "-a12");
}

static void an_urgent_coroutine_runs_before_a_deferred_one(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(run_urgent, "u"));
	assert_non_null(fl_coroutine_spawn(run_slow, "a"));
	assert_non_null(fl_coroutine_spawn(run_deferred, "1"));
	assert_non_null(fl_coroutine_spawn(run_slow, "b"));

	run_all();

	/* The timer of the urgent coroutine is due after the first turn. */
	assert_string_equal(order, "aub1");
}

static void a_deferral_fails_when_the_coroutine_is_cancelled(void **state)
{
	struct fl_coroutine *coroutine;

	(void)state;
	coroutine = fl_coroutine_spawn(run_deferred, "1");
	assert_non_null(coroutine);
	assert_non_null(fl_coroutine_spawn(cancel_other, coroutine));
	run_all();
	assert_string_equal(order, "c-");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_deferred_coroutine_runs_after_all_others_that_are_ready, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(a_deferred_coroutine_is_not_starved_by_slow_ones,
	                                        set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_coroutine_is_not_deferred_when_too_many_are_waiting, set_up, tear_down),
		cmocka_unit_test_setup_teardown(an_urgent_coroutine_runs_before_a_deferred_one,
	                                        set_up, tear_down),
		cmocka_unit_test_setup_teardown(a_deferral_fails_when_the_coroutine_is_cancelled,
	                                        set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
