/* Runs a coroutine until it returns, for tests of functions that only a coroutine may call. */
#ifndef FL_TESTS_COROUTINE_FIXTURE_H
#define FL_TESTS_COROUTINE_FIXTURE_H

#include "transport/coroutine.h"

/*
 * Runs `function` as a coroutine, together with all coroutines that it spawns, on the event loop
 * passed to fl_coroutines_init. Asserts that the function has returned.
 */
void run_coroutine(void (*function)(void *argument), void *argument);

#endif
