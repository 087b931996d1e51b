/*
 * The list of the machines rented from the cloud, which shows the machines that exist and proves
 * that a machine has failed or is gone. The list may be out of date by the list lag in the
 * settings; the proof allows for the lag.
 */
#ifndef FL_COORDINATION_AUTOSCALING_MACHINE_LIST_H
#define FL_COORDINATION_AUTOSCALING_MACHINE_LIST_H

struct fl_node;

/*
 * Lists all machines, page by page, and decommissions those that have failed or are gone. If a call
 * fails, missing machines are not decommissioned, and the next list starts from the first page.
 */
void fl_autoscaler_list_machines(struct fl_node *node);

#endif
