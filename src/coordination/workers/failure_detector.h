/*
 * The failure detector: when a machine whose reports do not arrive, or that our answers do not
 * reach, is considered lost.
 */
#ifndef FL_COORDINATION_WORKERS_FAILURE_DETECTOR_H
#define FL_COORDINATION_WORKERS_FAILURE_DETECTOR_H

#include <stdbool.h>

#include "storage/machines.h"

struct fl_node;

/*
 * How long machines may be silent now, by zone, in worker leases: longer where many are silent at
 * once, shorter where single machines must be the cause.
 */
void fl_failure_detector_timeouts(const struct fl_node *node, double now,
                                  double leases[FL_ZONES_MAX]);
/* Whether the machine has been silent for longer than that. */
bool fl_failure_detector_expired(const struct fl_node *node, const struct fl_machine *machine,
                                 double now, const double leases[FL_ZONES_MAX]);

#endif
