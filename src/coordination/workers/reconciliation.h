/*
 * Reconciliation of the desired with the reported state: what a worker's report proves, and what
 * the worker is ordered to do.
 */
#ifndef FL_COORDINATION_WORKERS_RECONCILIATION_H
#define FL_COORDINATION_WORKERS_RECONCILIATION_H

#include <stdbool.h>

#include "protocol/workers.h"

struct fl_node;
struct fl_machine;

/* How a report came. */
enum fl_heartbeat_source {
	FL_HEARTBEAT_FROM_WORKER,  /* from the worker, to be answered now */
	FL_HEARTBEAT_FROM_COMMAND, /* as the reply to a direct command */
	FL_HEARTBEAT_FROM_DIGEST   /* in a digest: the machine lives, but orders do not reach it */
};

/*
 * Applies a report to the cluster state; with FL_HEARTBEAT_FROM_WORKER orders are added to its
 * answer, else `commands` is NULL. -ENOENT: the machine is proven gone.
 */
int fl_reconcile_heartbeat(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                           struct fl_command_list *commands, enum fl_heartbeat_source source);
/* To be called when a leader whose lease is in doubt has answered a report, without orders. */
void fl_reconcile_renewal(struct fl_node *node, const struct fl_heartbeat *heartbeat);
/* Collects the orders for a direct command; false if there are none. */
bool fl_reconcile_collect_commands(struct fl_node *node, struct fl_machine *machine,
                                   struct fl_command_list *commands);
/* The machine is proven gone, for the reason `why`: so is all that was on it. */
void fl_reconcile_decommission(struct fl_node *node, struct fl_machine *machine, const char *why);

#endif
