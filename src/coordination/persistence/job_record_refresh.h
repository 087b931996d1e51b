/* Applies the stored record of a live job to a leader's cluster state. */
#ifndef FL_COORDINATION_PERSISTENCE_JOB_RECORD_REFRESH_H
#define FL_COORDINATION_PERSISTENCE_JOB_RECORD_REFRESH_H

#include <stdbool.h>

#include "storage/job_records.h"

struct fl_node;

/* The stored state of a job with unresolved writes. */
struct fl_refreshed_job {
	bool is_finished;          /* its final record is stored */
	enum fl_job_status status; /* final status, valid if `is_finished` */
};

/*
 * Applies the record of a live job, from any read, and stops the job's tasks if the record is newly
 * cancelled. Guards against tasks that are never stopped: when the write of a cancellation times
 * out, and so does the read after it, the user is answered from the record, while a leader that
 * relies on its own writes stops nothing.
 */
void fl_job_record_apply_cancellation(struct fl_node *node, struct fl_job *job,
                                      const struct fl_job_record *record, uint64_t revision);
/*
 * Reads the records of a job with unresolved writes, which it resolves only if the record has
 * changed. Takes a job id, not a pointer, since the job may be dropped before the response arrives.
 * Only the record writer may drop a job, so a finished job keeps its `unresolved_writes`. `out` is
 * set only if a record was found.
 */
enum fl_record_result fl_job_record_refresh(struct fl_node *node, const char *ref,
                                            struct fl_refreshed_job *out);

#endif
