/* Applies the stored record of a live job to a leader's cluster state. */
#ifndef FL_COORDINATION_PERSISTENCE_JOB_RECORD_REFRESH_H
#define FL_COORDINATION_PERSISTENCE_JOB_RECORD_REFRESH_H

#include <stdbool.h>

#include "storage/job_records.h"

struct fl_node;

/* The stored state of a job whose last write had an unknown outcome. */
struct fl_refreshed_job {
	bool is_finished;          /* its final record is written */
	enum fl_job_status status; /* the final one, if it is over */
};

/*
 * Applies the record of a live job, from whichever read: if it says that the job is cancelled, the
 * tasks are stopped. Found with slow controllers: the write of a cancellation timed out and so did
 * the read after it. The user was answered from the record, and the leader, which learned of
 * cancellations only by its own writes, stopped nothing.
 */
void fl_job_record_apply_cancellation(struct fl_node *node, struct fl_job *job,
                                      const struct fl_job_record *record, uint64_t revision);
/*
 * Reads the records of a job whose last write had an unknown outcome. By ref, not by pointer: the
 * job may be gone when the response arrives. Only the record writer may drop the job, so one that
 * is over keeps its `write_outcome_unknown`. `out` is set only if a record was found.
 */
enum fl_record_result fl_job_record_refresh(struct fl_node *node, const char *ref,
                                            struct fl_refreshed_job *out);

#endif
