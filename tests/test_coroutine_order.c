/* In which order routines run: urgent ones, ordinary ones, and those that let others go first. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <string.h>

#include "transport/clock.h"
#include "transport/coroutine.h"

enum { MAX_WAITING = 2, ORDER_SIZE = 32, ROUNDS = 16 };
static const double longer_than_a_turn_s = 0.02;

/* The clock that turns are measured by: it advances only where a routine computes for long. */
static double now = 1000;

double fl_now(void) { return now; }

static char order[ORDER_SIZE];

static void note(char c) { order[strlen(order)] = c; }

static void ordinary(void *arg) { note(*(const char *)arg); }

/* Computes until its turn is over. */
static void slow(void *arg)
{
	now += longer_than_a_turn_s;
	note(*(const char *)arg);
}

static void deferred(void *arg)
{
	if (fl_coroutine_defer(MAX_WAITING))
		note(*(const char *)arg);
	else
		note('-');
}

static void urgent(void *arg)
{
	fl_coroutine_set_urgent();
	fl_sleep(0);
	note(*(const char *)arg);
}

static void cancelled(void *arg)
{
	fl_coroutine_cancel(arg);
	note('c');
}

/* No routine here waits for long: a few rounds of the loop, none of which may sleep. */
static void run_all(void)
{
	for (int i = 0; i < ROUNDS; i++)
		ev_run(fl_loop(), EVRUN_NOWAIT);
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
	struct ev_loop *loop = fl_loop();

	(void)state;
	fl_coroutines_shutdown();
	ev_loop_destroy(loop);
	return 0;
}

static void deferred_work_lets_all_else_go_first(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(deferred, "1"));
	assert_non_null(fl_coroutine_spawn(ordinary, "a"));
	assert_non_null(fl_coroutine_spawn(deferred, "2"));
	assert_non_null(fl_coroutine_spawn(ordinary, "b"));
	run_all();
	assert_string_equal(order, "ab12");
}

/* However much is ready, one of the deferred runs each turn. */
static void deferred_work_is_not_starved(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(deferred, "1"));
	assert_non_null(fl_coroutine_spawn(deferred, "2"));
	assert_non_null(fl_coroutine_spawn(slow, "a"));
	assert_non_null(fl_coroutine_spawn(slow, "b"));
	assert_non_null(fl_coroutine_spawn(slow, "c"));
	run_all();
	assert_string_equal(order, "a1b2c");
}

static void who_finds_too_many_waiting_is_told_at_once(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(deferred, "1"));
	assert_non_null(fl_coroutine_spawn(deferred, "2"));
	assert_non_null(fl_coroutine_spawn(deferred, "3"));
	assert_non_null(fl_coroutine_spawn(ordinary, "a"));
	run_all();
	assert_string_equal(order, "-a12");
}

static void urgent_work_goes_before_deferred(void **state)
{
	(void)state;
	assert_non_null(fl_coroutine_spawn(urgent, "u"));
	assert_non_null(fl_coroutine_spawn(slow, "a"));
	assert_non_null(fl_coroutine_spawn(deferred, "1"));
	assert_non_null(fl_coroutine_spawn(slow, "b"));
	run_all();
	/* The urgent one's timer is due when the first turn is over. */
	assert_string_equal(order, "aub1");
}

static void a_cancelled_one_goes_on_without_its_turn(void **state)
{
	struct fl_coroutine *coroutine;

	(void)state;
	coroutine = fl_coroutine_spawn(deferred, "1");
	assert_non_null(coroutine);
	assert_non_null(fl_coroutine_spawn(cancelled, coroutine));
	run_all();
	assert_string_equal(order, "c-");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(deferred_work_lets_all_else_go_first, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(deferred_work_is_not_starved, set_up, tear_down),
		cmocka_unit_test_setup_teardown(who_finds_too_many_waiting_is_told_at_once, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(urgent_work_goes_before_deferred, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(a_cancelled_one_goes_on_without_its_turn, set_up,
	                                        tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
