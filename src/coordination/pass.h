/*
 * Passes: a snapshot of the cluster state goes to the schedule, and its decisions are applied to
 * the cluster state.
 */
#ifndef FL_COORDINATION_PASS_H
#define FL_COORDINATION_PASS_H

/* The routine of a leader, with its fl_node. */
void fl_pass_duty(void *arg);

#endif
