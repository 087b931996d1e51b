/*
 * Reconciliation of the desired with the observed state: what a worker's heartbeat proves about the
 * attempts on its machine, and which commands result from it. Only the leader calls it. Nothing in
 * it waits, so that a heartbeat is applied and answered under one check of the lease.
 *
 * Invariant: an attempt is released only once it is proven not to be on its machine, neither now
 * nor later; an old heartbeat, or an old start command that is still under way, must not defeat
 * that.
 */
#ifndef FL_COORDINATION_WORKERS_RECONCILIATION_H
#define FL_COORDINATION_WORKERS_RECONCILIATION_H

#include <stdbool.h>

#include "protocol/workers.h"

struct fl_node;
struct fl_machine;

/* How a heartbeat came. */
enum fl_heartbeat_source {
	FL_HEARTBEAT_FROM_WORKER,  /* from the worker, which waits for the reply */
	FL_HEARTBEAT_FROM_COMMAND, /* as the reply to a direct command */
	FL_HEARTBEAT_FROM_DIGEST   /* in a digest: the machine lives, but may be unreachable */
};

/* What became of a heartbeat, and how the worker is to be answered. */
enum fl_reconcile_result {
	FL_RECONCILE_APPLIED,       /* the cluster state and the commands rest on it */
	FL_RECONCILE_IGNORED_STALE, /* a newer one was applied: reply, it changed nothing */
	FL_RECONCILE_IGNORED_BEFORE_LEADERSHIP, /* sent before this leadership was known: reply,
	                                           likewise */
	FL_RECONCILE_DECOMMISSIONED,            /* its machine is proven gone: reject it */
	FL_RECONCILE_HIGHER_TOKEN, /* has a higher fencing token than this leader: reject it */
	FL_RECONCILE_OUT_OF_MEMORY /* its machine could not be added: reject it */
};

/* Whether a heartbeat with this result is to be rejected, rather than to be answered. */
bool fl_reconcile_is_rejection(enum fl_reconcile_result result);
/*
 * Applies a heartbeat to the cluster state; with FL_HEARTBEAT_FROM_WORKER the commands for its
 * reply are added to `commands`, which is NULL with the other sources.
 */
enum fl_reconcile_result fl_reconcile_heartbeat(struct fl_node *node,
                                                const struct fl_heartbeat *heartbeat,
                                                struct fl_command_list *commands,
                                                enum fl_heartbeat_source source);
/* To be called when a leader whose lease is in doubt has renewed a worker's, without commands. */
void fl_reconcile_record_renewal(struct fl_node *node, const struct fl_heartbeat *heartbeat);
/* Collects the commands for a direct request to the machine; false if there are none. */
bool fl_reconcile_collect_commands(struct fl_node *node, struct fl_machine *machine,
                                   struct fl_command_list *commands);
/* The machine is proven gone, for this reason (for the log): so is all that was on it. */
void fl_reconcile_decommission(struct fl_node *node, struct fl_machine *machine,
                               const char *reason);

#endif
