/*
 * A leader in virtual time whose key-value store is scripted (scripted_store.h), with one team "t"
 * and without the coroutines of a leader, of which a test starts those that it needs.
 */
#ifndef FL_TESTS_SCRIPTED_LEADER_H
#define FL_TESTS_SCRIPTED_LEADER_H

#include "coordination/node.h"

/* Begins virtual time, the store and the leadership of a zero-initialised node with this config. */
void scripted_leader_begin(struct fl_node *node, const struct fl_config *config);
/* Ends the virtual time and frees what the node and the store hold. */
void scripted_leader_end(struct fl_node *node);
/* Stores the live record of a job and adds the job to the cluster state. */
struct fl_job *scripted_leader_add_job(struct fl_node *node, const struct fl_job_spec *spec);

#endif
