/*
 * Properties of a heartbeat that any node can determine: whether it is newer than another heartbeat
 * of its worker, and which attempts it reports. The reconciliation decides whether the leader
 * applies it and which commands result.
 */
#ifndef FL_COORDINATION_WORKERS_HEARTBEAT_H
#define FL_COORDINATION_WORKERS_HEARTBEAT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/workers.h"
#include "storage/machines.h"

/*
 * Returns whether the heartbeat is newer than the one of the same worker with this incarnation and
 * sequence number; the incarnation takes precedence.
 */
bool fl_heartbeat_is_newer_than(const struct fl_heartbeat *heartbeat, uint64_t incarnation,
                                uint64_t sequence);
/* Returns whether the heartbeat reports the task's current attempt, in any state. */
bool fl_heartbeat_reports_attempt(const struct fl_heartbeat *heartbeat,
                                  struct fl_assignment assignment);

#endif
