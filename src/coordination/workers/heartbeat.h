/*
 * What a heartbeat shows by itself, on any node: whether it is newer than another one of its
 * worker, and which attempts it reports. Whether the leader applies it, and what follows from it,
 * is decided by the reconciliation.
 */
#ifndef FL_COORDINATION_WORKERS_HEARTBEAT_H
#define FL_COORDINATION_WORKERS_HEARTBEAT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/workers.h"
#include "storage/machines.h"

/* Whether it is newer than its worker's heartbeat with these: by incarnation, then sequence. */
bool fl_heartbeat_is_newer_than(const struct fl_heartbeat *heartbeat, uint64_t incarnation,
                                uint64_t sequence);
/* Whether it has the current attempt of this assignment, in whatever state. */
bool fl_heartbeat_reports_attempt(const struct fl_heartbeat *heartbeat,
                                  struct fl_assignment assignment);

#endif
