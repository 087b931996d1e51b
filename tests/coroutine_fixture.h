/* A coroutine that is run to its end, for tests of what only a coroutine can call. */
#ifndef FL_TESTS_COROUTINE_FIXTURE_H
#define FL_TESTS_COROUTINE_FIXTURE_H

#include "transport/coroutine.h"

/*
 * Runs the function as a coroutine on the loop that fl_coroutines_init was given, with all that it
 * spawns, until it returns; asserts that it did.
 */
void run_coroutine(void (*function)(void *argument), void *argument);

#endif
