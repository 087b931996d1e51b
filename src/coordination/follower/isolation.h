/* Whether a node is cut off from everything by which it could decide, or ask somebody who can. */
#ifndef FL_COORDINATION_FOLLOWER_ISOLATION_H
#define FL_COORDINATION_FOLLOWER_ISOLATION_H

#include <stdbool.h>

struct fl_node;

/*
 * This node hears neither the key-value store nor any other controller: it can decide nothing,
 * forward nothing, and nobody can command its workers' machines through it.
 */
bool fl_node_is_isolated(const struct fl_node *node);

#endif
