/*
 * Reconciliation of the desired with the reported state: what a worker's report proves, and what
 * the worker is ordered to do.
 */
#ifndef FL_COORDINATION_RECONCILE_H
#define FL_COORDINATION_RECONCILE_H

#include <stdbool.h>

#include "protocol/workers.h"

struct fl_node;
struct fl_machine;

/* How a report came. */
enum fl_report_source {
	FL_SOURCE_REPORT,   /* from the worker, to be answered now */
	FL_SOURCE_COMMAND,  /* as the reply to a direct command */
	FL_SOURCE_FORWARDED /* in a digest: the machine lives, but orders do not reach it */
};

/*
 * Applies a report to the cluster state; with FL_SOURCE_REPORT orders are added to its answer, else
 * `orders` is NULL. -ENOENT: the machine is proven gone.
 */
int fl_reconcile_report(struct fl_node *n, const struct fl_report *report, struct fl_orders *orders,
                        enum fl_report_source source);
/* To be called when a leader whose lease is in doubt has answered a report, without orders. */
void fl_reconcile_renewed(struct fl_node *n, const struct fl_report *report);
/* Collects the orders for a direct command; false if there are none. */
bool fl_reconcile_direct(struct fl_node *n, struct fl_machine *m, struct fl_orders *orders);
/* The machine is proven gone, for the reason `why`: so is all that was on it. */
void fl_reconcile_gone(struct fl_node *n, struct fl_machine *m, const char *why);

#endif
