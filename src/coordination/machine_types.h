/* Learns the machine types on offer, without which a controller cannot judge submissions. */
#ifndef FL_COORDINATION_MACHINE_TYPES_H
#define FL_COORDINATION_MACHINE_TYPES_H

struct fl_node;

/* Starts the coroutine, which ends once they are known. */
void fl_machine_types_start(struct fl_node *node);

#endif
