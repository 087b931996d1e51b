/* Scale out: makes the rentals of the last plan. */
#ifndef FL_COORDINATION_AUTOSCALING_SCALE_OUT_H
#define FL_COORDINATION_AUTOSCALING_SCALE_OUT_H

struct fl_node;

/*
 * Makes the rentals one after the other, until one fails for a reason other than missing capacity;
 * the next scheduling cycle plans the rest again.
 */
void fl_autoscaler_scale_out(struct fl_node *node);

#endif
