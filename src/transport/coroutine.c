#include "transport/coroutine.h"

#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#include "transport/clock.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#define FIBER_START(save, bottom, size) __sanitizer_start_switch_fiber(save, bottom, size)
#define FIBER_FINISH(save, bottom, size) __sanitizer_finish_switch_fiber(save, bottom, size)
#else
#define FIBER_START(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#define FIBER_FINISH(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#endif

/* The C interface of boost's context switch; its own headers are C++. */
typedef void *fcontext_t;
struct transfer {
	fcontext_t fctx;
	void *data;
};
extern struct transfer jump_fcontext(fcontext_t to, void *vp);
extern fcontext_t make_fcontext(void *sp, size_t size, void (*fn)(struct transfer));

static const struct {
	size_t stack, guard;
	int spare;
	double turn_s;
} tunables = {
	.stack = (size_t)256 * 1024, /* bytes; deep JSON plus room for a signal handler's frame */
	.guard = 4096,               /* bytes; an overrun faults instead of corrupting */
	.spare = 32,                 /* stacks kept for reuse; each has a few touched pages */
	.turn_s = 0.005, /* s for which ordinary routines run before new events are looked for */
};

struct fl_coroutine {
	fcontext_t context;
	char *stack;
	void (*function)(void *);
	void *argument;
	struct fl_coroutine *next_ready;
	struct fl_coroutine *prev, *next; /* all routines */
	struct fl_coroutine *condition_prev, *condition_next;
	struct fl_condition *condition;
	struct ev_io io;
	struct ev_timer timer;
	void *fake_stack;
	int result;
	bool awaits_io; /* else `io`, if it is active, only keeps its registration */
	bool parked, ready, cancelled, finished, urgent;
};

struct queue {
	struct fl_coroutine *head, *tail;
};

static struct {
	struct ev_loop *loop;
	struct ev_prepare prepare;
	struct ev_idle more; /* active: some are still ready, so the loop must not sleep */
	struct fl_coroutine *all, *current;
	int n_all;
	struct queue ready, urgent;
	struct queue deferred; /* run when nothing else is ready, and one at the end of a turn */
	int n_deferred;
	char *spare[64];
	int spares;
	fcontext_t main_ctx;
	void *main_fake;
	const void *main_bottom;
	size_t main_size;
} rt;

struct ev_loop *fl_loop(void) { return rt.loop; }

