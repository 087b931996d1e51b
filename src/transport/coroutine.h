/*
 * Stackful coroutines over libev: one for each connection and each long-running task. They are
 * scheduled cooperatively, in one thread: state changes only where a coroutine waits. A cancelled
 * coroutine is not torn down from outside: every wait it makes from then on returns -ECANCELED, and
 * it unwinds through its own cleanup.
 */
#ifndef FL_TRANSPORT_COROUTINE_H
#define FL_TRANSPORT_COROUTINE_H

#include <ev.h>
#include <stdbool.h>

struct fl_coroutine;

/* An event to wait for; waiters are woken in the order they came. Zero-initialised is ready. */
struct fl_condition {
	struct fl_coroutine *first, *last;
};

/* Prepares the scheduler for this event loop, which it does not own. */
void fl_coroutines_init(struct ev_loop *loop);
/* The event loop. */
struct ev_loop *fl_event_loop(void);
/* Runs the event loop and the coroutines, until nothing is left to wait for. */
void fl_coroutines_run(void);
/* Cancels all coroutines and runs them to their ends. */
void fl_coroutines_shutdown(void);

/* Starts a coroutine, which is freed when its function returns; NULL: out of memory. */
struct fl_coroutine *fl_coroutine_spawn(void (*function)(void *), void *arg);
/*
 * Makes the coroutine's present wait and all its later ones return -ECANCELED. Must not be called
 * once its function has returned, since it is freed then.
 */
void fl_coroutine_cancel(struct fl_coroutine *coroutine);
/* Whether the current coroutine is cancelled. */
bool fl_coroutine_cancelled(void);
/* Lets the current coroutine run before all ready ones that are not urgent, from now on. */
void fl_coroutine_set_urgent(void);
/*
 * Lets all else that is ready go first, for work that may be late. False at once if `max_waiting`
 * coroutines are deferred already, or this one is cancelled.
 */
bool fl_coroutine_defer(int max_waiting);
/* How many coroutines there are. */
int fl_coroutines_count(void);
/* More is ready than one turn could run: what arrives now waits. */
bool fl_coroutines_overloaded(void);

/*
 * Each wait returns 0, -ETIMEDOUT or -ECANCELED. Times are seconds of the steady clock; a negative
 * timeout waits without end.
 */
/* Sleeps; 0 when the time is over. */
int fl_sleep(double seconds);
/* Waits until the descriptor is ready for `events` (EV_READ, EV_WRITE). */
int fl_io_wait(int fd, int events, double timeout_s);
/*
 * To be called by the coroutine that waited for this descriptor, before it closes it or hands it to
 * another coroutine: the registration of a wait is kept for the next one.
 */
void fl_io_unregister(int fd);
/* Waits for the condition's next broadcast. */
int fl_condition_wait(struct fl_condition *condition, double timeout_s);
/* Wakes all that wait. */
void fl_condition_broadcast(struct fl_condition *condition);

#endif
