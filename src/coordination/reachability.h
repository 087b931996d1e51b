/*
 * Whether a machine hears us. Reports may arrive from a machine that neither answers nor commands
 * reach: to place work there would be to lose it. What shows that it hears is the effect of an
 * answer in the next report: the epoch it has seen, a launch that was carried out, a session that
 * did not end, and that it did not wait out its patience before it reported again.
 */
#ifndef FL_COORDINATION_REACHABILITY_H
#define FL_COORDINATION_REACHABILITY_H

#include <stdbool.h>

#include "storage/machines.h"
#include "protocol/workers.h"

struct fl_node;

/* A newer report has come over the way that answers go; before it is taken into the cluster state.
 */
void fl_reachability_report(struct fl_node *n, struct fl_machine *m, const struct fl_report *r,
                            double now);
/* It is being answered. */
void fl_reachability_answered(struct fl_node *n, struct fl_machine *m, bool launch, double now);
/* A command was answered by the machine itself. */
void fl_reachability_proven(struct fl_machine *m);
/* Nothing new is placed on a machine in doubt. */
bool fl_reachability_doubted(const struct fl_machine *m);
/* The last time at which it surely heard us, if it does not now; else INFINITY. */
double fl_reachability_lost_at(const struct fl_machine *m);

#endif
