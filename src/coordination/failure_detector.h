/* When a machine that is not heard of, or does not hear us, is given up. */
#ifndef FL_COORDINATION_FAILURE_DETECTOR_H
#define FL_COORDINATION_FAILURE_DETECTOR_H

#include <stdbool.h>

#include "storage/machines.h"

struct fl_node;

/* Leases of silence to be allowed now, by zone: more where too many are silent at once. */
void fl_failure_detector_leases(const struct fl_node *n, double now, double leases[FL_ZONES_MAX]);
/* The machine has been silent for longer than is allowed. */
bool fl_failure_detector_expired(const struct fl_node *n, const struct fl_machine *m, double now,
                                 const double leases[FL_ZONES_MAX]);

#endif
