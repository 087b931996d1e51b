/*
 * Progress records: the states of the tasks of one task block. Tasks that are WAITING and have
 * never run are left out. If the record and the write-ahead log hold different states of a task,
 * the later state is used, regardless of the order in which they are read.
 */
#ifndef FL_STORAGE_PROGRESS_RECORDS_H
#define FL_STORAGE_PROGRESS_RECORDS_H

#include "storage/jobs.h"

struct fl_wal;

/* Returns the block's progress record, which the caller owns; the block must exist. */
cJSON *fl_task_block_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                            uint32_t block_index);
/* Like fl_task_block_encode, but only for tasks whose last change is not in the record yet. */
cJSON *fl_task_block_encode_unsaved(const struct fl_cluster *cluster, const struct fl_job *job,
                                    uint32_t block_index);
/* The sources from which a task block is restored; it owns no memory. */
struct fl_task_block_source {
	const cJSON *value; /* the progress record; NULL: no record exists */
	uint64_t revision;  /* revision of the record; 0: no record exists */
	/* The log, whose groups of this block are marked as `restored`; NULL: not read. */
	struct fl_wal *wal;
};

/*
 * Restores tasks and machines from a progress record and from later changes in the write-ahead log.
 * Machines that are not known yet are added as first seen at `now` (monotonic clock, s). Changes
 * that only the log holds are marked as unsaved. If the result is not OK, the block may be restored
 * in part.
 */
enum fl_decode_result fl_task_block_restore(struct fl_cluster *cluster, struct fl_job *job,
                                            uint32_t block_index,
                                            const struct fl_task_block_source *source, double now);
/*
 * Adds the numbers of done and placed tasks in a progress record to `*done` and `*placed`; for a
 * node that is not the leader.
 */
enum fl_decode_result fl_progress_record_add_counts(const cJSON *value, uint32_t *done,
                                                    uint32_t *placed);

#endif
