/* Isolation of a node from the key-value store and from all other controllers. */
#ifndef FL_COORDINATION_FOLLOWER_ISOLATION_H
#define FL_COORDINATION_FOLLOWER_ISOLATION_H

#include <stdbool.h>

struct fl_node;

/*
 * Returns whether neither the key-value store nor any other controller is reachable from this node.
 * An isolated node can neither decide nor forward anything, and no command reaches its workers
 * through it. A node that is configured without peers is never isolated.
 */
bool fl_node_is_isolated(const struct fl_node *node);

#endif
