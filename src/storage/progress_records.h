/*
 * Progress records: the states of the tasks of one block of a job. Tasks that wait and never ran
 * are left out. Of two states of a task, from the record or the write-ahead log, the later one
 * counts, in whatever order they are read.
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
/* What a task block is restored from; nothing in it is owned. */
struct fl_task_block_source {
	const cJSON *value; /* the progress record; NULL: there is none */
	uint64_t revision;  /* of the record; 0: there is none */
	struct fl_wal *wal; /* the block's groups in it become `restored`; NULL: not read */
};

/*
 * Restores tasks and machines from a progress record and from what the write-ahead log holds beyond
 * it; machines not known yet are added, as first seen at the steady time `now`. What only the log
 * holds is marked as unsaved. Unless the result is OK, the block is restored in part.
 */
enum fl_decode_result fl_task_block_restore(struct fl_cluster *cluster, struct fl_job *job,
                                            uint32_t block_index,
                                            const struct fl_task_block_source *source, double now);
/* Adds the counts of a progress record, for a node that is not the leader. */
enum fl_decode_result fl_progress_record_add_counts(const cJSON *value, uint32_t *done,
                                                    uint32_t *placed);

#endif