static char *stack_get(void)
{
	char *p;

	if (rt.spares > 0)
		return rt.spare[--rt.spares];
	p = mmap(NULL, tunables.stack + tunables.guard, PROT_READ | PROT_WRITE,
	         MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
	if (p == MAP_FAILED)
		return NULL;
	if (mprotect(p, tunables.guard, PROT_NONE) != 0) {
		munmap(p, tunables.stack + tunables.guard);
		return NULL;
	}
	return p;
}

static void stack_put(char *p)
{
	if (rt.spares < tunables.spare)
		rt.spare[rt.spares++] = p;
	else
		munmap(p, tunables.stack + tunables.guard);
}

static void queue_push(struct queue *queue, struct fl_coroutine *coroutine, int result)
{
	coroutine->ready = true;
	coroutine->result = result;
	coroutine->next_ready = NULL;
	if (queue->tail)
		queue->tail->next_ready = coroutine;
	else
		queue->head = coroutine;
	queue->tail = coroutine;
}

static void make_ready(struct fl_coroutine *coroutine, int result)
{
	if (!coroutine->ready)
		queue_push(coroutine->urgent ? &rt.urgent : &rt.ready, coroutine, result);
}

static struct fl_coroutine *queue_pop(struct queue *queue)
{
	struct fl_coroutine *coroutine = queue->head;

	if (!coroutine)
		return NULL;
	queue->head = coroutine->next_ready;
	if (!queue->head)
		queue->tail = NULL;
	coroutine->ready = false;
	return coroutine;
}

static struct fl_coroutine *take_deferred(void)
{
	struct fl_coroutine *coroutine = queue_pop(&rt.deferred);

	rt.n_deferred -= coroutine != NULL;
	return coroutine;
}

static void condition_unlink(struct fl_coroutine *coroutine)
{
	if (!coroutine->condition)
		return;
	if (coroutine->condition_prev)
		coroutine->condition_prev->condition_next = coroutine->condition_next;
	else
		coroutine->condition->first = coroutine->condition_next;
	if (coroutine->condition_next)
		coroutine->condition_next->condition_prev = coroutine->condition_prev;
	else
		coroutine->condition->last = coroutine->condition_prev;
	coroutine->condition = NULL;
	coroutine->condition_prev = coroutine->condition_next = NULL;
}

/* The registration of its socket stays: it most often waits for the same socket next. */
static void wake(struct fl_coroutine *coroutine, int result)
{
	coroutine->awaits_io = false;
	ev_timer_stop(rt.loop, &coroutine->timer);
	condition_unlink(coroutine);
	make_ready(coroutine, result);
}

static void on_io(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct fl_coroutine *coroutine = w->data;

	(void)revents;
	if (coroutine->awaits_io)
		wake(coroutine, 0);
	else
		ev_io_stop(loop, w); /* it does something else, and the event would not end */
}

static void on_timer(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	(void)loop, (void)revents;
	wake(w->data, -ETIMEDOUT);
}

static void coroutine_entry(struct transfer transfer)
{
	struct fl_coroutine *coroutine = transfer.data;
	struct transfer back;

	FIBER_FINISH(NULL, &rt.main_bottom, &rt.main_size);
	rt.main_ctx = transfer.fctx;
	coroutine->function(coroutine->argument);
	coroutine->finished = true;
	FIBER_START(NULL, rt.main_bottom, rt.main_size);
	back = jump_fcontext(rt.main_ctx, NULL);
	(void)back;
	abort();
}

static void resume(struct fl_coroutine *coroutine)
{
	struct transfer transfer;

	rt.current = coroutine;
	coroutine->parked = false;
	FIBER_START(&rt.main_fake, coroutine->stack + tunables.guard, tunables.stack);
	transfer = jump_fcontext(coroutine->context, coroutine);
	FIBER_FINISH(rt.main_fake, NULL, NULL);
	rt.current = NULL;
	if (!coroutine->finished) {
		coroutine->context = transfer.fctx;
		return;
	}
	if (coroutine->prev)
		coroutine->prev->next = coroutine->next;
	else
		rt.all = coroutine->next;
	if (coroutine->next)
		coroutine->next->prev = coroutine->prev;
	ev_io_stop(rt.loop, &coroutine->io);
	rt.n_all--;
	stack_put(coroutine->stack);
	free(coroutine);
}

static int suspend(void)
{
	struct fl_coroutine *coroutine = rt.current;
	struct transfer transfer;

	coroutine->parked = true;
	FIBER_START(&coroutine->fake_stack, rt.main_bottom, rt.main_size);
	transfer = jump_fcontext(rt.main_ctx, NULL);
	FIBER_FINISH(coroutine->fake_stack, &rt.main_bottom, &rt.main_size);
	rt.main_ctx = transfer.fctx;
	return coroutine->cancelled ? -ECANCELED : coroutine->result;
}

/*
 * Found with controllers several times slower: one turn over all that was ready took seconds, and
 * the lease, whose answer had long come, ended. So the urgent go first, and a turn of the others
 * ends after a while, to look for what has come meanwhile. What was deferred runs when nothing else
 * is ready, or else one a turn, so that it is late but not for ever.
 */
static void run_ready(void)
{
	double until = fl_now() + tunables.turn_s;
	struct fl_coroutine *coroutine;

	while ((coroutine = queue_pop(&rt.urgent)) || (coroutine = queue_pop(&rt.ready)) ||
	       (coroutine = take_deferred())) {
		resume(coroutine);
		if (!rt.urgent.head && (rt.ready.head || rt.deferred.head) && fl_now() > until) {
			coroutine = rt.ready.head ? take_deferred() : NULL;
			if (coroutine)
				resume(coroutine);
			break;
		}
	}
	if (rt.ready.head || rt.deferred.head)
		ev_idle_start(rt.loop, &rt.more);
	else
		ev_idle_stop(rt.loop, &rt.more);
}

static void on_idle(struct ev_loop *loop, struct ev_idle *w, int revents)
{
	(void)loop, (void)w, (void)revents;
}

static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int revents)
{
	(void)loop, (void)w, (void)revents;
	run_ready();
}

void fl_coroutines_init(struct ev_loop *loop)
{
	memset(&rt, 0, sizeof(rt));
	rt.loop = loop;
	ev_idle_init(&rt.more, on_idle);
	ev_prepare_init(&rt.prepare, on_prepare);
	ev_prepare_start(loop, &rt.prepare);
}

void fl_coroutines_run(void) { ev_run(rt.loop, 0); }

