/* The coroutines that the controllers' code runs in, and processes that are slow or stand still. */
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
	struct fl_coroutine_context context;
	int process;
	struct fl_coroutine *prev, *next;
	struct sim_timer timer;
	int result;
	bool parked, ready, cancelled, urgent;
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
	struct fl_loop_context loop_context;
} runtime;

/* ---- coroutines ---- */

static void make_ready(struct fl_coroutine *coroutine, int result)
{
	if (coroutine->ready)
		return;
	coroutine->ready = true;
	coroutine->result = result;
	fl_coroutine_queue_push(coroutine->urgent ? &runtime.urgent : &runtime.ready, coroutine);
}

static void wake(struct fl_coroutine *coroutine, int result)
{
	sim_timer_disarm(&coroutine->timer);
	fl_condition_remove_waiter(coroutine);
	make_ready(coroutine, result);
}

static void on_timer(void *arg) { wake(arg, -ETIMEDOUT); }

static char *stack_get(void)
{
	char *stack;

	if (runtime.spares > 0)
		return runtime.spare[--runtime.spares];
	stack = mmap(NULL, STACK, PROT_READ | PROT_WRITE,
	             MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
	sim_require(stack != MAP_FAILED);
	return stack;
}

static void stack_put(char *stack)
{
	if (runtime.spares < SPARE)
		runtime.spare[runtime.spares++] = stack;
	else
		munmap(stack, STACK);
}

static void resume(struct fl_coroutine *coroutine)
{
	bool parked;

	runtime.current = coroutine;
	coroutine->ready = coroutine->parked = false;
	parked = fl_context_resume(&runtime.loop_context, &coroutine->context, STACK);
	runtime.current = NULL;
	if (parked)
		return;
	if (coroutine->prev)
		coroutine->prev->next = coroutine->next;
	else
		runtime.all = coroutine->next;
	if (coroutine->next)
		coroutine->next->prev = coroutine->prev;
	stack_put(coroutine->context.stack);
	free(coroutine);
}

static int park(void)
{
	struct fl_coroutine *coroutine = runtime.current;

	coroutine->parked = true;
	fl_context_suspend(&runtime.loop_context, &coroutine->context);
	return coroutine->cancelled ? -ECANCELED : coroutine->result;
}

/* ---- processes that are slow or stand still ---- */

/* All that waited is ready, in its order; one that is slow runs one of them, and waits again. */
static void goes_on(void *arg)
{
	struct waiting *waiting = arg;
	struct fl_coroutine *coroutine;

	while ((coroutine = fl_coroutine_queue_pop(&waiting->urgent)))
		fl_coroutine_queue_push(&runtime.urgent, coroutine);
	while ((coroutine = fl_coroutine_queue_pop(&waiting->ready)))
		fl_coroutine_queue_push(&runtime.ready, coroutine);
}

void sim_process_pause_until(int process, double until)
{
	struct waiting *waiting = &runtime.waiting[process];

	sim_require(process > 0 && process < PROCESSES);
	if (until <= waiting->until)
		return;
	waiting->until = until;
	sim_timer_disarm(&waiting->timer);
	waiting->timer.function = goes_on;
	waiting->timer.argument = waiting;
	sim_timer_arm(&waiting->timer, until - fl_now());
}

static bool has_to_wait(const struct fl_coroutine *coroutine)
{
	return coroutine->process && !coroutine->cancelled && !runtime.ending &&
	       runtime.waiting[coroutine->process].until > fl_now();
}

static void drain(void)
{
	struct fl_coroutine *coroutine;

	while ((coroutine = fl_coroutine_queue_pop(&runtime.urgent)) ||
	       (coroutine = fl_coroutine_queue_pop(&runtime.ready))) {
		struct waiting *waiting = &runtime.waiting[coroutine->process];

		if (has_to_wait(coroutine)) {
			fl_coroutine_queue_push(
				coroutine->urgent ? &waiting->urgent : &waiting->ready, coroutine);
			continue;
		}
		if (coroutine->process)
			sim_process_compute(coroutine->process);
		resume(coroutine);
	}
}

static bool dying(int process) { return process && process == runtime.dying; }

struct fl_coroutine *sim_spawn(int process, void (*function)(void *), void *arg)
{
	struct fl_coroutine *coroutine = calloc(1, sizeof(*coroutine));

	sim_require(coroutine != NULL && process < PROCESSES);
	coroutine->context.stack = stack_get();
	coroutine->context.function = function;
	coroutine->context.argument = arg;
	coroutine->process = process;
	/* What a dying process still begins, dies with it. */
	coroutine->cancelled = dying(process);
	fl_context_init(&coroutine->context, STACK);
	coroutine->timer.function = on_timer;
	coroutine->timer.argument = coroutine;
	coroutine->next = runtime.all;
	if (runtime.all)
		runtime.all->prev = coroutine;
	runtime.all = coroutine;
	make_ready(coroutine, 0);
	return coroutine;
}

int sim_process(void) { return runtime.current ? runtime.current->process : 0; }

void sim_process_cancel(int process)
{
	runtime.dying = process;
	goes_on(&runtime.waiting[process]);
	for (struct fl_coroutine *coroutine = runtime.all; coroutine; coroutine = coroutine->next)
		if (coroutine->process == process)
			fl_coroutine_cancel(coroutine);
}

int sim_process_coroutine_count(int process)
{
	int count = 0;

	for (const struct fl_coroutine *coroutine = runtime.all; coroutine;
	     coroutine = coroutine->next)
		count += coroutine->process == process;
	return count;
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

	runtime.ending = true;
	for (int i = 0; i < PROCESSES; i++)
		goes_on(&runtime.waiting[i]);
	do {
		for (struct fl_coroutine *coroutine = runtime.all; coroutine;
		     coroutine = coroutine->next)
			fl_coroutine_cancel(coroutine);
		drain();
		while ((timer = sim_timer_any()))
			drop(timer);
	} while (runtime.all);
	while (runtime.spares > 0)
		munmap(runtime.spare[--runtime.spares], STACK);
	sim_clock_end();
	memset(&runtime, 0, sizeof(runtime));
}

/* ---- what the controllers' code calls ---- */

struct fl_coroutine *fl_coroutine_spawn(void (*function)(void *), void *arg)
{
	return sim_spawn(sim_process(), function, arg);
}

void fl_coroutine_cancel(struct fl_coroutine *coroutine)
{
	coroutine->cancelled = true;
	if (coroutine->parked)
		wake(coroutine, -ECANCELED);
}

bool fl_coroutine_cancelled(void) { return runtime.current && runtime.current->cancelled; }

void fl_coroutine_set_urgent(void) { runtime.current->urgent = true; }

/* Work takes no virtual time, unless its process is made slow. */
bool fl_coroutines_overloaded(void) { return runtime.waiting[sim_process()].ready.head != NULL; }

/* Computing takes no time here: nothing is ever behind. */
bool fl_coroutine_defer(int max_waiting) { return max_waiting > 0; }

int fl_sleep(double seconds)
{
	struct fl_coroutine *coroutine = runtime.current;
	int rc;

	if (coroutine->cancelled)
		return -ECANCELED;
	sim_timer_arm(&coroutine->timer, seconds);
	rc = park();
	return rc == -ETIMEDOUT ? 0 : rc;
}

int fl_condition_wait(struct fl_condition *condition, double timeout_s)
{
	struct fl_coroutine *coroutine = runtime.current;

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
struct ev_loop *fl_event_loop(void) { return NULL; }
void fl_coroutines_run(void) { abort(); }
void fl_coroutines_shutdown(void) { abort(); }
