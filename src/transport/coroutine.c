#include "transport/coroutine.h"

#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/coroutine_context.h"
#include "transport/coroutine_queue.h"
#include "transport/coroutine_stack.h"

static const struct {
	double turn_s;
} tunables = {
	.turn_s = 0.005, /* s; ordinary coroutines run this long before new events are polled */
};

struct fl_coroutine {
	struct fl_coroutine_links links; /* must be first: see coroutine_queue.h */
	struct fl_coroutine_context context;
	struct fl_coroutine *prev, *next; /* neighbours in the list of all coroutines */
	struct ev_io io;
	struct ev_timer timer;
	int result;     /* result of the last wait */
	bool awaits_io; /* the present wait is for `io`; otherwise `io` may still be registered */
	bool suspended, ready, cancelled, urgent;
};
_Static_assert(offsetof(struct fl_coroutine, links) == 0, "see coroutine_queue.h");

static struct {
	struct ev_loop *loop;
	struct ev_prepare prepare;
	struct ev_idle more_ready; /* active while coroutines are ready: the loop must not block */
	struct fl_coroutine *all, *current;
	int coroutine_count;
	struct fl_coroutine_queue ready, urgent;
	/* Coroutines that run when no other is ready, and otherwise one at the end of a turn. */
	struct fl_coroutine_queue deferred;
	int deferred_count;
	struct fl_loop_context loop_context; /* context of the event loop's stack */
} scheduler;

struct ev_loop *fl_event_loop(void) { return scheduler.loop; }

static void enqueue(struct fl_coroutine_queue *queue, struct fl_coroutine *coroutine, int result)
{
	coroutine->ready = true;
	coroutine->result = result;
	fl_coroutine_queue_push(queue, coroutine);
}

static void make_ready(struct fl_coroutine *coroutine, int result)
{
	if (!coroutine->ready)
		enqueue(coroutine->urgent ? &scheduler.urgent : &scheduler.ready, coroutine,
		        result);
}

static struct fl_coroutine *pop_deferred(void)
{
	struct fl_coroutine *coroutine = fl_coroutine_queue_pop(&scheduler.deferred);

	scheduler.deferred_count -= coroutine != NULL;
	return coroutine;
}

/*
 * Ends the coroutine's wait and makes it ready. Its I/O watcher stays registered, since the next
 * wait is most often for the same socket.
 */
static void wake(struct fl_coroutine *coroutine, int result)
{
	coroutine->awaits_io = false;
	ev_timer_stop(scheduler.loop, &coroutine->timer);
	fl_condition_remove_waiter(coroutine);
	make_ready(coroutine, result);
}

static void on_io(struct ev_loop *loop, struct ev_io *watcher, int revents)
{
	struct fl_coroutine *coroutine = watcher->data;

	(void)revents;
	/* The coroutine waits for something else; the level-triggered event would repeat. */
	if (!coroutine->awaits_io)
		ev_io_stop(loop, watcher);
	else
		wake(coroutine, 0);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *watcher, int revents)
{
	(void)loop, (void)revents;
	wake(watcher->data, -ETIMEDOUT);
}

/* Frees a coroutine whose function has returned. */
static void destroy(struct fl_coroutine *coroutine)
{
	if (coroutine->prev)
		coroutine->prev->next = coroutine->next;
	else
		scheduler.all = coroutine->next;
	if (coroutine->next)
		coroutine->next->prev = coroutine->prev;
	ev_io_stop(scheduler.loop, &coroutine->io);
	scheduler.coroutine_count--;
	fl_coroutine_stack_release(coroutine->context.stack);
	free(coroutine);
}

/* Runs a coroutine on its own stack until it waits or its function returns. */
static void resume(struct fl_coroutine *coroutine)
{
	bool suspended;

	scheduler.current = coroutine;
	coroutine->ready = coroutine->suspended = false;
	suspended = fl_context_resume(&scheduler.loop_context, &coroutine->context,
	                              fl_coroutine_stack_size());
	scheduler.current = NULL;
	if (!suspended)
		destroy(coroutine);
}

/* Suspends the current coroutine until it is woken; returns the result of its wait. */
static int suspend(void)
{
	struct fl_coroutine *coroutine = scheduler.current;

	coroutine->suspended = true;
	fl_context_suspend(&scheduler.loop_context, &coroutine->context);
	return coroutine->cancelled ? -ECANCELED : coroutine->result;
}

/*
 * Runs ready coroutines for one turn: the urgent ones first, the others until `turn_s` has passed,
 * after which the loop polls for new events. When controllers ran several times slower than
 * usual, a turn over all ready coroutines took seconds, and a lease expired although the response
 * to its renewal had arrived. Deferred coroutines run when no other is ready, and otherwise one in
 * each turn, so that they are delayed but not starved.
 */
static void run_ready(void)
{
	double turn_end = fl_now() + tunables.turn_s;
	struct fl_coroutine *coroutine;

	while ((coroutine = fl_coroutine_queue_pop(&scheduler.urgent)) ||
	       (coroutine = fl_coroutine_queue_pop(&scheduler.ready)) ||
	       (coroutine = pop_deferred())) {
		resume(coroutine);
		if (!scheduler.urgent.head && (scheduler.ready.head || scheduler.deferred.head) &&
		    fl_now() > turn_end) {
			coroutine = scheduler.ready.head ? pop_deferred() : NULL;
			if (coroutine)
				resume(coroutine);
			break;
		}
	}
	if (scheduler.ready.head || scheduler.deferred.head)
		ev_idle_start(scheduler.loop, &scheduler.more_ready);
	else
		ev_idle_stop(scheduler.loop, &scheduler.more_ready);
}

