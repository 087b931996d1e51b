/*
 * Virtual time of the simulation: clocks, timers, and the coroutines of the simulated processes.
 * Linked instead of transport/clock.c and transport/coroutine.c. Time passes only between pieces of
 * work, from timer to timer; timers that are due at the same time fire in the order in which they
 * were armed. Random numbers come from one seed, so the same seed always gives the same run. All
 * times are seconds; both clocks begin somewhere, so that nothing takes them for spans.
 */
#ifndef FL_TESTS_SIM_TIME_H
#define FL_TESTS_SIM_TIME_H

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

#include "transport/coroutine.h"

/* Holds in every build, also where assert() is compiled out. */
static inline void sim_require(bool holds)
{
	if (!holds)
		abort();
}

/* ---- time ---- */

/* Owned by the caller, zeroed before its first use. */
struct sim_timer {
	double due_at;
	uint64_t sequence;
	int heap_index; /* place in the heap, from 1; 0: not armed */
	void (*function)(void *);
	void *argument;
};

void sim_time_begin(void);
/* Runs everything that is due up to then. */
void sim_time_run(double until);
/* Cancels every coroutine and drops every timer through `drop`. */
void sim_time_end(void (*drop)(struct sim_timer *timer));
void sim_timer_arm(struct sim_timer *timer, double seconds);
void sim_timer_disarm(struct sim_timer *timer);
/* The first that is due by then, disarmed, with the clocks put to it; NULL: none. */
struct sim_timer *sim_timer_pop_due(double until);
/* Any one, disarmed, and no clock moves; NULL: none. */
struct sim_timer *sim_timer_pop_any(void);
void sim_clock_begin(void);
void sim_clock_set(double now);
void sim_clock_end(void);

/* ---- processes ---- */

/* The current one. A process is a number above 0; 0 is whatever is not a controller. */
int sim_current_process(void);
struct fl_coroutine *sim_spawn(int process, void (*function)(void *), void *arg);
/* Its coroutines unwind at this very moment: gone after the caller's next wait. */
void sim_process_cancel(int process);
int sim_process_coroutine_count(int process);
/* Nothing of it runs before then, while its clocks run on: its timers fire late. */
void sim_process_pause_until(int process, double until);
/* It runs one piece of work: if it is slow now, the next has to wait. */
void sim_process_delay_if_slow(int process);

/* ---- random numbers ---- */

void sim_seed(uint64_t seed);
double sim_random_between(double low, double high);
/* From 0 to count - 1; 0 if there are none. */
int sim_random_index(int count);
bool sim_chance(double probability);

#endif
