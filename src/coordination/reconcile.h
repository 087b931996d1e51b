/* Desired against reported: what a worker's report proves, and what it is ordered in turn. */
#ifndef FL_COORDINATION_RECONCILE_H
#define FL_COORDINATION_RECONCILE_H

#include "protocol/workers.h"

struct fl_node;
struct fl_machine;

/*
 * Takes a report in. With `orders` it is being answered now, and they are added; without, it came
 * by a digest, or (`reached`) as the reply to a direct command. -ENOENT: the machine is proven
 * gone.
 */
int fl_reconcile_report(struct fl_node *n, const struct fl_report *r, struct fl_orders *orders,
                        bool reached);
/* Orders for a direct command; false if there are none. */
bool fl_reconcile_direct(struct fl_node *n, struct fl_machine *m, struct fl_orders *orders);
/* The machine is proven gone: so is all that was on it. */
void fl_reconcile_gone(struct fl_node *n, struct fl_machine *m, const char *why);

#endif
