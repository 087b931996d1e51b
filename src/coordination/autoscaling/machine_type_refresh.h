/*
 * The leader's requests for the machine types and prices that the cloud offers, and their record,
 * which controllers read that start while the cloud is unavailable: see machine_types.h.
 */
#ifndef FL_COORDINATION_AUTOSCALING_MACHINE_TYPE_REFRESH_H
#define FL_COORDINATION_AUTOSCALING_MACHINE_TYPE_REFRESH_H

struct fl_node;

/*
 * Requests the machine types and stores them. If the cloud or the key-value store refuses, those
 * known before stay until the next call. Waits.
 */
void fl_autoscaler_refresh_machine_types(struct fl_node *node);

#endif
