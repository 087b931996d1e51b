/* Scale out: the rentals of the last plan. */
#ifndef FL_COORDINATION_AUTOSCALING_SCALE_OUT_H
#define FL_COORDINATION_AUTOSCALING_SCALE_OUT_H

struct fl_node;

/*
 * Makes the rentals one after the other, until one fails for another cause than that there is no
 * capacity; the rest is planned again by the next scheduling cycle.
 */
void fl_autoscaler_scale_out(struct fl_node *node);

#endif
