/*
 * Progress records: what became of the tasks of one block of a job. Only what differs from a task
 * that waits and never ran is written. Of two states of a task, from the record or the write-ahead
 * log, the later one counts, in whatever order they are read.
 */
#ifndef FL_STORAGE_PROGRESS_RECORDS_H
#define FL_STORAGE_PROGRESS_RECORDS_H

#include "storage/jobs.h"

struct fl_wal;

/* The block's progress record, owned by the caller; the block must exist. */
cJSON *fl_task_block_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                            uint32_t block_index);
/* The same shape, only of the tasks whose last change is not in the record yet. */
cJSON *fl_task_block_encode_unsaved(const struct fl_cluster *cluster, const struct fl_job *job,
                                    uint32_t block_index);
/*
 * Restores tasks and machines from a progress record (NULL: there is none) and what the write-ahead
 * log (NULL: not read) says beyond it; machines not known yet are added. What only the log holds is
 * marked as unsaved. Unless the result is OK, the block is restored in part.
 */
enum fl_decode_result fl_task_block_restore(struct fl_cluster *cluster, struct fl_job *job,
                                            uint32_t block_index, const cJSON *value,
                                            uint64_t revision, struct fl_wal *wal, double now);
/* Adds the counts of a progress record, for a node that is not the leader. */
enum fl_decode_result fl_task_block_count(const cJSON *value, uint32_t *done, uint32_t *placed);

#endif
