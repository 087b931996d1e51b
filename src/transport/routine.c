#include "transport/routine.h"

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

struct fl_routine {
	fcontext_t ctx;
	char *stack;
	void (*fn)(void *);
	void *arg;
	struct fl_routine *next_ready;
	struct fl_routine *prev, *next; /* all routines */
	struct fl_routine *sig_prev, *sig_next;
	struct fl_signal *sig;
	struct ev_io io;
	struct ev_timer timer;
	void *fake_stack;
	int result;
	bool awaits_io; /* else `io`, if it is active, only keeps its registration */
	bool parked, ready, cancelled, finished, urgent;
};

struct queue {
	struct fl_routine *head, *tail;
};

static struct {
	struct ev_loop *loop;
	struct ev_prepare prepare;
	struct ev_idle more; /* active: some are still ready, so the loop must not sleep */
	struct fl_routine *all, *current;
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

static void enqueue(struct queue *q, struct fl_routine *r, int result)
{
	r->ready = true;
	r->result = result;
	r->next_ready = NULL;
	if (q->tail)
		q->tail->next_ready = r;
	else
		q->head = r;
	q->tail = r;
}

static void make_ready(struct fl_routine *r, int result)
{
	if (!r->ready)
		enqueue(r->urgent ? &rt.urgent : &rt.ready, r, result);
}

static struct fl_routine *take_ready(struct queue *q)
{
	struct fl_routine *r = q->head;

	if (!r)
		return NULL;
	q->head = r->next_ready;
	if (!q->head)
		q->tail = NULL;
	r->ready = false;
	return r;
}

static struct fl_routine *take_deferred(void)
{
	struct fl_routine *r = take_ready(&rt.deferred);

