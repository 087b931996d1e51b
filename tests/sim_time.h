/*
 * Virtual time of the simulation: clocks, timers, and the coroutines of the simulated processes.
 * Linked instead of transport/clock.c and transport/coroutine.c. Time advances only when no
 * coroutine is ready, to the due time of the next timer; timers that are due at the same time fire
 * in the order in which they were armed. Random numbers come from one seed, so the same seed always
 * gives the same run. All times are seconds. Neither clock starts at 0, so that a point in time
 * that is mistaken for a duration is noticed.
 */
#ifndef FL_TESTS_SIM_TIME_H
#define FL_TESTS_SIM_TIME_H

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

#include "transport/coroutine.h"

/* Aborts if the condition is false, also in builds without assert(). */
static inline void sim_require(bool holds)
{
	if (!holds)
		abort();
}

/* ---- time ---- */

/* Owned by the caller, who zeroes it before its first use. */
struct sim_timer {
	double due_at;
	uint64_t sequence;
	int heap_index; /* position in the heap, from 1; 0: not armed */
	void (*function)(void *);
	void *argument;
};

void sim_time_begin(void);
/* Runs everything that is due by `until`. */
void sim_time_run(double until);
/* Cancels every coroutine, and disarms every timer and passes it to `drop`. */
void sim_time_end(void (*drop)(struct sim_timer *timer));
void sim_timer_arm(struct sim_timer *timer, double seconds);
void sim_timer_disarm(struct sim_timer *timer);
/* Disarms the first timer due by `until`, and sets the clocks to its due time; NULL: none. */
struct sim_timer *sim_timer_pop_due(double until);
/* Disarms the first timer, due or not, without moving the clocks; NULL: none. */
struct sim_timer *sim_timer_pop_any(void);
void sim_clock_begin(void);
void sim_clock_set(double now);
void sim_clock_end(void);

/* ---- processes ---- */

/* The number of the current process, above 0; 0: the current code belongs to no controller. */
int sim_current_process(void);
struct fl_coroutine *sim_spawn(int process, void (*function)(void *), void *arg);
/* Cancels the coroutines of the process, which have ended after the caller's next wait. */
void sim_process_cancel(int process);
int sim_process_coroutine_count(int process);
/* Pauses the process until `until`, while its clocks run on: its coroutines wake late. */
void sim_process_pause_until(int process, double until);
/* Called before each coroutine of a process runs: a slow process is paused before the next one. */
void sim_process_delay_if_slow(int process);

/* ---- random numbers ---- */

void sim_seed(uint64_t seed);
double sim_random_between(double low, double high);
/* Returns 0 to count - 1, or 0 if the count is 0. */
int sim_random_index(int count);
bool sim_chance(double probability);

#endif
