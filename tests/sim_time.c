/* The routines that the controllers' code runs in, and processes that are slow or stand still. */
#include "sim.h"

#include <errno.h>
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

typedef void *fcontext_t;
struct transfer {
	fcontext_t fctx;
	void *data;
};
extern struct transfer jump_fcontext(fcontext_t to, void *vp);
extern fcontext_t make_fcontext(void *sp, size_t size, void (*fn)(struct transfer));

enum { STACK = 256 * 1024, SPARE = 256, PROCESSES = 256 };
struct fl_routine {
	fcontext_t ctx;
	char *stack;
	void (*fn)(void *);
	void *arg;
	int process;
	struct fl_routine *next_ready, *prev, *next;
	struct fl_routine *sig_prev, *sig_next;
	struct fl_signal *sig;
	struct sim_timer timer;
	void *fake_stack;
	int result;
	bool parked, ready, cancelled, finished, urgent;
};

struct queue {
	struct fl_routine *head, *tail;
};

static struct {
	struct fl_routine *all, *current;
	struct queue ready, urgent;
	int dying; /* the last process that was cancelled */
	bool ending;
	/* What of a process has to wait until its computer has time for it again. */
	struct waiting {
		double until;
		struct queue ready, urgent;
		struct sim_timer timer;
	} waiting[PROCESSES];
	char *spare[SPARE];
	int spares;
	fcontext_t main_ctx;
	void *main_fake;
	const void *main_bottom;
	size_t main_size;
} rt;

void sim_copy(char *out, size_t size, const char *text)
{
	size_t length = strlen(text);

	sim_must(length < size);
	memcpy(out, text, length + 1);
}

/* ---- routines ---- */

static void append(struct queue *q, struct fl_routine *r)
{
	r->next_ready = NULL;
	if (q->tail)
		q->tail->next_ready = r;
	else
		q->head = r;
	q->tail = r;
}

static void make_ready(struct fl_routine *r, int result)
{
	if (r->ready)
		return;
	r->ready = true;
	r->result = result;
	append(r->urgent ? &rt.urgent : &rt.ready, r);
}

static struct fl_routine *take_ready(struct queue *q)
{
	struct fl_routine *r = q->head;

