/* Passes: a snapshot of the cluster state goes to the schedule, its decisions come back into it.
 */
#ifndef FL_COORDINATION_PASS_H
#define FL_COORDINATION_PASS_H

/* The routine of a leader, with its fl_node. */
void fl_pass_duty(void *node);

#endif
