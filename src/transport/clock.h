/*
 * Clocks: the monotonic clock for all durations and deadlines, the wall clock only for times that
 * outlive the process, and processor time for the cost of work. Reading a clock neither waits nor
 * fails.
 */
#ifndef FL_TRANSPORT_CLOCK_H
#define FL_TRANSPORT_CLOCK_H

/* A monotonic time before all others, for an event that has not happened yet. */
#define FL_LONG_AGO (-1e9)

/* Returns the time of the monotonic clock, s. */
double fl_now(void);
/* Returns the time of the wall clock, s since 1970. */
double fl_wall_time(void);
/* Returns the processor time that this process has used, s. */
double fl_cpu_time(void);
/*
 * Converts a past wall time to a time of the monotonic clock. For an unknown wall time, which is 0,
 * and for a future one it returns the present time.
 */
double fl_monotonic_from_wall(double wall);

#endif
