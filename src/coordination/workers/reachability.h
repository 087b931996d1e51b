/*
 * Detects machines that the leader cannot reach. In a one-way partition heartbeats arrive from a
 * machine, but replies and commands do not reach it, and work placed there would be lost. The next
 * heartbeat acknowledges a reply by its effects: the fencing token that the worker has seen, a
 * start command that was executed, an incarnation that did not end, and no timeout of the worker
 * while waiting for the reply. Times: monotonic clock, s.
 */
#ifndef FL_COORDINATION_WORKERS_REACHABILITY_H
#define FL_COORDINATION_WORKERS_REACHABILITY_H

#include <stdbool.h>

#include "protocol/workers.h"
#include "storage/machines.h"

struct fl_node;

/* Whether a reply has a start command; if so, the next heartbeat must show its effect. */
enum fl_reply_kind { FL_REPLY_WITHOUT_START, FL_REPLY_WITH_START };

/*
 * Checks whether a newer heartbeat acknowledges the last reply. To be called when the heartbeat has
 * arrived from the worker, which waits for a reply, and before it changes the cluster state.
 */
void fl_reachability_on_heartbeat(const struct fl_node *node, struct fl_machine *machine,
                                  const struct fl_heartbeat *heartbeat, double now);
/* Records a reply to a heartbeat, sent with this fencing token. */
void fl_reachability_on_reply(struct fl_machine *machine, uint64_t fencing_token,
                              enum fl_reply_kind kind, double now);
/* Records that the machine is reachable, because it has replied to a direct command. */
void fl_reachability_confirm(struct fl_machine *machine);
/* Returns whether the machine may be unreachable, so that no task should be placed there. */
bool fl_reachability_is_suspect(const struct fl_machine *machine);
/* Returns the time since when the machine has been unreachable; INFINITY if it is reachable. */
double fl_reachability_lost_since(const struct fl_machine *machine);

#endif
