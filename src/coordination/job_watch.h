/*
 * Watches the records of live jobs, on every controller: first the whole list, then each change. A
 * follower responds from the state that this keeps current, and a leader learns of new jobs and
 * cancellations by it.
 */
#ifndef FL_COORDINATION_JOB_WATCH_H
#define FL_COORDINATION_JOB_WATCH_H

struct fl_node;

/* Starts the coroutine, which begins once the machine types are known. */
void fl_job_watch_start(struct fl_node *node);

#endif
