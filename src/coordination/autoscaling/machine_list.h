/*
 * The list of the cloud's machines: it tells which machines there are, and is the proof that one
 * has failed or is gone. It may be out of date by the lag in the settings; a proof allows for that.
 */
#ifndef FL_COORDINATION_AUTOSCALING_MACHINE_LIST_H
#define FL_COORDINATION_AUTOSCALING_MACHINE_LIST_H

struct fl_node;

/*
 * Lists all machines, page by page, and decommissions those that have failed or are gone. If a call
 * fails nothing is concluded from the machines that are missing, and the next list begins anew.
 */
void fl_autoscaler_list_machines(struct fl_node *node);

#endif
