/* Cancellation of coroutines, and precedence of urgent ones over those that compute for long. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <unistd.h>

#include "coroutine_fixture.h"
#include "transport/clock.h"

struct waiters {
	struct fl_condition condition;
	int woken_count, cancelled_count, unwound_count;
	int timeout_result; /* of a wait for a broadcast that does not come */
};

static void wait_for_condition(void *argument)
{
	struct waiters *waiters = argument;
	int rc = fl_condition_wait(&waiters->condition, -1);

	if (rc == 0)
		waiters->woken_count++;
	if (rc == -ECANCELED) {
		waiters->cancelled_count++;
		/* All later waits of a cancelled coroutine return at once, so that it unwinds. */
		if (fl_sleep(1000) == -ECANCELED && fl_io_wait(0, EV_READ, -1) == -ECANCELED)
			waiters->unwound_count++;
	}
}

static void cancel_one_waiter(void *argument)
{
	struct waiters *waiters = argument;
	struct fl_coroutine *third_waiter;

	fl_coroutine_spawn(wait_for_condition, waiters);
	fl_coroutine_spawn(wait_for_condition, waiters);
	third_waiter = fl_coroutine_spawn(wait_for_condition, waiters);
	fl_sleep(0);
	fl_coroutine_cancel(third_waiter);
	fl_sleep(0);
	fl_condition_broadcast(&waiters->condition);
	fl_sleep(0);
	waiters->timeout_result = fl_condition_wait(&waiters->condition, 0.001);
}

static void a_cancelled_coroutine_unwinds_by_itself(void **state)
{
	struct waiters waiters = {0};

	(void)state;
	fl_coroutines_init(ev_default_loop(0));
	run_coroutine(cancel_one_waiter, &waiters);
	fl_coroutines_shutdown();

	assert_int_equal(waiters.woken_count, 2);
	assert_int_equal(waiters.cancelled_count, 1);
	assert_int_equal(waiters.unwound_count, 1);
	assert_int_equal(waiters.timeout_result, -ETIMEDOUT);
}

enum { BUSY_COROUTINES = 3 };

struct turns {
	int pipe[2];
	int count;
	char order[BUSY_COROUTINES + 2]; /* b: a busy coroutine, u: the urgent one */
	ssize_t written;
	int wait_results[2];
};

static void compute_longer_than_a_turn(void *argument)
{
	struct turns *turns = argument;
	double until = fl_now() + 0.02; /* longer than a turn of the coroutine scheduler */

	if (turns->count == 0)
		turns->written = write(turns->pipe[1], "x", 1);
	turns->order[turns->count++] = 'b';
	while (fl_now() < until)
		;
	if (turns->count == BUSY_COROUTINES + 1)
		ev_break(fl_event_loop(), EVBREAK_ALL);
}

static void wait_urgently(void *argument)
{
	struct turns *turns = argument;

	fl_coroutine_set_urgent();
	for (int i = 0; i < BUSY_COROUTINES; i++)
		fl_coroutine_spawn(compute_longer_than_a_turn, turns);
	turns->wait_results[0] = fl_io_wait(turns->pipe[0], EV_READ, 10);
	turns->order[turns->count++] = 'u';
	/* Data that has arrived by the timeout is not missed, even if both are handled late. */
	turns->wait_results[1] = fl_io_wait(turns->pipe[0], EV_READ, 0);
}

/*
 * Guards against a lost leader lease: on a controller eight times slower, all coroutines that were
 * ready ran before the response to a lease renewal was read, and a lease renewed in time was lost.
 */
static void an_urgent_coroutine_runs_before_others_that_are_ready(void **state)
{
	struct turns turns = {.wait_results = {-1, -1}};

	(void)state;
	assert_int_equal(pipe(turns.pipe), 0);
	fl_coroutines_init(ev_default_loop(0));
	assert_non_null(fl_coroutine_spawn(wait_urgently, &turns));
	fl_coroutines_run();
	fl_coroutines_shutdown();
	close(turns.pipe[0]);
	close(turns.pipe[1]);

	assert_int_equal(turns.written, 1);
	assert_int_equal(turns.wait_results[0], 0);
	assert_int_equal(turns.wait_results[1], 0);
	assert_string_equal(turns.order, "bubb");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_cancelled_coroutine_unwinds_by_itself),
		cmocka_unit_test(an_urgent_coroutine_runs_before_others_that_are_ready),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
