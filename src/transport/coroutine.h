/*
 * Stackful routines over libev: one for each connection and each long-lived duty. A cancelled
 * routine is not torn down from outside: every wait it makes from then on returns -ECANCELED
 * and it unwinds through its own cleanup.
 */
#ifndef FL_TRANSPORT_COROUTINE_H
#define FL_TRANSPORT_COROUTINE_H

#include <ev.h>
#include <stdbool.h>

struct fl_coroutine;

/* A place to wait for an event, first come, first woken; zero-initialised is ready for use. */
struct fl_condition {
	struct fl_coroutine *first, *last;
};

void fl_coroutines_init(struct ev_loop *loop);
struct ev_loop *fl_loop(void);
void fl_coroutines_run(void);
/* Cancels all routines and runs them to their ends. */
void fl_coroutines_shutdown(void);

/* NULL when no stack can be had. */
struct fl_coroutine *fl_coroutine_spawn(void (*fn)(void *), void *arg);
/* Must not be called once the routine's function has returned. */
void fl_coroutine_cancel(struct fl_coroutine *coroutine);
bool fl_coroutine_cancelled(void);
/* From now on this routine goes before all that are not urgent: for what must not come late. */
void fl_coroutine_set_urgent(void);
/*
 * Lets all else that is ready go first, for work that may come late. False at once if `max_waiting`
 * routines are waiting like that already, or this one is cancelled.
 */
bool fl_coroutine_defer(int max_waiting);
/* How many there are. */
int fl_coroutines_count(void);
/* More is ready than one turn could run: what comes in now waits. */
bool fl_coroutines_overloaded(void);

/* Waits: 0, -ETIMEDOUT or -ECANCELED. A negative time-out waits without end. */
int fl_sleep(double seconds);
int fl_io_wait(int fd, int events, double timeout_s);
/*
 * To be called by the routine that waited for this descriptor, before it closes it or hands it to
 * another routine: the registration of a wait is kept for the next one.
 */
void fl_io_unregister(int fd);
int fl_condition_wait(struct fl_condition *condition, double timeout_s);
void fl_condition_broadcast(struct fl_condition *condition);

#endif