static void on_idle(struct ev_loop *loop, struct ev_idle *watcher, int revents)
{
	(void)loop, (void)watcher, (void)revents;
}

static void on_prepare(struct ev_loop *loop, struct ev_prepare *watcher, int revents)
{
	(void)loop, (void)watcher, (void)revents;
	run_ready();
}

void fl_coroutines_init(struct ev_loop *loop)
{
	memset(&scheduler, 0, sizeof(scheduler));
	scheduler.loop = loop;
	ev_idle_init(&scheduler.more_ready, on_idle);
	ev_prepare_init(&scheduler.prepare, on_prepare);
	ev_prepare_start(loop, &scheduler.prepare);
}

void fl_coroutines_run(void) { ev_run(scheduler.loop, 0); }

void fl_coroutines_shutdown(void)
{
	struct fl_coroutine *coroutine;

	for (coroutine = scheduler.all; coroutine; coroutine = coroutine->next)
		fl_coroutine_cancel(coroutine);
	while (scheduler.all) {
		run_ready();
		if (scheduler.all)
			ev_run(scheduler.loop, EVRUN_NOWAIT);
	}
	ev_prepare_stop(scheduler.loop, &scheduler.prepare);
	ev_idle_stop(scheduler.loop, &scheduler.more_ready);
	fl_coroutine_stacks_free();
}

struct fl_coroutine *fl_coroutine_spawn(void (*function)(void *), void *arg)
{
	struct fl_coroutine *coroutine = calloc(1, sizeof(*coroutine));

	if (!coroutine)
		return NULL;
	coroutine->context.stack = fl_coroutine_stack_acquire();
	if (!coroutine->context.stack) {
		free(coroutine);
		return NULL;
	}
	coroutine->context.function = function;
	coroutine->context.argument = arg;
	fl_context_init(&coroutine->context, fl_coroutine_stack_size());
	ev_init(&coroutine->io, on_io);
	/*
	 * After a process pause both watchers may be due; the data that has arrived must not be
	 * taken for a timeout.
	 */
	ev_set_priority(&coroutine->io, EV_MAXPRI);
	ev_init(&coroutine->timer, on_timer);
	coroutine->io.data = coroutine->timer.data = coroutine;
	coroutine->next = scheduler.all;
	if (scheduler.all)
		scheduler.all->prev = coroutine;
	scheduler.all = coroutine;
	scheduler.coroutine_count++;
	make_ready(coroutine, 0);
	return coroutine;
}

void fl_coroutine_cancel(struct fl_coroutine *coroutine)
{
	coroutine->cancelled = true;
	if (coroutine->suspended)
		wake(coroutine, -ECANCELED);
}

void fl_coroutine_set_urgent(void) { scheduler.current->urgent = true; }

bool fl_coroutine_defer(int max_waiting)
{
	struct fl_coroutine *coroutine = scheduler.current;

	if (coroutine->cancelled || scheduler.deferred_count >= max_waiting)
		return false;
	enqueue(&scheduler.deferred, coroutine, 0);
	scheduler.deferred_count++;
	return suspend() == 0;
}

int fl_coroutines_count(void) { return scheduler.coroutine_count; }

bool fl_coroutines_overloaded(void) { return ev_is_active(&scheduler.more_ready); }

bool fl_coroutine_cancelled(void) { return scheduler.current && scheduler.current->cancelled; }

static void arm_timer(struct fl_coroutine *coroutine, double seconds)
{
	if (seconds < 0)
		return;
	/* The loop's cached time may be stale after a long callback. */
	ev_now_update(scheduler.loop);
	ev_timer_set(&coroutine->timer, seconds, 0.);
	ev_timer_start(scheduler.loop, &coroutine->timer);
}

int fl_sleep(double seconds)
{
	struct fl_coroutine *coroutine = scheduler.current;
	int rc;

	if (coroutine->cancelled)
		return -ECANCELED;
	arm_timer(coroutine, seconds < 0 ? 0 : seconds);
	rc = suspend();
	return rc == -ETIMEDOUT ? 0 : rc;
}

int fl_io_wait(int fd, int events, double timeout_s)
{
	struct fl_coroutine *coroutine = scheduler.current;

	if (coroutine->cancelled)
		return -ECANCELED;
	/* Each registration is a system call, so that of an earlier wait is reused. */
	if (!ev_is_active(&coroutine->io) || coroutine->io.fd != fd ||
	    coroutine->io.events != events) {
		ev_io_stop(scheduler.loop, &coroutine->io);
		ev_io_set(&coroutine->io, fd, events);
		ev_io_start(scheduler.loop, &coroutine->io);
	}
	coroutine->awaits_io = true;
	arm_timer(coroutine, timeout_s);
	return suspend();
}

void fl_io_unregister(int fd)
{
	struct fl_coroutine *coroutine = scheduler.current;

	if (coroutine && ev_is_active(&coroutine->io) && coroutine->io.fd == fd)
		ev_io_stop(scheduler.loop, &coroutine->io);
}

int fl_condition_wait(struct fl_condition *condition, double timeout_s)
{
	struct fl_coroutine *coroutine = scheduler.current;

	if (coroutine->cancelled)
		return -ECANCELED;
	fl_condition_add_waiter(condition, coroutine);
	arm_timer(coroutine, timeout_s);
	return suspend();
}

void fl_condition_broadcast(struct fl_condition *condition)
{
	while (condition->first)
		wake(condition->first, 0);
}
