/*
 * Progress records: the states of the tasks of a task block or of a part of it. Tasks that are
 * WAITING and have never run are left out. If the record and the write-ahead log hold different
 * states of a task, the later state is used, regardless of the order in which they are read.
 */
#ifndef FL_STORAGE_PROGRESS_RECORDS_H
#define FL_STORAGE_PROGRESS_RECORDS_H

#include "storage/block_parts.h"
#include "storage/jobs.h"

struct fl_wal;

/*
 * Returns the progress record of these tasks of a block, which the caller owns; the block must
 * exist.
 */
cJSON *fl_task_block_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                            uint32_t block_index, struct fl_task_range range);
/* Like fl_task_block_encode, but only for tasks whose last change is not in a record yet. */
cJSON *fl_task_block_encode_unsaved(const struct fl_cluster *cluster, const struct fl_job *job,
                                    uint32_t block_index, struct fl_task_range range);

/* Where a task's state was read from. */
enum fl_state_source { FL_STATE_FROM_RECORD, FL_STATE_FROM_LOG };

/* A task's state as stored. Of two states of a task, the newer one is used. */
struct fl_stored_task_state {
	enum fl_task_phase phase;
	uint32_t attempt;
	char machine[FL_NAME_MAX]; /* name; valid if PLACED */
	uint64_t incarnation;
	double placed_wall;
	enum fl_state_source source; /* FROM_LOG: only the log holds this state, no record does */
};

/* A task block that is being restored: what its records and the log hold together. */
struct fl_block_merge {
	struct fl_job *job;
	uint32_t block_index;
	enum fl_state_source source; /* source of the value being merged */
	struct fl_stored_task_state states[FL_TASK_BLOCK_SIZE];
	uint64_t mod_revisions[FL_BLOCK_PARTS_MAX]; /* of the merged records, by part */
	/* End of the tasks in the record being merged, and in the record of each part. */
	uint32_t record_end, record_ends[FL_BLOCK_PARTS_MAX];
};

/* Begins to restore a block of the job. */
void fl_block_merge_begin(struct fl_block_merge *merge, struct fl_job *job, uint32_t block_index);
/* Merges the record of a part of the block. */
enum fl_decode_result fl_block_merge_record(struct fl_block_merge *merge, int part_index,
                                            const cJSON *value, uint64_t revision);
/*
 * Restores tasks and machines from the merged records and from later changes in the write-ahead log
 * (NULL: not read), whose groups of this block are marked as `restored`. Machines that are not
 * known yet are added as first seen at `now` (monotonic clock, s). Changes that only the log holds
 * are marked as unsaved. If the result is not OK, the block may be restored in part.
 */
enum fl_decode_result fl_block_merge_restore(struct fl_block_merge *merge,
                                             struct fl_cluster *cluster, struct fl_wal *wal,
                                             double now);

/* The sources from which a block with at most one record is restored; it owns no memory. */
struct fl_task_block_source {
	const cJSON *value; /* the progress record; NULL: no record exists */
	uint64_t revision;  /* revision of the record; 0: no record exists */
	struct fl_wal *wal; /* NULL: not read */
};

/* Restores a block with at most one record, as fl_block_merge_restore does. */
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