	if (!r)
		return NULL;
	q->head = r->next_ready;
	if (!q->head)
		q->tail = NULL;
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

static void wake(struct fl_routine *r, int result)
{
	sim_timer_disarm(&r->timer);
	sig_unlink(r);
	make_ready(r, result);
}

static void on_timer(void *arg) { wake(arg, -ETIMEDOUT); }

static void entry(struct transfer t)
{
	struct fl_routine *r = t.data;

	FIBER_FINISH(NULL, &rt.main_bottom, &rt.main_size);
	rt.main_ctx = t.fctx;
	r->fn(r->arg);
	r->finished = true;
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
	sim_must(p != MAP_FAILED);
	return p;
}

static void stack_put(char *p)
{
	if (rt.spares < SPARE)
		rt.spare[rt.spares++] = p;
	else
		munmap(p, STACK);
}

static void resume(struct fl_routine *r)
{
	struct transfer t;

	rt.current = r;
	r->ready = r->parked = false;
	FIBER_START(&rt.main_fake, r->stack, STACK);
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

/* ---- processes that are slow or stand still ---- */

/* All that waited is ready, in its order; one that is slow runs one of them, and waits again. */
static void goes_on(void *arg)
{
	struct waiting *w = arg;
	struct fl_routine *r;

	while ((r = take_ready(&w->urgent)))
		append(&rt.urgent, r);
	while ((r = take_ready(&w->ready)))
		append(&rt.ready, r);
}

void sim_process_waits(int process, double until)
{
	struct waiting *w = &rt.waiting[process];

	sim_must(process > 0 && process < PROCESSES);
	if (until <= w->until)
		return;
	w->until = until;
	sim_timer_disarm(&w->timer);
	w->timer.fn = goes_on;
	w->timer.arg = w;
	sim_timer_arm(&w->timer, until - fl_now());
}

static bool has_to_wait(const struct fl_routine *r)
{
	return r->process && !r->cancelled && !rt.ending && rt.waiting[r->process].until > fl_now();
}

static void drain(void)
{
	struct fl_routine *r;

	while ((r = take_ready(&rt.urgent)) || (r = take_ready(&rt.ready))) {
		struct waiting *w = &rt.waiting[r->process];

		if (has_to_wait(r)) {
			append(r->urgent ? &w->urgent : &w->ready, r);
			continue;
		}
		if (r->process)
			sim_process_computes(r->process);
		resume(r);
	}
}

static bool dying(int process) { return process && process == rt.dying; }

struct fl_routine *sim_spawn(int process, void (*fn)(void *), void *arg)
{
	struct fl_routine *r = calloc(1, sizeof(*r));

	sim_must(r != NULL && process < PROCESSES);
	r->stack = stack_get();
	r->fn = fn;
	r->arg = arg;
	r->process = process;
	/* What a dying process still begins, dies with it. */
	r->cancelled = dying(process);
	r->ctx = make_fcontext(r->stack + STACK, STACK, entry);
	r->timer.fn = on_timer;
	r->timer.arg = r;
	r->next = rt.all;
	if (rt.all)
		rt.all->prev = r;
	rt.all = r;
	make_ready(r, 0);
	return r;
}

int sim_process(void) { return rt.current ? rt.current->process : 0; }

void sim_process_cancel(int process)
{
	rt.dying = process;
	goes_on(&rt.waiting[process]);
	for (struct fl_routine *r = rt.all; r; r = r->next)
		if (r->process == process)
			fl_cancel(r);
}

int sim_process_routines(int process)
{
	int n = 0;

	for (const struct fl_routine *r = rt.all; r; r = r->next)
		n += r->process == process;
	return n;
}

void sim_time_begin(void) { sim_clock_begin(); }

void sim_time_run(double until)
{
	for (;;) {
		struct sim_timer *t;

		drain();
		t = sim_timer_next(until);
		if (!t)
			break;
		t->fn(t->arg);
	}
	sim_clock_set(until);
}

void sim_time_end(void (*drop)(struct sim_timer *t))
{
	struct sim_timer *t;

	rt.ending = true;
	for (int i = 0; i < PROCESSES; i++)
		goes_on(&rt.waiting[i]);
	do {
		for (struct fl_routine *r = rt.all; r; r = r->next)
			fl_cancel(r);
		drain();
		while ((t = sim_timer_any()))
			drop(t);
	} while (rt.all);
	while (rt.spares > 0)
		munmap(rt.spare[--rt.spares], STACK);
	sim_clock_end();
	memset(&rt, 0, sizeof(rt));
}

/* ---- what the controllers' code calls ---- */

struct fl_routine *fl_spawn(void (*fn)(void *), void *arg)
{
	return sim_spawn(sim_process(), fn, arg);
}

void fl_cancel(struct fl_routine *r)
{
	r->cancelled = true;
	if (r->parked)
		wake(r, -ECANCELED);
}

bool fl_cancelled(void) { return rt.current && rt.current->cancelled; }

void fl_urgent(void) { rt.current->urgent = true; }

/* Work takes no virtual time, unless its process is made slow. */
bool fl_routines_behind(void) { return rt.waiting[sim_process()].ready.head != NULL; }

/* Computing takes no time here: nothing is ever behind. */
bool fl_defer(int max_waiting) { return max_waiting > 0; }

int fl_sleep(double seconds)
{
	struct fl_routine *r = rt.current;
	int rc;

	if (r->cancelled)
		return -ECANCELED;
	sim_timer_arm(&r->timer, seconds);
	rc = park();
	return rc == -ETIMEDOUT ? 0 : rc;
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
	if (timeout_s >= 0)
		sim_timer_arm(&r->timer, timeout_s);
	return park();
}

void fl_signal_wake(struct fl_signal *sig)
{
	while (sig->first)
		wake(sig->first, 0);
}

/* There are no sockets here. */
void fl_unregister_io(int fd) { (void)fd; }

int fl_wait_io(int fd, int events, double timeout_s)
{
	(void)fd, (void)events, (void)timeout_s;
	abort();
}

void fl_routines_init(struct ev_loop *loop) { (void)loop; }
struct ev_loop *fl_loop(void) { return NULL; }
void fl_routines_run(void) { abort(); }
void fl_routines_shutdown(void) { abort(); }
