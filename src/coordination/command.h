/* Direct commands to machines, and that cancelled jobs are gone from them in time. */
#ifndef FL_COORDINATION_COMMAND_H
#define FL_COORDINATION_COMMAND_H

struct fl_node;
struct fl_job;
struct fl_machine;

/* A machine has something for a direct command. */
void fl_command_push(struct fl_node *n, struct fl_machine *m);
/* All machines that have, now that the records stand. */
void fl_command_push_placed(struct fl_node *n);
/* The job is cancelled: its tasks are stopped wherever they may be. */
/* Of a job that the cluster state holds as cancelled. */
void fl_command_stop_job(struct fl_node *n, struct fl_job *job);
/* The routine of a leader, with its fl_node. */
void fl_command_enforce_duty(void *node);

#endif