	rt.n_deferred -= r != NULL;
	return r;
}

static void sig_unlink(struct fl_routine *r)
{
	if (!r->sig)
		return;
	if (r->sig_prev)
		r->sig_prev->sig_next = r->sig_next;
	else
		r->sig->first = r->sig_next;
	if (r->sig_next)
		r->sig_next->sig_prev = r->sig_prev;
	else
		r->sig->last = r->sig_prev;
	r->sig = NULL;
	r->sig_prev = r->sig_next = NULL;
}

/* The registration of its socket stays: it most often waits for the same socket next. */
static void wake(struct fl_routine *r, int result)
{
	r->awaits_io = false;
	ev_timer_stop(rt.loop, &r->timer);
	sig_unlink(r);
	make_ready(r, result);
}

static void on_io(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct fl_routine *r = w->data;

	(void)revents;
	if (r->awaits_io)
		wake(r, 0);
	else
		ev_io_stop(loop, w); /* it does something else, and the event would not end */
}

static void on_timer(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	(void)loop, (void)revents;
	wake(w->data, -ETIMEDOUT);
}

static void entry(struct transfer t)
{
	struct fl_routine *r = t.data;
	struct transfer back;

	FIBER_FINISH(NULL, &rt.main_bottom, &rt.main_size);
	rt.main_ctx = t.fctx;
	r->fn(r->arg);
	r->finished = true;
	FIBER_START(NULL, rt.main_bottom, rt.main_size);
	back = jump_fcontext(rt.main_ctx, NULL);
	(void)back;
	abort();
}

static void resume(struct fl_routine *r)
{
	struct transfer t;

	rt.current = r;
	r->parked = false;
	FIBER_START(&rt.main_fake, r->stack + tunables.guard, tunables.stack);
	t = jump_fcontext(r->ctx, r);
	FIBER_FINISH(rt.main_fake, NULL, NULL);
	rt.current = NULL;
	if (!r->finished) {
		r->ctx = t.fctx;
		return;
	}
	if (r->prev)
		r->prev->next = r->next;
	else
		rt.all = r->next;
	if (r->next)
		r->next->prev = r->prev;
	ev_io_stop(rt.loop, &r->io);
	rt.n_all--;
	stack_put(r->stack);
	free(r);
}

static int park(void)
{
	struct fl_routine *r = rt.current;
	struct transfer t;

	r->parked = true;
	FIBER_START(&r->fake_stack, rt.main_bottom, rt.main_size);
	t = jump_fcontext(rt.main_ctx, NULL);
	FIBER_FINISH(r->fake_stack, &rt.main_bottom, &rt.main_size);
	rt.main_ctx = t.fctx;
	return r->cancelled ? -ECANCELED : r->result;
}

/*
 * Found with controllers several times slower: one turn over all that was ready took seconds, and
 * the lease, whose answer had long come, ended. So the urgent go first, and a turn of the others
 * ends after a while, to look for what has come meanwhile. What was deferred runs when nothing else
 * is ready, or else one a turn, so that it is late but not for ever.
 */
static void drain(void)
{
	double until = fl_now() + tunables.turn_s;
	struct fl_routine *r;

	while ((r = take_ready(&rt.urgent)) || (r = take_ready(&rt.ready)) ||
	       (r = take_deferred())) {
		resume(r);
		if (!rt.urgent.head && (rt.ready.head || rt.deferred.head) && fl_now() > until) {
			r = rt.ready.head ? take_deferred() : NULL;
			if (r)
				resume(r);
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
	drain();
}

void fl_routines_init(struct ev_loop *loop)
{
	memset(&rt, 0, sizeof(rt));
	rt.loop = loop;
	ev_idle_init(&rt.more, on_idle);
	ev_prepare_init(&rt.prepare, on_prepare);
	ev_prepare_start(loop, &rt.prepare);
}

void fl_routines_run(void) { ev_run(rt.loop, 0); }

void fl_routines_shutdown(void)
{
	struct fl_routine *r;

	for (r = rt.all; r; r = r->next)
		fl_cancel(r);
	while (rt.all) {
		drain();
		if (rt.all)
			ev_run(rt.loop, EVRUN_NOWAIT);
	}
	ev_prepare_stop(rt.loop, &rt.prepare);
	ev_idle_stop(rt.loop, &rt.more);
	while (rt.spares > 0)
		munmap(rt.spare[--rt.spares], tunables.stack + tunables.guard);
}

struct fl_routine *fl_spawn(void (*fn)(void *), void *arg)
{
	struct fl_routine *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->stack = stack_get();
	if (!r->stack) {
		free(r);
		return NULL;
	}
	r->fn = fn;
	r->arg = arg;
	r->ctx = make_fcontext(r->stack + tunables.guard + tunables.stack, tunables.stack, entry);
	ev_init(&r->io, on_io);
	/* After a standstill both are due: what has come was not missed. */
	ev_set_priority(&r->io, EV_MAXPRI);
	ev_init(&r->timer, on_timer);
	r->io.data = r->timer.data = r;
	r->next = rt.all;
	if (rt.all)
		rt.all->prev = r;
	rt.all = r;
	rt.n_all++;
	make_ready(r, 0);
	return r;
}

void fl_cancel(struct fl_routine *r)
{
	r->cancelled = true;
	if (r->parked)
		wake(r, -ECANCELED);
}

void fl_urgent(void) { rt.current->urgent = true; }

bool fl_defer(int max_waiting)
{
	struct fl_routine *r = rt.current;

	if (r->cancelled || rt.n_deferred >= max_waiting)
		return false;
	enqueue(&rt.deferred, r, 0);
	rt.n_deferred++;
	return park() == 0;
}

int fl_routines_count(void) { return rt.n_all; }

bool fl_routines_behind(void) { return ev_is_active(&rt.more); }

bool fl_cancelled(void) { return rt.current && rt.current->cancelled; }

static void arm_timer(struct fl_routine *r, double seconds)
{
	if (seconds < 0)
		return;
	/* The loop's own idea of now may be stale after a long callback. */
	ev_now_update(rt.loop);
	ev_timer_set(&r->timer, seconds, 0.);
	ev_timer_start(rt.loop, &r->timer);
}

int fl_sleep(double seconds)
{
	struct fl_routine *r = rt.current;
	int rc;

	if (r->cancelled)
		return -ECANCELED;
	arm_timer(r, seconds < 0 ? 0 : seconds);
	rc = park();
	return rc == -ETIMEDOUT ? 0 : rc;
}

int fl_wait_io(int fd, int events, double timeout_s)
{
	struct fl_routine *r = rt.current;

	if (r->cancelled)
		return -ECANCELED;
	/* Each registration is a system call; one that stands from an earlier wait serves again. */
	if (!ev_is_active(&r->io) || r->io.fd != fd || r->io.events != events) {
		ev_io_stop(rt.loop, &r->io);
		ev_io_set(&r->io, fd, events);
		ev_io_start(rt.loop, &r->io);
	}
	r->awaits_io = true;
	arm_timer(r, timeout_s);
	return park();
}

void fl_unregister_io(int fd)
{
	struct fl_routine *r = rt.current;

	if (r && ev_is_active(&r->io) && r->io.fd == fd)
		ev_io_stop(rt.loop, &r->io);
}

int fl_signal_wait(struct fl_signal *sig, double timeout_s)
{
	struct fl_routine *r = rt.current;

	if (r->cancelled)
		return -ECANCELED;
	r->sig = sig;
	r->sig_prev = sig->last;
	r->sig_next = NULL;
	if (sig->last)
		sig->last->sig_next = r;
	else
		sig->first = r;
	sig->last = r;
	arm_timer(r, timeout_s);
	return park();
}

void fl_signal_wake(struct fl_signal *sig)
{
	while (sig->first)
		wake(sig->first, 0);
}