void fl_coroutines_shutdown(void)
{
	struct fl_coroutine *coroutine;

	for (coroutine = rt.all; coroutine; coroutine = coroutine->next)
		fl_coroutine_cancel(coroutine);
	while (rt.all) {
		run_ready();
		if (rt.all)
			ev_run(rt.loop, EVRUN_NOWAIT);
	}
	ev_prepare_stop(rt.loop, &rt.prepare);
	ev_idle_stop(rt.loop, &rt.more);
	while (rt.spares > 0)
		munmap(rt.spare[--rt.spares], tunables.stack + tunables.guard);
}

struct fl_coroutine *fl_coroutine_spawn(void (*fn)(void *), void *arg)
{
	struct fl_coroutine *coroutine = calloc(1, sizeof(*coroutine));

	if (!coroutine)
		return NULL;
	coroutine->stack = stack_get();
	if (!coroutine->stack) {
		free(coroutine);
		return NULL;
	}
	coroutine->function = fn;
	coroutine->argument = arg;
	coroutine->context = make_fcontext(coroutine->stack + tunables.guard + tunables.stack,
	                                   tunables.stack, coroutine_entry);
	ev_init(&coroutine->io, on_io);
	/* After a standstill both are due: what has come was not missed. */
	ev_set_priority(&coroutine->io, EV_MAXPRI);
	ev_init(&coroutine->timer, on_timer);
	coroutine->io.data = coroutine->timer.data = coroutine;
	coroutine->next = rt.all;
	if (rt.all)
		rt.all->prev = coroutine;
	rt.all = coroutine;
	rt.n_all++;
	make_ready(coroutine, 0);
	return coroutine;
}

void fl_coroutine_cancel(struct fl_coroutine *coroutine)
{
	coroutine->cancelled = true;
	if (coroutine->parked)
		wake(coroutine, -ECANCELED);
}

void fl_coroutine_set_urgent(void) { rt.current->urgent = true; }

bool fl_coroutine_defer(int max_waiting)
{
	struct fl_coroutine *coroutine = rt.current;

	if (coroutine->cancelled || rt.n_deferred >= max_waiting)
		return false;
	queue_push(&rt.deferred, coroutine, 0);
	rt.n_deferred++;
	return suspend() == 0;
}

int fl_coroutines_count(void) { return rt.n_all; }

bool fl_coroutines_overloaded(void) { return ev_is_active(&rt.more); }

bool fl_coroutine_cancelled(void) { return rt.current && rt.current->cancelled; }

static void arm_timer(struct fl_coroutine *coroutine, double seconds)
{
	if (seconds < 0)
		return;
	/* The loop's own idea of now may be stale after a long callback. */
	ev_now_update(rt.loop);
	ev_timer_set(&coroutine->timer, seconds, 0.);
	ev_timer_start(rt.loop, &coroutine->timer);
}

int fl_sleep(double seconds)
{
	struct fl_coroutine *coroutine = rt.current;
	int rc;

	if (coroutine->cancelled)
		return -ECANCELED;
	arm_timer(coroutine, seconds < 0 ? 0 : seconds);
	rc = suspend();
	return rc == -ETIMEDOUT ? 0 : rc;
}

int fl_io_wait(int fd, int events, double timeout_s)
{
	struct fl_coroutine *coroutine = rt.current;

	if (coroutine->cancelled)
		return -ECANCELED;
	/* Each registration is a system call; one that stands from an earlier wait serves again. */
	if (!ev_is_active(&coroutine->io) || coroutine->io.fd != fd ||
	    coroutine->io.events != events) {
		ev_io_stop(rt.loop, &coroutine->io);
		ev_io_set(&coroutine->io, fd, events);
		ev_io_start(rt.loop, &coroutine->io);
	}
	coroutine->awaits_io = true;
	arm_timer(coroutine, timeout_s);
	return suspend();
}

void fl_io_unregister(int fd)
{
	struct fl_coroutine *coroutine = rt.current;

	if (coroutine && ev_is_active(&coroutine->io) && coroutine->io.fd == fd)
		ev_io_stop(rt.loop, &coroutine->io);
}

int fl_condition_wait(struct fl_condition *condition, double timeout_s)
{
	struct fl_coroutine *coroutine = rt.current;

	if (coroutine->cancelled)
		return -ECANCELED;
	coroutine->condition = condition;
	coroutine->condition_prev = condition->last;
	coroutine->condition_next = NULL;
	if (condition->last)
		condition->last->condition_next = coroutine;
	else
		condition->first = coroutine;
	condition->last = coroutine;
	arm_timer(coroutine, timeout_s);
	return suspend();
}

void fl_condition_broadcast(struct fl_condition *condition)
{
	while (condition->first)
		wake(condition->first, 0);
}
