/*
 * Direct commands to machines, which need not wait for the worker's next heartbeat, and the
 * enforcement of the time by which tasks of cancelled jobs must have ended.
 *
 * A direct command only speeds things up: every command also goes with the reply to a heartbeat.
 * At most one is under way to a machine.
 */
#ifndef FL_COORDINATION_WORKERS_COMMAND_H
#define FL_COORDINATION_WORKERS_COMMAND_H

struct fl_node;
struct fl_job;
struct fl_machine;

/* Sends the machine its commands directly, or again once the request under way has returned. */
void fl_command_send(struct fl_node *node, struct fl_machine *machine);
/* The same for all machines with new tasks, now that their records are written. */
void fl_command_send_pending(struct fl_node *node);
/* Stops the tasks of a job that the cluster state has as cancelled, on all machines. */
void fl_command_stop_cancelled_job(struct fl_node *node, struct fl_job *job);
/* Enforces cancellations; runs in a coroutine of the leader, until that is cancelled. */
void fl_cancellation_enforcement_run(struct fl_node *node);

#endif
