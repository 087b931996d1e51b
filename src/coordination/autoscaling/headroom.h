/*
 * Headroom: capacity kept available on on-demand machines, so that services start without waiting
 * for a machine to boot.
 */
#ifndef FL_COORDINATION_AUTOSCALING_HEADROOM_H
#define FL_COORDINATION_AUTOSCALING_HEADROOM_H

#include "coordination/autoscaling/planned_machines.h"

/*
 * Adds rentals for missing headroom, and records the surplus for scale in (headroom_surplus and
 * headroom_share_count of the autoscaler).
 */
void fl_autoscaler_plan_headroom(struct fl_autoscaler_plan *plan);

#endif
