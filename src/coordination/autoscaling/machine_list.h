/* The list of the cloud's machines, and what it proves. */
#ifndef FL_COORDINATION_AUTOSCALING_MACHINE_LIST_H
#define FL_COORDINATION_AUTOSCALING_MACHINE_LIST_H

struct fl_node;

/*
 * Lists all machines, page by page, and decommissions those that have failed or are gone. If a call
 * fails nothing is concluded from the machines that are missing, and the next list begins anew.
 */
void fl_autoscaler_list_machines(struct fl_node *node);

#endif
