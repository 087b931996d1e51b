/*
 * Reconciliation of the desired with the observed state: determines what a worker's heartbeat
 * proves about the attempts on its machine, and which commands result. Only the leader calls it.
 * None of its functions suspends the coroutine, so one check of the leader lease covers the
 * heartbeat and its reply.
 *
 * Invariant: an attempt is released only after proof that it is not on its machine and cannot start
 * there later. Stale heartbeats and start commands that are still in flight must not break this.
 */
#ifndef FL_COORDINATION_WORKERS_RECONCILIATION_H
#define FL_COORDINATION_WORKERS_RECONCILIATION_H

#include <stdbool.h>

#include "protocol/workers.h"

struct fl_node;
struct fl_machine;

/* How a heartbeat reached the leader. */
enum fl_heartbeat_source {
	FL_HEARTBEAT_FROM_WORKER,  /* from the worker, which waits for the reply */
	FL_HEARTBEAT_FROM_COMMAND, /* in the worker's response to a direct command */
	FL_HEARTBEAT_FROM_DIGEST   /* in a digest: the machine is up, but may be unreachable */
};

/* The result of reconciling a heartbeat, which determines the reply to the worker. */
enum fl_reconcile_result {
	FL_RECONCILE_APPLIED,       /* the cluster state and commands reflect it */
	FL_RECONCILE_IGNORED_STALE, /* not newer than an applied one: no effect; replied to */
	FL_RECONCILE_IGNORED_BEFORE_LEADERSHIP, /* older fencing token: no effect; replied to */
	FL_RECONCILE_DECOMMISSIONED,            /* its machine is proven gone: rejected */
	FL_RECONCILE_HIGHER_TOKEN, /* its fencing token is higher than this leader's: rejected */
	FL_RECONCILE_OUT_OF_MEMORY /* its machine could not be added: rejected */
};

/* Returns whether the reply to a heartbeat with this result is a rejection. */
bool fl_reconcile_is_rejection(enum fl_reconcile_result result);
/*
 * Applies a heartbeat to the cluster state; with FL_HEARTBEAT_FROM_WORKER the commands for its
 * reply are added to `commands`, which is NULL with the other sources.
 */
enum fl_reconcile_result fl_reconcile_heartbeat(struct fl_node *node,
                                                const struct fl_heartbeat *heartbeat,
                                                struct fl_command_list *commands,
                                                enum fl_heartbeat_source source);
/*
 * Records, for the reachability check, a reply without start commands that renewed a worker's
 * lease. To be called while the leader cannot confirm its own lease.
 */
void fl_reconcile_record_renewal(struct fl_node *node, const struct fl_heartbeat *heartbeat);
/* Adds the commands for a direct request to the machine; returns false if there are none. */
bool fl_reconcile_collect_commands(struct fl_node *node, struct fl_machine *machine,
                                   struct fl_command_list *commands);
/*
 * Marks a machine that is proven gone as decommissioned and releases all attempts on it. `reason`
 * is for the log.
 */
void fl_reconcile_decommission(struct fl_node *node, struct fl_machine *machine,
                               const char *reason);

#endif
