/*
 * Repeats cancellations whose write got no answer. Until such a write is resolved, the job starts
 * no tasks and its status must be read from the record; if its user gives up, nobody else resolves
 * it.
 */
#ifndef FL_COORDINATION_API_CANCELLATION_RETRY_H
#define FL_COORDINATION_API_CANCELLATION_RETRY_H

struct fl_node;

/*
 * Repeats them until the records have changed; runs in a coroutine of the leader until it is
 * cancelled.
 */
void fl_cancellation_retry_run(struct fl_node *node);

#endif
