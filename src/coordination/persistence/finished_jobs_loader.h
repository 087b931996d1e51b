/* Loads the final states of jobs that were done before this leadership, to respond from memory. */
#ifndef FL_COORDINATION_PERSISTENCE_FINISHED_JOBS_LOADER_H
#define FL_COORDINATION_PERSISTENCE_FINISHED_JOBS_LOADER_H

struct fl_node;

/*
 * Runs in a coroutine of the leader, until that is cancelled. Found with thousands of jobs of one
 * task and an outage of all controllers: each user of a job that was done before repeated the
 * status query until the job was read from its record, two requests a job, and for many that took
 * longer than a minute. A list returns a thousand in one request; there are ten lists, by the first
 * digit, with a pause in between, so that however many jobs there are, others are served meanwhile.
 */
void fl_finished_jobs_loader_run(struct fl_node *node);

#endif
