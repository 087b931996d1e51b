/*
 * Stackful routines over libev: one for each connection and each long-lived duty. A cancelled
 * routine is not torn down from outside: every wait it makes from then on returns -ECANCELED
 * and it unwinds through its own cleanup.
 */
#ifndef FL_TRANSPORT_ROUTINE_H
#define FL_TRANSPORT_ROUTINE_H

#include <ev.h>
#include <stdbool.h>

struct fl_routine;

/* A place to wait for an event, first come, first woken; zero-initialised is ready for use. */
struct fl_signal {
	struct fl_routine *first, *last;
};

void fl_routines_init(struct ev_loop *loop);
struct ev_loop *fl_loop(void);
void fl_routines_run(void);
/* Cancels all routines and runs them to their ends. */
void fl_routines_shutdown(void);

/* NULL when no stack can be had. */
struct fl_routine *fl_spawn(void (*fn)(void *), void *arg);
/* Must not be called once the routine's function has returned. */
void fl_cancel(struct fl_routine *r);
bool fl_cancelled(void);
/* From now on this routine goes before all that are not urgent: for what must not come late. */
void fl_urgent(void);
/*
 * Lets all else that is ready go first, for work that may come late. False at once if `max_waiting`
 * routines are waiting like that already, or this one is cancelled.
 */
bool fl_defer(int max_waiting);
/* How many there are. */
int fl_routines_count(void);
/* More is ready than one turn could run: what comes in now waits. */
bool fl_routines_behind(void);

/* Waits: 0, -ETIMEDOUT or -ECANCELED. A negative time-out waits without end. */
int fl_sleep(double seconds);
int fl_wait_io(int fd, int events, double timeout_s);
/*
 * To be called by the routine that waited for this descriptor, before it closes it or hands it to
 * another routine: the registration of a wait is kept for the next one.
 */
void fl_unregister_io(int fd);
int fl_signal_wait(struct fl_signal *sig, double timeout_s);
void fl_signal_wake(struct fl_signal *sig);

#endif
