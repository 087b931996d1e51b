/*
 * The clocks: steady for every duration, wall time only for what outlives a process, processor time
 * for what work costs.
 */
#ifndef FL_TRANSPORT_CLOCK_H
#define FL_TRANSPORT_CLOCK_H

/* Seconds of the steady clock. */
double fl_now(void);
/* Seconds of the wall clock, since 1970. */
double fl_wall(void);
/* Seconds of processor time that this process has used. */
double fl_cpu_time(void);
/* The steady time of a wall time past; a wall time of 0 is not known, and counts as now. */
double fl_since(double wall);

#endif
