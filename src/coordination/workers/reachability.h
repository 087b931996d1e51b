/*
 * Whether a machine is reachable. Heartbeats may arrive from a machine to which neither replies nor
 * commands get through (a one-way partition): work placed there would be lost. That a reply has
 * arrived is acknowledged by its effect on the next heartbeat: the fencing token the worker has
 * seen, a start command that was executed, an incarnation that did not end, and that the worker did
 * not time out before its next heartbeat.
 */
#ifndef FL_COORDINATION_WORKERS_REACHABILITY_H
#define FL_COORDINATION_WORKERS_REACHABILITY_H

#include <stdbool.h>

#include "protocol/workers.h"
#include "storage/machines.h"

struct fl_node;

/* Whether a reply has a start command, whose effect the next heartbeat must show. */
enum fl_reply_kind { FL_REPLY_WITHOUT_START, FL_REPLY_WITH_START };

/*
 * A newer heartbeat has come on a connection that is answered, at `now` (steady). To be called
 * before the heartbeat changes the cluster state.
 */
void fl_reachability_on_heartbeat(const struct fl_node *node, struct fl_machine *machine,
                                  const struct fl_heartbeat *heartbeat, double now);
/* The heartbeat is being answered, with this fencing token, at `now` (steady). */
void fl_reachability_on_reply(struct fl_machine *machine, uint64_t fencing_token,
                              enum fl_reply_kind kind, double now);
/* The machine itself has answered a command. */
void fl_reachability_confirm(struct fl_machine *machine);
/* Whether the machine may be unreachable, so that nothing new is placed there. */
bool fl_reachability_is_suspect(const struct fl_machine *machine);
/* Steady: since when the machine has been unreachable, reachable until then; else INFINITY. */
double fl_reachability_lost_since(const struct fl_machine *machine);

#endif
