/* Virtual time: the clocks, and the timers in the order in which they are due. */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/memory.h"

/* Both clocks begin somewhere: nothing may take them for spans since a start. */
static const double steady_begin = 5000, wall_begin = 1.7e9, tick = 1e-6;

static struct {
	double now;
	uint64_t seq;
	struct sim_timer **heap; /* from 1 */
	int n, cap;
} clocks;

double fl_now(void) { return clocks.now; }

double fl_wall(void) { return clocks.now - steady_begin + wall_begin; }

/* One process holds several controllers: what one of them does is not known. */
size_t fl_memory_in_use(void) { return 0; }

/* Virtual time passes between pieces of work, not within them. */
double fl_cpu_time(void) { return 0; }

double fl_since(double wall)
{
	return wall > 0 && wall < fl_wall() ? clocks.now - (fl_wall() - wall) : clocks.now;
}

/* ---- timers ---- */

static bool before(const struct sim_timer *a, const struct sim_timer *b)
{
	return a->when < b->when || (a->when == b->when && a->seq < b->seq);
}

static void heap_set(int at, struct sim_timer *timer)
{
	clocks.heap[at] = timer;
	timer->at = at;
}

static void heap_up(int at)
{
	struct sim_timer *timer = clocks.heap[at];

	for (; at > 1 && before(timer, clocks.heap[at / 2]); at /= 2)
		heap_set(at, clocks.heap[at / 2]);
	heap_set(at, timer);
}

static void heap_down(int at)
{
	struct sim_timer *timer = clocks.heap[at];

	for (;;) {
		int child = 2 * at;

		if (child > clocks.n)
			break;
		if (child < clocks.n && before(clocks.heap[child + 1], clocks.heap[child]))
			child++;
		if (!before(clocks.heap[child], timer))
			break;
		heap_set(at, clocks.heap[child]);
		at = child;
	}
	heap_set(at, timer);
}

void sim_timer_arm(struct sim_timer *timer, double seconds)
{
	sim_require(timer->at == 0);
	if (clocks.n + 1 >= clocks.cap) {
		clocks.cap = clocks.cap ? 2 * clocks.cap : 256;
		clocks.heap = realloc(clocks.heap, (size_t)clocks.cap * sizeof(*clocks.heap));
		sim_require(clocks.heap != NULL);
	}
	/* No span is shorter than this: a remainder lost in rounding would be slept for ever. */
	if (seconds > 0 && seconds < tick)
		seconds = tick;
	timer->when = clocks.now + (seconds > 0 ? seconds : 0);
	timer->seq = ++clocks.seq;
	clocks.heap[++clocks.n] = timer;
	timer->at = clocks.n;
	heap_up(clocks.n);
}

void sim_timer_disarm(struct sim_timer *timer)
{
	int at = timer->at;
	struct sim_timer *last;

	if (!at)
		return;
	timer->at = 0;
	last = clocks.heap[clocks.n--];
	if (last == timer)
		return;
	heap_set(at, last);
	heap_up(at);
	heap_down(last->at);
}

void sim_clock_begin(void) { clocks.now = steady_begin; }

void sim_clock_set(double now) { clocks.now = now; }

struct sim_timer *sim_timer_next(double until)
{
	struct sim_timer *timer = clocks.n > 0 ? clocks.heap[1] : NULL;

	if (!timer || timer->when > until)
		return NULL;
	clocks.now = timer->when;
	sim_timer_disarm(timer);
	return timer;
}

struct sim_timer *sim_timer_any(void)
{
	struct sim_timer *timer = clocks.n > 0 ? clocks.heap[1] : NULL;

	if (timer)
		sim_timer_disarm(timer);
	return timer;
}

void sim_clock_end(void)
{
	free(clocks.heap);
	memset(&clocks, 0, sizeof(clocks));
}
