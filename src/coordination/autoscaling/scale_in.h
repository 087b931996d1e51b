/* Scale in: returns machines that are not needed, or not usable, to the cloud. */
#ifndef FL_COORDINATION_AUTOSCALING_SCALE_IN_H
#define FL_COORDINATION_AUTOSCALING_SCALE_IN_H

struct fl_node;

/*
 * Returns machines that are idle, faulty, lost, never booted or draining, as many as one call
 * allows. A chosen machine is draining from then on; it is decommissioned when the cloud has taken
 * it back, and is chosen again if that call fails.
 */
void fl_autoscaler_scale_in(struct fl_node *node);

#endif
