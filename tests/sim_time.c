/* Virtual time: the clocks, and the routines that the controllers' code runs in. */
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

enum { STACK = 256 * 1024, SPARE = 256 };
/* Both clocks begin somewhere: nothing may take them for spans since a start. */
static const double steady_begin = 5000, wall_begin = 1.7e9, tick = 1e-6;

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
	double now;
	uint64_t seq;
	struct sim_timer **heap; /* from 1 */
	int n, cap;
	struct fl_routine *all, *current;
	struct queue ready, urgent;
	int dying; /* the last process that was cancelled */
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

double fl_now(void) { return rt.now; }

double fl_wall(void) { return rt.now - steady_begin + wall_begin; }

double fl_since(double wall)
{
	return wall > 0 && wall < fl_wall() ? rt.now - (fl_wall() - wall) : rt.now;
}

/* ---- timers ---- */

static bool before(const struct sim_timer *a, const struct sim_timer *b)
{
	return a->when < b->when || (a->when == b->when && a->seq < b->seq);
}

static void heap_set(int at, struct sim_timer *t)
{
	rt.heap[at] = t;
	t->at = at;
}

static void heap_up(int at)
{
	struct sim_timer *t = rt.heap[at];

	for (; at > 1 && before(t, rt.heap[at / 2]); at /= 2)
		heap_set(at, rt.heap[at / 2]);
	heap_set(at, t);
}

static void heap_down(int at)
{
	struct sim_timer *t = rt.heap[at];

	for (;;) {
		int child = 2 * at;

		if (child > rt.n)
			break;
		if (child < rt.n && before(rt.heap[child + 1], rt.heap[child]))
			child++;
		if (!before(rt.heap[child], t))
			break;
		heap_set(at, rt.heap[child]);
		at = child;
	}
	heap_set(at, t);
}

void sim_timer_arm(struct sim_timer *t, double seconds)
{
	sim_must(t->at == 0);
	if (rt.n + 1 >= rt.cap) {
		rt.cap = rt.cap ? 2 * rt.cap : 256;
		rt.heap = realloc(rt.heap, (size_t)rt.cap * sizeof(*rt.heap));
		sim_must(rt.heap != NULL);
	}
	/* No span is shorter than this: a remainder lost in rounding would be slept for ever. */
	if (seconds > 0 && seconds < tick)
		seconds = tick;
	t->when = rt.now + (seconds > 0 ? seconds : 0);
	t->seq = ++rt.seq;
	rt.heap[++rt.n] = t;
	t->at = rt.n;
	heap_up(rt.n);
}

static void disarm(struct sim_timer *t)
{
	int at = t->at;
	struct sim_timer *last;

	if (!at)
		return;
	t->at = 0;
	last = rt.heap[rt.n--];
	if (last == t)
		return;
	heap_set(at, last);
	heap_up(at);
	heap_down(last->at);
}

/* ---- routines ---- */

static void make_ready(struct fl_routine *r, int result)
{
	struct queue *q = r->urgent ? &rt.urgent : &rt.ready;

	if (r->ready)
		return;
	r->ready = true;
	r->result = result;
	r->next_ready = NULL;
	if (q->tail)
		q->tail->next_ready = r;
	else
		q->head = r;
	q->tail = r;
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
	r->sig = NULL;
	r->sig_prev = r->sig_next = NULL;
}

static void wake(struct fl_routine *r, int result)
{
	disarm(&r->timer);
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
	r->parked = false;
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

static void drain(void)
{
	struct fl_routine *r;

	while ((r = take_ready(&rt.urgent)) || (r = take_ready(&rt.ready)))
		resume(r);
}

static bool dying(int process) { return process && process == rt.dying; }

struct fl_routine *sim_spawn(int process, void (*fn)(void *), void *arg)
{
	struct fl_routine *r = calloc(1, sizeof(*r));

	sim_must(r != NULL);
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

void sim_time_begin(void) { rt.now = steady_begin; }

void sim_time_run(double until)
{
	for (;;) {
		struct sim_timer *t;

		drain();
		if (rt.n == 0 || rt.heap[1]->when > until)
			break;
		t = rt.heap[1];
		rt.now = t->when;
		disarm(t);
		t->fn(t->arg);
	}
	rt.now = until;
}

void sim_time_end(void (*drop)(struct sim_timer *t))
{
	while (rt.all || rt.n > 0) {
		for (struct fl_routine *r = rt.all; r; r = r->next)
			fl_cancel(r);
		drain();
		while (rt.n > 0) {
			struct sim_timer *t = rt.heap[1];

			disarm(t);
			drop(t);
		}
	}
	while (rt.spares > 0)
		munmap(rt.spare[--rt.spares], STACK);
	free(rt.heap);
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

/* Work takes no virtual time: nobody is ever behind. */
bool fl_routines_behind(void) { return false; }

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
	r->sig_prev = NULL;
	r->sig_next = sig->first;
	if (sig->first)
		sig->first->sig_prev = r;
	sig->first = r;
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
int fl_wait_io(int fd, int events, double timeout_s)
{
	(void)fd, (void)events, (void)timeout_s;
	abort();
}

void fl_routines_init(struct ev_loop *loop) { (void)loop; }
struct ev_loop *fl_loop(void) { return NULL; }
void fl_routines_run(void) { abort(); }
void fl_routines_shutdown(void) { abort(); }
