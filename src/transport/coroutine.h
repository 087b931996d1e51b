/*
 * Stackful coroutines over libev: one for each connection and each long-running activity. They are
 * scheduled cooperatively in one thread, so other coroutines change shared state only while a
 * coroutine waits. A cancelled coroutine is not destroyed from outside: its present and later waits
 * return -ECANCELED, and its function cleans up and returns.
 */
#ifndef FL_TRANSPORT_COROUTINE_H
#define FL_TRANSPORT_COROUTINE_H

#include <ev.h>
#include <stdbool.h>

struct fl_coroutine;

/*
 * An event that coroutines wait for; they are woken in the order in which they began to wait. A
 * zero-initialised condition has no waiters.
 */
struct fl_condition {
	struct fl_coroutine *first, *last;
};

/* Initialises the coroutine scheduler for this event loop, which it does not own. */
void fl_coroutines_init(struct ev_loop *loop);
/* Returns the coroutine scheduler's event loop. */
struct ev_loop *fl_event_loop(void);
/* Runs the event loop and the coroutines until ev_break ends the loop. */
void fl_coroutines_run(void);
/* Cancels all coroutines and runs them until their functions have returned. */
void fl_coroutines_shutdown(void);

/* Starts a coroutine, which is freed when its function returns; NULL when out of memory. */
struct fl_coroutine *fl_coroutine_spawn(void (*function)(void *), void *arg);
/*
 * Makes the coroutine's present wait and all its later ones return -ECANCELED. Must not be called
 * after the coroutine's function has returned, since the coroutine is freed then.
 */
void fl_coroutine_cancel(struct fl_coroutine *coroutine);
/* Returns whether the current coroutine is cancelled. */
bool fl_coroutine_cancelled(void);
/* From now on, runs the current coroutine before all ready ones that are not urgent. */
void fl_coroutine_set_urgent(void);
/*
 * Lets other ready coroutines run before the current one, whose work tolerates a delay. Returns
 * false, without waiting, if `max_waiting` coroutines are deferred already, and false if the
 * current coroutine is cancelled.
 */
bool fl_coroutine_defer(int max_waiting);
/* Returns the number of coroutines. */
int fl_coroutines_count(void);
/* Returns whether the last turn left coroutines ready, so that new events are served late. */
bool fl_coroutines_overloaded(void);

/*
 * Each wait returns 0, -ETIMEDOUT or -ECANCELED. Durations are in seconds of the monotonic clock; a
 * negative timeout means no timeout.
 */
/* Sleeps; returns 0 after the given time. */
int fl_sleep(double seconds);
/* Waits until the descriptor is ready for `events` (EV_READ, EV_WRITE). */
int fl_io_wait(int fd, int events, double timeout_s);
/*
 * Removes the current coroutine's registration of the descriptor, which stays after a wait so that
 * the next wait can reuse it. The coroutine that waited for a descriptor must call this before it
 * closes the descriptor or passes it to another coroutine.
 */
void fl_io_unregister(int fd);
/* Waits for the condition's next broadcast. */
int fl_condition_wait(struct fl_condition *condition, double timeout_s);
/* Wakes all coroutines that wait for the condition. */
void fl_condition_broadcast(struct fl_condition *condition);

#endif
