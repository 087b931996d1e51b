/*
 * Direct commands: requests with commands that the leader sends to a worker without waiting for its
 * next heartbeat. Also enforces the deadline by which the tasks of cancelled jobs must have ended.
 *
 * A direct command only saves time: every command is also part of the reply to a heartbeat. At most
 * one direct command per machine is in flight.
 */
#ifndef FL_COORDINATION_WORKERS_COMMAND_H
#define FL_COORDINATION_WORKERS_COMMAND_H

#include <stdbool.h>

struct fl_node;
struct fl_job;
struct fl_machine;

/*
 * Sends the machine its commands directly; if a request to it is in flight, after that request has
 * returned. If too many requests are in flight, the commands go only with the reply to the worker's
 * next heartbeat.
 */
void fl_command_send(struct fl_node *node, struct fl_machine *machine);
/* Sends pending commands of all machines; to be called when new tasks' records are written. */
void fl_command_send_pending(struct fl_node *node);
/*
 * Returns whether a direct start command for a task of the job may still arrive at a worker: with
 * the present fencing token, for an attempt that no heartbeat has shown.
 */
bool fl_command_start_may_arrive_late(const struct fl_node *node, const struct fl_job *job);
/* Sends the machines that have tasks of the job their commands directly. */
void fl_command_send_for_job(struct fl_node *node, const struct fl_job *job);
/* Sends stop commands for a job that is marked as cancelled to all machines with its tasks. */
void fl_command_stop_cancelled_job(struct fl_node *node, struct fl_job *job);
/* Enforces the cancellation deadline; runs in a coroutine of the leader until it is cancelled. */
void fl_cancellation_enforcement_run(struct fl_node *node);

#endif
