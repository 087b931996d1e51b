/* The routines that the controllers' code runs in, and processes that are slow or stand still. */
#include "sim.h"

#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#include "transport/clock.h"
#include "transport/coroutine_context.h"
#include "transport/coroutine_queue.h"

enum { STACK = 256 * 1024, SPARE = 256, PROCESSES = 256 };
struct fl_coroutine {
	struct fl_coroutine_links links; /* first: see coroutine_queue.h */
	fcontext_t context;
	char *stack;
	void (*function)(void *);
	void *argument;
	int process;
	struct fl_coroutine *prev, *next;
	struct sim_timer timer;
	void *fake_stack;
	int result;
	bool parked, ready, cancelled, finished, urgent;
};
_Static_assert(offsetof(struct fl_coroutine, links) == 0, "see coroutine_queue.h");

static struct {
	struct fl_coroutine *all, *current;
	struct fl_coroutine_queue ready, urgent;
	int dying; /* the last process that was cancelled */
	bool ending;
	/* What of a process has to wait until its computer has time for it again. */
	struct waiting {
		double until;
		struct fl_coroutine_queue ready, urgent;
		struct sim_timer timer;
	} waiting[PROCESSES];
	char *spare[SPARE];
	int spares;
	fcontext_t main_ctx;
	void *main_fake;
	const void *main_bottom;
	size_t main_size;
} rt;

/* ---- routines ---- */

static void make_ready(struct fl_coroutine *coroutine, int result)
{
	if (coroutine->ready)
		return;
	coroutine->ready = true;
	coroutine->result = result;
	fl_coroutine_queue_push(coroutine->urgent ? &rt.urgent : &rt.ready, coroutine);
}

static void wake(struct fl_coroutine *coroutine, int result)
{
	sim_timer_disarm(&coroutine->timer);
	fl_condition_remove_waiter(coroutine);
	make_ready(coroutine, result);
}

static void on_timer(void *arg) { wake(arg, -ETIMEDOUT); }

static void entry(struct transfer transfer)
{
	struct fl_coroutine *coroutine = transfer.data;

	FIBER_FINISH(NULL, &rt.main_bottom, &rt.main_size);
	rt.main_ctx = transfer.fctx;
	coroutine->function(coroutine->argument);
	coroutine->finished = true;
	FIBER_START(NULL, rt.main_bottom, rt.main_size);
	jump_fcontext(rt.main_ctx, NULL);
	abort();
}

static char *stack_get(void)
{
	char *p;

	if (rt.spares > 0)
		return rt.spare[--rt.spares];
	p = mmap(NULL, STACK, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE,
	         -1, 0);
	sim_require(p != MAP_FAILED);
	return p;
}

static void stack_put(char *p)
{
	if (rt.spares < SPARE)
		rt.spare[rt.spares++] = p;
	else
		munmap(p, STACK);
}

static void resume(struct fl_coroutine *coroutine)
{
	struct transfer transfer;

	rt.current = coroutine;
	coroutine->ready = coroutine->parked = false;
	FIBER_START(&rt.main_fake, coroutine->stack, STACK);
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
	stack_put(coroutine->stack);
	free(coroutine);
}

static int park(void)
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

/* ---- processes that are slow or stand still ---- */

/* All that waited is ready, in its order; one that is slow runs one of them, and waits again. */
static void goes_on(void *arg)
{
	struct waiting *w = arg;
	struct fl_coroutine *coroutine;

	while ((coroutine = fl_coroutine_queue_pop(&w->urgent)))
		fl_coroutine_queue_push(&rt.urgent, coroutine);
	while ((coroutine = fl_coroutine_queue_pop(&w->ready)))
		fl_coroutine_queue_push(&rt.ready, coroutine);
}

void sim_process_pause_until(int process, double until)
{
	struct waiting *w = &rt.waiting[process];

	sim_require(process > 0 && process < PROCESSES);
	if (until <= w->until)
		return;
	w->until = until;
	sim_timer_disarm(&w->timer);
	w->timer.function = goes_on;
	w->timer.argument = w;
	sim_timer_arm(&w->timer, until - fl_now());
}

static bool has_to_wait(const struct fl_coroutine *coroutine)
{
	return coroutine->process && !coroutine->cancelled && !rt.ending &&
	       rt.waiting[coroutine->process].until > fl_now();
}

static void drain(void)
{
	struct fl_coroutine *coroutine;

	while ((coroutine = fl_coroutine_queue_pop(&rt.urgent)) ||
	       (coroutine = fl_coroutine_queue_pop(&rt.ready))) {
		struct waiting *w = &rt.waiting[coroutine->process];

		if (has_to_wait(coroutine)) {
			fl_coroutine_queue_push(coroutine->urgent ? &w->urgent : &w->ready,
			                        coroutine);
			continue;
		}
		if (coroutine->process)
			sim_process_compute(coroutine->process);
		resume(coroutine);
	}
}

