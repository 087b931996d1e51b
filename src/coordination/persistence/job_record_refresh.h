/* Takes what the stored record of a live job says into a leader's cluster state. */
#ifndef FL_COORDINATION_PERSISTENCE_JOB_RECORD_REFRESH_H
#define FL_COORDINATION_PERSISTENCE_JOB_RECORD_REFRESH_H

#include <stdbool.h>

#include "storage/records.h"

struct fl_node;

/* What the records say of a job whose last write had an unknown outcome. */
struct fl_refreshed_job {
	bool over;                 /* its final record is written */
	enum fl_job_status status; /* the final one, if it is over */
};

/*
 * Takes in the record of a live job, from whichever read. Found with slow controllers:
 * the write of a cancellation went unanswered and so did the read after it. The record told the
 * user, and the leader, which took only its own writes for news, stopped nothing.
 */
void fl_job_record_refresh_apply(struct fl_node *node, struct fl_job *job,
                                 const struct fl_job_record *record, uint64_t revision);
/*
 * Reads the records of a job whose last write had an unknown outcome. By ref, not by pointer: the
 * job may be gone when the answer comes. Only the record writer may drop the job, so one that is
 * over keeps its `final_write_unknown`. `out` is set only if a record was found.
 */
enum fl_record_result fl_job_record_refresh(struct fl_node *node, const char *ref,
                                            struct fl_refreshed_job *out);

#endif
