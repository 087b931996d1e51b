#include "transport/clock.h"

#include <math.h>
#include <time.h>

static double read_clock(clockid_t id)
{
	struct timespec time;

	clock_gettime(id, &time);
	return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

double fl_now(void) { return read_clock(CLOCK_MONOTONIC); }

double fl_wall_time(void) { return read_clock(CLOCK_REALTIME); }

double fl_cpu_time(void) { return read_clock(CLOCK_PROCESS_CPUTIME_ID); }

double fl_monotonic_from_wall(double wall)
{
	/* In this order, a suspension in between makes the result too early, never too late. */
	double now = fl_now();

	return now - (wall > 0 ? fmax(0, fl_wall_time() - wall) : 0);
}
