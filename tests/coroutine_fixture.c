/* A coroutine that ends the loop when it returns. */
#include "coroutine_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

struct coroutine_run {
	void (*function)(void *argument);
	void *argument;
	bool finished;
};

static void run_and_end_loop(void *context)
{
	struct coroutine_run *run = context;

	run->function(run->argument);
	run->finished = true;
	ev_break(fl_event_loop(), EVBREAK_ALL);
}

void run_coroutine(void (*function)(void *argument), void *argument)
{
	struct coroutine_run run = {.function = function, .argument = argument};

	assert_non_null(fl_coroutine_spawn(run_and_end_loop, &run));
	fl_coroutines_run();
	assert_true(run.finished);
}
