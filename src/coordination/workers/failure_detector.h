/*
 * The failure detector: when a machine whose heartbeats do not arrive, or that is not reachable for
 * our replies, is considered lost. How long a machine may be silent depends on how many are silent
 * at once, and on whether controllers of its zone may still renew its lease. Read-only: it decides
 * nothing and changes nothing.
 */
#ifndef FL_COORDINATION_WORKERS_FAILURE_DETECTOR_H
#define FL_COORDINATION_WORKERS_FAILURE_DETECTOR_H

#include <stdbool.h>

#include "storage/machines.h"

struct fl_node;

/*
 * How long machines may be silent at `now` (steady), by zone, in worker leases: longer where many
 * are silent at once, shorter where single machines must be the cause.
 */
void fl_failure_detector_zone_timeouts(const struct fl_node *node, double now,
                                       double leases[FL_ZONES_MAX]);
/* Whether the machine has been silent at `now` (steady) for longer than these timeouts allow. */
bool fl_failure_detector_machine_expired(const struct fl_node *node,
                                         const struct fl_machine *machine, double now,
                                         const double leases[FL_ZONES_MAX]);

#endif
