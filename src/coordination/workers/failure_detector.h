/*
 * The failure detector: determines when a machine is considered lost because its heartbeats do not
 * arrive or the leader's replies do not reach it. The timeout depends on how many machines are
 * silent at once, and on whether controllers of the machine's zone may still renew its lease. The
 * detector is read-only: the caller decides about the machine. Times: monotonic clock, s.
 */
#ifndef FL_COORDINATION_WORKERS_FAILURE_DETECTOR_H
#define FL_COORDINATION_WORKERS_FAILURE_DETECTOR_H

#include <stdbool.h>

#include "storage/machines.h"

struct fl_node;

/*
 * Sets the timeout of silent machines, by zone, in worker leases: longer if many machines are
 * silent at once, shorter if the silence must be a fault of single machines.
 */
void fl_failure_detector_zone_timeouts(const struct fl_node *node, double now,
                                       double timeout_leases[FL_ZONES_MAX]);
/* Returns whether the machine's silence exceeds its timeout and possible renewals of its lease. */
bool fl_failure_detector_machine_is_lost(const struct fl_node *node,
                                         const struct fl_machine *machine, double now,
                                         const double timeout_leases[FL_ZONES_MAX]);

#endif
