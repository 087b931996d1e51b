/* The two clocks: steady for every span, wall only for what outlives a process. */
#ifndef FL_TRANSPORT_CLOCK_H
#define FL_TRANSPORT_CLOCK_H

double fl_now(void);
double fl_wall(void);

#endif
