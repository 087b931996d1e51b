/*
 * Loads the available machine types when a controller starts. Without the types the controller
 * cannot validate submissions, so it is not ready until they are loaded.
 */
#ifndef FL_COORDINATION_MACHINE_TYPES_H
#define FL_COORDINATION_MACHINE_TYPES_H

struct fl_node;

/* Starts the coroutine that loads the machine types and then ends. */
void fl_machine_types_loader_start(struct fl_node *node);

#endif
