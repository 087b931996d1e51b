/* Coroutines in virtual time, for the controllers' code, and processes that are slow or paused. */
#include "sim.h"

#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#include "transport/clock.h"
#include "transport/coroutine_context.h"
#include "transport/coroutine_queue.h"

enum { STACK_BYTES = 256 * 1024, SPARE_STACKS_MAX = 256, PROCESSES_MAX = 256 };
struct fl_coroutine {
	struct fl_coroutine_links links; /* first: see coroutine_queue.h */
	struct fl_coroutine_context context;
	int process;
	struct fl_coroutine *prev, *next;
	struct sim_timer timer;
	int result;
	bool suspended, ready, cancelled, urgent;
};
_Static_assert(offsetof(struct fl_coroutine, links) == 0, "see coroutine_queue.h");

static struct {
	struct fl_coroutine *all, *current;
	struct fl_coroutine_queue ready, urgent;
	int cancelled_process; /* the last process that was cancelled */
	bool ending;
	/* The end of each process's pause, and the ready coroutines that wait for it. */
	struct paused_process {
		double until;
		struct fl_coroutine_queue ready, urgent;
		struct sim_timer timer;
	} paused[PROCESSES_MAX];
	char *spare_stacks[SPARE_STACKS_MAX];
	int spare_stack_count;
	struct fl_loop_context loop_context;
} scheduler;

/* ---- coroutines ---- */

static void make_ready(struct fl_coroutine *coroutine, int result)
{
	if (coroutine->ready)
		return;
	coroutine->ready = true;
	coroutine->result = result;
	fl_coroutine_queue_push(coroutine->urgent ? &scheduler.urgent : &scheduler.ready,
	                        coroutine);
}

static void wake(struct fl_coroutine *coroutine, int result)
{
	sim_timer_disarm(&coroutine->timer);
	fl_condition_remove_waiter(coroutine);
	make_ready(coroutine, result);
}

static void wake_on_timeout(void *arg) { wake(arg, -ETIMEDOUT); }

