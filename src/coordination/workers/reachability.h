/*
 * Whether our messages reach a machine. Reports may arrive from a machine that neither answers nor
 * commands reach: work placed there would be lost. That an answer has arrived shows by its effect
 * on the next report: the epoch the worker has seen, a launch that was carried out, a session that
 * did not end, and that the worker did not time out before it reported again.
 */
#ifndef FL_COORDINATION_WORKERS_REACHABILITY_H
#define FL_COORDINATION_WORKERS_REACHABILITY_H

#include <stdbool.h>

#include "storage/machines.h"
#include "protocol/workers.h"

struct fl_node;

/*
 * A newer report has come on a connection that is answered. To be called before the report changes
 * the cluster state.
 */
void fl_reachability_on_heartbeat(struct fl_node *node, struct fl_machine *machine,
                                  const struct fl_heartbeat *heartbeat, double now);
/* Whether an answer orders a launch, whose effect the next report must show. */
enum fl_reply_kind { FL_REPLY_WITHOUT_START, FL_REPLY_WITH_START };

/* The report is being answered. */
void fl_reachability_on_reply(struct fl_node *node, struct fl_machine *machine,
                              enum fl_reply_kind kind, double now);
/* The machine itself has answered a command. */
void fl_reachability_confirm(struct fl_machine *machine);
/* Whether the machine is in doubt, so that nothing new is placed there. */
bool fl_reachability_is_suspect(const struct fl_machine *machine);
/* The last time at which our messages surely reached it, if they do not now; else INFINITY. */
double fl_reachability_lost_since(const struct fl_machine *machine);

#endif
