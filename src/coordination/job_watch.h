/*
 * Follows the records of live jobs, on every controller: first the whole list, then each change. It
 * is what a follower answers from, and it brings a leader new jobs and cancellations.
 */
#ifndef FL_COORDINATION_JOB_WATCH_H
#define FL_COORDINATION_JOB_WATCH_H

struct fl_node;

/* Starts the coroutine, which begins once the machine types are known. */
void fl_job_watch_start(struct fl_node *node);

#endif
