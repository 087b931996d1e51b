/* Whether a heartbeat reports the attempt that the cluster state has on its machine. */
#ifndef FL_COORDINATION_WORKERS_REPORTED_ATTEMPT_H
#define FL_COORDINATION_WORKERS_REPORTED_ATTEMPT_H

#include <stdbool.h>

#include "protocol/workers.h"
#include "storage/machines.h"

/* Whether the heartbeat has the current attempt of this assignment, in whatever state. */
bool fl_heartbeat_reports_attempt(const struct fl_heartbeat *heartbeat,
                                  struct fl_assignment assignment);

#endif
