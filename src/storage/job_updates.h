/*
 * Applies job records from a list or a watch to the state of the cluster. A record that is not
 * newer than the known one changes nothing, so records may be delivered more than once.
 */
#ifndef FL_STORAGE_JOB_UPDATES_H
#define FL_STORAGE_JOB_UPDATES_H

#include "storage/job_records.h"

/*
 * Applies a change of a job record. Returns the live job, or NULL if there is none, if the record
 * was deleted or is unreadable, or if the job's final state was known already. A deletion (`value`
 * is NULL) means that the job is finished; only a leader keeps the job, until its own work on it is
 * complete. A leader also keeps a cancelled job, marked `cancelled`, until its tasks have stopped.
 */
struct fl_job *fl_cluster_apply_job_record(struct fl_cluster *cluster, const char *ref,
                                           const cJSON *value, uint64_t revision);

/*
 * Updates a leader's live job from its record; returns whether the job is newly cancelled. Only a
 * newer revision than the known one resolves the job's unresolved writes.
 */
bool fl_cluster_update_live_job(struct fl_cluster *cluster, struct fl_job *job,
                                const struct fl_job_record *record, uint64_t revision);

/* Must be called before a list of all job records is read; clears `seen_in_list` of all jobs. */
void fl_cluster_begin_job_list(struct fl_cluster *cluster);
/*
 * Must be called after the list was read, with its revision. Drops the live jobs without placed
 * tasks that the list no longer contains.
 */
void fl_cluster_end_job_list(struct fl_cluster *cluster, uint64_t revision);

#endif
