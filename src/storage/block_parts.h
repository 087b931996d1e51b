/*
 * The parts of a task block. All tasks of a block share one progress record as long as it fits into
 * a value of the key-value store. A part whose record would be too large is split in the middle:
 * the first half keeps the record's key, and the second half gets a record of its own. A block's
 * state is what all its records hold together, where the newest state of a task counts, so the two
 * halves need not be written in one transaction. But until the second half is stored, the record of
 * the first one must not be replaced: it has the only stored states of the second half's tasks.
 */
#ifndef FL_STORAGE_BLOCK_PARTS_H
#define FL_STORAGE_BLOCK_PARTS_H

#include "storage/cluster.h"

/* Consecutive tasks of a block, as offsets from the block's first task. */
struct fl_task_range {
	uint32_t first, end; /* `end` is not included */
};

/* All tasks of a block. */
#define FL_WHOLE_BLOCK ((struct fl_task_range){0, FL_TASK_BLOCK_SIZE})

/*
 * Returns the index of the last part of the block that begins before `part_index`, or -1. Visits
 * the parts from last to first, the order in which they must be written, if it begins with
 * FL_BLOCK_PARTS_MAX.
 */
int fl_block_part_before(const struct fl_task_block *block, int part_index);
/* Returns the tasks of the part. */
struct fl_task_range fl_block_part_range(const struct fl_task_block *block, int part_index);
/* Returns the part that holds the task, which is one of the block's. */
const struct fl_block_part *fl_block_part_of_task(const struct fl_task_block *block,
                                                  const struct fl_task *task);
/* Returns whether the part has changes that its record lacks, or must be written after a split. */
bool fl_block_part_is_unsaved(const struct fl_task_block *block, int part_index);
/* Returns whether any part of the block is unsaved. */
bool fl_block_is_unsaved(const struct fl_task_block *block);
/* Returns whether the part has, or may have, a progress record. */
bool fl_block_part_is_stored(const struct fl_block_part *part);
/*
 * Splits the part in the middle; both halves must be written then, the second one first. Returns
 * the index of the second half, or -1 if the part is as small as a part can be.
 */
int fl_block_part_split(struct fl_task_block *block, int part_index);

#endif
