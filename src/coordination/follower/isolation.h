/* Whether a node is isolated: from the key-value store and from all other controllers. */
#ifndef FL_COORDINATION_FOLLOWER_ISOLATION_H
#define FL_COORDINATION_FOLLOWER_ISOLATION_H

#include <stdbool.h>

struct fl_node;

/*
 * Whether neither the key-value store nor any other controller is reachable from this node: it can
 * decide nothing, forward nothing, and nobody can command its workers' machines through it. A node
 * that is configured without others is never isolated.
 */
bool fl_node_is_isolated(const struct fl_node *node);

#endif
