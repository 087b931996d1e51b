/*
 * Applies job records, as a list or a watch delivers them, to the state of the cluster. A record
 * that is not newer than what is known changes nothing, so they may be delivered more than once.
 */
#ifndef FL_STORAGE_JOB_UPDATES_H
#define FL_STORAGE_JOB_UPDATES_H

#include "storage/job_records.h"

/*
 * Applies a change of a job record; returns the live job, or NULL if there is none. A deletion (no
 * value) means that the job is over: only a leader keeps it, to finish what it is doing. A
 * cancelled one it keeps as `cancelled`, until its tasks are gone.
 */
struct fl_job *fl_cluster_apply_job_record(struct fl_cluster *cluster, const char *ref,
                                           const cJSON *value, uint64_t revision);

/* Applies the record of a leader's live job; true if it is newly cancelled. */
bool fl_cluster_update_live_job(struct fl_cluster *cluster, struct fl_job *job,
                                const struct fl_job_record *record, uint64_t revision);

/* Called before a whole list of job records is read: no live job counts as listed yet. */
void fl_cluster_begin_job_list(struct fl_cluster *cluster);
/* Called after it, with the list's revision: live jobs that it no longer holds are dropped. */
void fl_cluster_end_job_list(struct fl_cluster *cluster, uint64_t revision);

#endif
