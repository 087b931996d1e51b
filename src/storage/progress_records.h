/*
 * Progress records: what became of the tasks of one chunk of a job. Only what differs from a task
 * that waits and never ran is written.
 */
#ifndef FL_STORAGE_PROGRESS_RECORDS_H
#define FL_STORAGE_PROGRESS_RECORDS_H

#include "storage/jobs.h"

struct fl_wal;

/* The chunk's progress record. */
cJSON *fl_task_block_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                            uint32_t block_index);
/* The same shape, only of the tasks whose last change is not in the record yet. */
cJSON *fl_task_block_encode_unsaved(const struct fl_cluster *cluster, const struct fl_job *job,
                                    uint32_t block_index);
/*
 * Reads a progress record (NULL: there is none) and what the log says beyond it into tasks and
 * machines; machines not known yet are added. What only the log holds is marked as unsaved.
 */
int fl_task_block_restore(struct fl_cluster *cluster, struct fl_job *job, uint32_t block_index,
                          const cJSON *value, uint64_t revision, struct fl_wal *wal, double now);
/* Adds the counts of a progress record, for a node that does not lead; -EPROTO: unreadable. */
int fl_task_block_count(const cJSON *value, uint32_t *done, uint32_t *placed);

#endif
