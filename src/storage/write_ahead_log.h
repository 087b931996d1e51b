/*
 * The write-ahead log, a few values under FL_PREFIX_WAL: the changes that no progress record holds
 * yet, for many jobs in one write. Each write contains all such changes, so the progress records
 * can be written later. Values left behind by older writes do no harm: of two states of a task the
 * later one is used, and attempt numbers only increase.
 */
#ifndef FL_STORAGE_WRITE_AHEAD_LOG_H
#define FL_STORAGE_WRITE_AHEAD_LOG_H

#include "storage/block_parts.h"
#include "storage/jobs.h"

/* The changes of one task block in one value of the log. */
struct fl_wal_group {
	char ref[FL_REF_MAX];
	uint32_t block_index;
	cJSON *changes;    /* owned; in the format of a progress record */
	bool restored;     /* the task block has been restored with these changes */
	int next_of_block; /* index of the next group of the same block, or FL_INDEX_NONE */
};

struct fl_wal_block;

/* All groups read from the values of the log; empty when zero-initialised. */
struct fl_wal {
	struct fl_wal_group *groups;
	int group_count, group_capacity;
	struct fl_wal_block *blocks; /* the list of groups of each block, by job and block index */
};

/*
 * Returns the unsaved changes of these tasks of a block as an encoded group, which the caller
 * frees; NULL if there are none. The log may have several groups of a block.
 */
char *fl_wal_group_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                          uint32_t block_index, struct fl_task_range range);
/* Returns a value without groups, which the caller owns. */
cJSON *fl_wal_value_create(void);
/* Adds a copy of an encoded group to a value. */
void fl_wal_value_add_group(cJSON *value, const char *group);
/* Adds the groups of a value in order; stops at the first that fails, if any. */
enum fl_decode_result fl_wal_read_value(struct fl_wal *wal, const cJSON *value);
/*
 * Returns the index of the first group of a block, or FL_INDEX_NONE; `next_of_block` links the
 * others in the order in which they were read. Thus a failover reads each group once instead of
 * once per block.
 */
int fl_wal_first_group(const struct fl_wal *wal, const char *ref, uint32_t block_index);
/* Frees the groups and leaves the log empty. */
void fl_wal_free(struct fl_wal *wal);

#endif
