/* How a new leader restores the state of the cluster from the records, before it decides anything.
 */
#ifndef FL_COORDINATION_ELECTION_FAILOVER_H
#define FL_COORDINATION_ELECTION_FAILOVER_H

struct fl_node;

/* Loads jobs and progress; 0, or an errno after which it must be tried again from the start. */
int fl_failover_load(struct fl_node *node);

#endif