static bool dying(int process) { return process && process == rt.dying; }

struct fl_coroutine *sim_spawn(int process, void (*fn)(void *), void *arg)
{
	struct fl_coroutine *coroutine = calloc(1, sizeof(*coroutine));

	sim_require(coroutine != NULL && process < PROCESSES);
	coroutine->stack = stack_get();
	coroutine->function = fn;
	coroutine->argument = arg;
	coroutine->process = process;
	/* What a dying process still begins, dies with it. */
	coroutine->cancelled = dying(process);
	coroutine->context = make_fcontext(coroutine->stack + STACK, STACK, entry);
	coroutine->timer.function = on_timer;
	coroutine->timer.argument = coroutine;
	coroutine->next = rt.all;
	if (rt.all)
		rt.all->prev = coroutine;
	rt.all = coroutine;
	make_ready(coroutine, 0);
	return coroutine;
}

int sim_process(void) { return rt.current ? rt.current->process : 0; }

void sim_process_cancel(int process)
{
	rt.dying = process;
	goes_on(&rt.waiting[process]);
	for (struct fl_coroutine *coroutine = rt.all; coroutine; coroutine = coroutine->next)
		if (coroutine->process == process)
			fl_coroutine_cancel(coroutine);
}

int sim_process_coroutine_count(int process)
{
	int n = 0;

	for (const struct fl_coroutine *coroutine = rt.all; coroutine; coroutine = coroutine->next)
		n += coroutine->process == process;
	return n;
}

void sim_time_begin(void) { sim_clock_begin(); }

void sim_time_run(double until)
{
	for (;;) {
		struct sim_timer *timer;

		drain();
		timer = sim_timer_next(until);
		if (!timer)
			break;
		timer->function(timer->argument);
	}
	sim_clock_set(until);
}

void sim_time_end(void (*drop)(struct sim_timer *timer))
{
	struct sim_timer *timer;

	rt.ending = true;
	for (int i = 0; i < PROCESSES; i++)
		goes_on(&rt.waiting[i]);
	do {
		for (struct fl_coroutine *coroutine = rt.all; coroutine;
		     coroutine = coroutine->next)
			fl_coroutine_cancel(coroutine);
		drain();
		while ((timer = sim_timer_any()))
			drop(timer);
	} while (rt.all);
	while (rt.spares > 0)
		munmap(rt.spare[--rt.spares], STACK);
	sim_clock_end();
	memset(&rt, 0, sizeof(rt));
}

/* ---- what the controllers' code calls ---- */

struct fl_coroutine *fl_coroutine_spawn(void (*fn)(void *), void *arg)
{
	return sim_spawn(sim_process(), fn, arg);
}

void fl_coroutine_cancel(struct fl_coroutine *coroutine)
{
	coroutine->cancelled = true;
	if (coroutine->parked)
		wake(coroutine, -ECANCELED);
}

bool fl_coroutine_cancelled(void) { return rt.current && rt.current->cancelled; }

void fl_coroutine_set_urgent(void) { rt.current->urgent = true; }

/* Work takes no virtual time, unless its process is made slow. */
bool fl_coroutines_overloaded(void) { return rt.waiting[sim_process()].ready.head != NULL; }

/* Computing takes no time here: nothing is ever behind. */
bool fl_coroutine_defer(int max_waiting) { return max_waiting > 0; }

int fl_sleep(double seconds)
{
	struct fl_coroutine *coroutine = rt.current;
	int rc;

	if (coroutine->cancelled)
		return -ECANCELED;
	sim_timer_arm(&coroutine->timer, seconds);
	rc = park();
	return rc == -ETIMEDOUT ? 0 : rc;
}

int fl_condition_wait(struct fl_condition *condition, double timeout_s)
{
	struct fl_coroutine *coroutine = rt.current;

	if (coroutine->cancelled)
		return -ECANCELED;
	fl_condition_add_waiter(condition, coroutine);
	if (timeout_s >= 0)
		sim_timer_arm(&coroutine->timer, timeout_s);
	return park();
}

void fl_condition_broadcast(struct fl_condition *condition)
{
	while (condition->first)
		wake(condition->first, 0);
}

/* There are no sockets here. */
void fl_io_unregister(int fd) { (void)fd; }

int fl_io_wait(int fd, int events, double timeout_s)
{
	(void)fd, (void)events, (void)timeout_s;
	abort();
}

void fl_coroutines_init(struct ev_loop *loop) { (void)loop; }
struct ev_loop *fl_loop(void) { return NULL; }
void fl_coroutines_run(void) { abort(); }
void fl_coroutines_shutdown(void) { abort(); }
