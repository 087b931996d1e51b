/*
 * Reads the machine types on offer when a controller starts. Without them it cannot validate
 * submissions, so it is not ready before.
 */
#ifndef FL_COORDINATION_MACHINE_TYPES_H
#define FL_COORDINATION_MACHINE_TYPES_H

struct fl_node;

/* Starts the coroutine, which ends once they are known. */
void fl_machine_types_loader_start(struct fl_node *node);

#endif
