/* Loads the final states of jobs that were done before this leadership, to answer from memory. */
#ifndef FL_COORDINATION_PERSISTENCE_FINISHED_JOBS_LOADER_H
#define FL_COORDINATION_PERSISTENCE_FINISHED_JOBS_LOADER_H

struct fl_node;

/*
 * Runs in a coroutine of the leader until the coroutine is cancelled. Guards against slow status
 * queries after an outage of all controllers: with thousands of one-task jobs, users repeated each
 * query until the job was read from its record, two requests per job, which took many of them more
 * than a minute. A list returns a thousand records per request. The ten lists, one for each first
 * digit of a job id, have pauses in between, so that other requests are served with any number of
 * jobs.
 */
void fl_finished_jobs_loader_run(struct fl_node *node);

#endif
