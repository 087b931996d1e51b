/* Virtual time: the clocks, and a heap of timers in the order in which they are due. */
#include "sim_time.h"

#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/memory.h"

/* Neither clock starts at 0, so that a point in time mistaken for a duration is noticed. */
static const double monotonic_start_s = 5000, wall_start_s = 1.7e9, min_sleep_s = 1e-6;

static struct {
	double now;
	uint64_t last_sequence;
	struct sim_timer **heap; /* indexed from 1 */
	int count, capacity;
} clocks;

double fl_now(void) { return clocks.now; }

double fl_wall_time(void) { return clocks.now - monotonic_start_s + wall_start_s; }

/* One real process runs all controllers, so the memory use of one is not known. */
size_t fl_memory_in_use(void) { return 0; }

/* Virtual time passes between pieces of work, not within them. */
double fl_cpu_time(void) { return 0; }

double fl_monotonic_from_wall(double wall)
{
	return wall > 0 && wall < fl_wall_time() ? clocks.now - (fl_wall_time() - wall)
	                                         : clocks.now;
}

/* ---- timers ---- */

static bool is_due_before(const struct sim_timer *left, const struct sim_timer *right)
{
	if (left->due_at != right->due_at)
		return left->due_at < right->due_at;
	return left->sequence < right->sequence;
}

static void heap_set(int index, struct sim_timer *timer)
{
	clocks.heap[index] = timer;
	timer->heap_index = index;
}

static void heap_up(int index)
{
	struct sim_timer *timer = clocks.heap[index];

	for (; index > 1 && is_due_before(timer, clocks.heap[index / 2]); index /= 2)
		heap_set(index, clocks.heap[index / 2]);
	heap_set(index, timer);
}

static void heap_down(int index)
{
	struct sim_timer *timer = clocks.heap[index];

	for (;;) {
		int child = 2 * index;

		if (child > clocks.count)
			break;
		if (child < clocks.count &&
		    is_due_before(clocks.heap[child + 1], clocks.heap[child]))
			child++;
		if (!is_due_before(clocks.heap[child], timer))
			break;
		heap_set(index, clocks.heap[child]);
		index = child;
	}
	heap_set(index, timer);
}

void sim_timer_arm(struct sim_timer *timer, double seconds)
{
	sim_require(timer->heap_index == 0);
	if (clocks.count + 1 >= clocks.capacity) {
		clocks.capacity = clocks.capacity ? 2 * clocks.capacity : 256;
		clocks.heap = realloc(clocks.heap, (size_t)clocks.capacity * sizeof(*clocks.heap));
		sim_require(clocks.heap != NULL);
	}
	/* A duration below min_sleep_s may be lost in rounding, and a loop that sleeps until a
	 * point in time would never end. */
	if (seconds > 0 && seconds < min_sleep_s)
		seconds = min_sleep_s;
	timer->due_at = clocks.now + (seconds > 0 ? seconds : 0);
	timer->sequence = ++clocks.last_sequence;
	clocks.heap[++clocks.count] = timer;
	timer->heap_index = clocks.count;
	heap_up(clocks.count);
}

void sim_timer_disarm(struct sim_timer *timer)
{
	int index = timer->heap_index;
	struct sim_timer *last;

	if (!index)
		return;
	timer->heap_index = 0;
	last = clocks.heap[clocks.count--];
	if (last == timer)
		return;
	heap_set(index, last);
	heap_up(index);
	heap_down(last->heap_index);
}

void sim_clock_begin(void) { clocks.now = monotonic_start_s; }

void sim_clock_set(double now) { clocks.now = now; }

struct sim_timer *sim_timer_pop_due(double until)
{
	struct sim_timer *timer = clocks.count > 0 ? clocks.heap[1] : NULL;

	if (!timer || timer->due_at > until)
		return NULL;
	clocks.now = timer->due_at;
	sim_timer_disarm(timer);
	return timer;
}

struct sim_timer *sim_timer_pop_any(void)
{
	struct sim_timer *timer = clocks.count > 0 ? clocks.heap[1] : NULL;

	if (timer)
		sim_timer_disarm(timer);
	return timer;
}

void sim_clock_end(void)
{
	free(clocks.heap);
	memset(&clocks, 0, sizeof(clocks));
}
