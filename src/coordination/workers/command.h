/* Direct commands to machines, and the deadline by which cancelled jobs must have ended. */
#ifndef FL_COORDINATION_WORKERS_COMMAND_H
#define FL_COORDINATION_WORKERS_COMMAND_H

struct fl_node;
struct fl_job;
struct fl_machine;

/* Sends the machine its orders with a direct command, unless one is under way. */
void fl_command_send(struct fl_node *node, struct fl_machine *machine);
/* The same for all machines with new tasks, now that their records are written. */
void fl_command_send_pending(struct fl_node *node);
/* Stops the tasks of a job that the cluster state has as cancelled, on all machines. */
void fl_command_stop_job(struct fl_node *node, struct fl_job *job);
/* The routine of a leader, with its fl_node. */
void fl_command_enforcement_run(struct fl_node *node);

#endif