static char *stack_get(void)
{
	char *stack;

	if (scheduler.spare_stack_count > 0)
		return scheduler.spare_stacks[--scheduler.spare_stack_count];
	stack = mmap(NULL, STACK_BYTES, PROT_READ | PROT_WRITE,
	             MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
	sim_require(stack != MAP_FAILED);
	return stack;
}

static void stack_put(char *stack)
{
	if (scheduler.spare_stack_count < SPARE_STACKS_MAX)
		scheduler.spare_stacks[scheduler.spare_stack_count++] = stack;
	else
		munmap(stack, STACK_BYTES);
}

static void resume(struct fl_coroutine *coroutine)
{
	bool suspended;

	scheduler.current = coroutine;
	coroutine->ready = coroutine->suspended = false;
	suspended = fl_context_resume(&scheduler.loop_context, &coroutine->context, STACK_BYTES);
	scheduler.current = NULL;
	if (suspended)
		return;
	if (coroutine->prev)
		coroutine->prev->next = coroutine->next;
	else
		scheduler.all = coroutine->next;
	if (coroutine->next)
		coroutine->next->prev = coroutine->prev;
	stack_put(coroutine->context.stack);
	free(coroutine);
}

static int suspend(void)
{
	struct fl_coroutine *coroutine = scheduler.current;

	coroutine->suspended = true;
	fl_context_suspend(&scheduler.loop_context, &coroutine->context);
	return coroutine->cancelled ? -ECANCELED : coroutine->result;
}

/* ---- processes that are slow or paused ---- */

/*
 * Queues the coroutines that waited for the pause to end, in order. A slow process runs one of them
 * and is paused again.
 */
static void release_paused_coroutines(void *arg)
{
	struct paused_process *paused = arg;
	struct fl_coroutine *coroutine;

	while ((coroutine = fl_coroutine_queue_pop(&paused->urgent)))
		fl_coroutine_queue_push(&scheduler.urgent, coroutine);
	while ((coroutine = fl_coroutine_queue_pop(&paused->ready)))
		fl_coroutine_queue_push(&scheduler.ready, coroutine);
}

void sim_process_pause_until(int process, double until)
{
	struct paused_process *paused = &scheduler.paused[process];

	sim_require(process > 0 && process < PROCESSES_MAX);
	if (until <= paused->until)
		return;
	paused->until = until;
	sim_timer_disarm(&paused->timer);
	paused->timer.function = release_paused_coroutines;
	paused->timer.argument = paused;
	sim_timer_arm(&paused->timer, until - fl_now());
}

static bool process_is_paused(const struct fl_coroutine *coroutine)
{
	return coroutine->process && !coroutine->cancelled && !scheduler.ending &&
	       scheduler.paused[coroutine->process].until > fl_now();
}

static void run_ready_coroutines(void)
{
	struct fl_coroutine *coroutine;

	while ((coroutine = fl_coroutine_queue_pop(&scheduler.urgent)) ||
	       (coroutine = fl_coroutine_queue_pop(&scheduler.ready))) {
		struct paused_process *paused = &scheduler.paused[coroutine->process];

		if (process_is_paused(coroutine)) {
			fl_coroutine_queue_push(
				coroutine->urgent ? &paused->urgent : &paused->ready, coroutine);
			continue;
		}
		if (coroutine->process)
			sim_process_delay_if_slow(coroutine->process);
		resume(coroutine);
	}
}

static bool is_cancelled_process(int process)
{
	return process && process == scheduler.cancelled_process;
}

struct fl_coroutine *sim_spawn(int process, void (*function)(void *), void *arg)
{
	struct fl_coroutine *coroutine = calloc(1, sizeof(*coroutine));

	sim_require(coroutine != NULL && process < PROCESSES_MAX);
	coroutine->context.stack = stack_get();
	coroutine->context.function = function;
	coroutine->context.argument = arg;
	coroutine->process = process;
	/* A coroutine that a cancelled process still starts is cancelled, too. */
	coroutine->cancelled = is_cancelled_process(process);
	fl_context_init(&coroutine->context, STACK_BYTES);
	coroutine->timer.function = wake_on_timeout;
	coroutine->timer.argument = coroutine;
	coroutine->next = scheduler.all;
	if (scheduler.all)
		scheduler.all->prev = coroutine;
	scheduler.all = coroutine;
	make_ready(coroutine, 0);
	return coroutine;
}

int sim_current_process(void) { return scheduler.current ? scheduler.current->process : 0; }

void sim_process_cancel(int process)
{
	scheduler.cancelled_process = process;
	release_paused_coroutines(&scheduler.paused[process]);
	for (struct fl_coroutine *coroutine = scheduler.all; coroutine; coroutine = coroutine->next)
		if (coroutine->process == process)
			fl_coroutine_cancel(coroutine);
}

int sim_process_coroutine_count(int process)
{
	int count = 0;

	for (const struct fl_coroutine *coroutine = scheduler.all; coroutine;
	     coroutine = coroutine->next)
		count += coroutine->process == process;
	return count;
}

void sim_time_begin(void) { sim_clock_begin(); }

void sim_time_run(double until)
{
	for (;;) {
		struct sim_timer *timer;

		run_ready_coroutines();
		timer = sim_timer_pop_due(until);
		if (!timer)
			break;
		timer->function(timer->argument);
	}
	sim_clock_set(until);
}

void sim_time_end(void (*drop)(struct sim_timer *timer))
{
	struct sim_timer *timer;

	scheduler.ending = true;
	for (int i = 0; i < PROCESSES_MAX; i++)
		release_paused_coroutines(&scheduler.paused[i]);
	do {
		for (struct fl_coroutine *coroutine = scheduler.all; coroutine;
		     coroutine = coroutine->next)
			fl_coroutine_cancel(coroutine);
		run_ready_coroutines();
		while ((timer = sim_timer_pop_any()))
			drop(timer);
	} while (scheduler.all);
	while (scheduler.spare_stack_count > 0)
		munmap(scheduler.spare_stacks[--scheduler.spare_stack_count], STACK_BYTES);
	sim_clock_end();
	memset(&scheduler, 0, sizeof(scheduler));
}

/* ---- the functions of transport/coroutine.h ---- */

struct fl_coroutine *fl_coroutine_spawn(void (*function)(void *), void *arg)
{
	return sim_spawn(sim_current_process(), function, arg);
}

void fl_coroutine_cancel(struct fl_coroutine *coroutine)
{
	coroutine->cancelled = true;
	if (coroutine->suspended)
		wake(coroutine, -ECANCELED);
}

bool fl_coroutine_cancelled(void) { return scheduler.current && scheduler.current->cancelled; }

void fl_coroutine_set_urgent(void) { scheduler.current->urgent = true; }

/* Work takes no virtual time, so only a slow or paused process has ready coroutines that wait. */
bool fl_coroutines_overloaded(void)
{
	return scheduler.paused[sim_current_process()].ready.head != NULL;
}

/* Work takes no virtual time, so no other coroutine has to run before the current one. */
bool fl_coroutine_defer(int max_waiting) { return max_waiting > 0; }

int fl_sleep(double seconds)
{
	struct fl_coroutine *coroutine = scheduler.current;
	int rc;

	if (coroutine->cancelled)
		return -ECANCELED;
	sim_timer_arm(&coroutine->timer, seconds);
	rc = suspend();
	return rc == -ETIMEDOUT ? 0 : rc;
}

int fl_condition_wait(struct fl_condition *condition, double timeout_s)
{
	struct fl_coroutine *coroutine = scheduler.current;

	if (coroutine->cancelled)
		return -ECANCELED;
	fl_condition_add_waiter(condition, coroutine);
	if (timeout_s >= 0)
		sim_timer_arm(&coroutine->timer, timeout_s);
	return suspend();
}

void fl_condition_broadcast(struct fl_condition *condition)
{
	while (condition->first)
		wake(condition->first, 0);
}

void fl_coroutines_init(struct ev_loop *loop) { (void)loop; }
struct ev_loop *fl_event_loop(void) { return NULL; }
void fl_coroutines_run(void) { abort(); }
void fl_coroutines_shutdown(void) { abort(); }
