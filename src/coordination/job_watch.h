/*
 * Watches the records of live jobs on every controller: lists all of them, then receives each
 * change. A follower responds from the state that the watch keeps current; a leader receives new
 * jobs and cancellations through it.
 */
#ifndef FL_COORDINATION_JOB_WATCH_H
#define FL_COORDINATION_JOB_WATCH_H

struct fl_node;

/* Starts the watch coroutine, which first waits until the machine types are loaded. */
void fl_job_watch_start(struct fl_node *node);

#endif
