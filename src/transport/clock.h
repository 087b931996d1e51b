/*
 * The clocks: the steady one for every duration and deadline, wall time only for what outlives a
 * process, processor time for what work costs. They do not wait and cannot fail.
 */
#ifndef FL_TRANSPORT_CLOCK_H
#define FL_TRANSPORT_CLOCK_H

/* A time of the steady clock before any other: for what has not happened yet. */
#define FL_LONG_AGO (-1e9)

/* Seconds of the steady clock. */
double fl_now(void);
/* Seconds of the wall clock, since 1970. */
double fl_wall_time(void);
/* Seconds of processor time that this process has used. */
double fl_cpu_time(void);
/* The steady time of a past wall time; 0 is an unknown wall time, for which it is now. */
double fl_monotonic_from_wall(double wall);

#endif
