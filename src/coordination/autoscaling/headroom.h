/*
 * Headroom: capacity held back on machines that are not spot, so that services start without
 * waiting for a machine to boot.
 */
#ifndef FL_COORDINATION_AUTOSCALING_HEADROOM_H
#define FL_COORDINATION_AUTOSCALING_HEADROOM_H

#include "coordination/autoscaling/planned_machines.h"

/*
 * Adds rentals for the headroom that is short, and notes for scale in how much is spare
 * (headroom_surplus and headroom_shares of the autoscaler).
 */
void fl_autoscaler_plan_headroom(struct fl_autoscaler_plan *plan);

#endif
