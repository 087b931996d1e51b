/*
 * The write-ahead log, a few values under FL_PREFIX_WAL: the changes that no progress record holds
 * yet, of many jobs in one write. Each write of it is complete, so the records can follow later.
 * What older writes left in it does no harm: of two states of a task the later one counts, and
 * attempts only rise.
 */
#ifndef FL_STORAGE_WRITE_AHEAD_LOG_H
#define FL_STORAGE_WRITE_AHEAD_LOG_H

#include "storage/jobs.h"

/* The changes of one block, as one value of the log holds them. */
struct fl_wal_group {
	char ref[FL_REF_MAX];
	uint32_t block_index;
	cJSON *changes;    /* owned; in the shape of a progress record */
	bool restored;     /* its block has been restored */
	int next_of_block; /* index of the block's next group as read, or FL_INDEX_NONE */
};

struct fl_wal_block;

/* All groups read from the values of the log; zero-initialised is an empty one. */
struct fl_wal {
	struct fl_wal_group *groups;
	int group_count, group_capacity;
	struct fl_wal_block *blocks; /* by job and block: where its groups begin */
};

/*
 * One group as it goes into a value: the unsaved changes of a block, to be freed; NULL if there are
 * none.
 */
char *fl_wal_group_encode(const struct fl_cluster *cluster, const struct fl_job *job,
                          uint32_t block_index);
/* A value without groups, owned by the caller. */
cJSON *fl_wal_value_create(void);
/* Adds an encoded group, which is copied, to a value. */
void fl_wal_value_add_group(cJSON *value, const char *group);
/* Adds a value's groups; unless the result is OK, those before the bad one are added. */
enum fl_decode_result fl_wal_read_value(struct fl_wal *wal, const cJSON *value);
/*
 * Index of the first group of a block, from which `next_of_block` leads to the others in the order
 * they were read in, or FL_INDEX_NONE. So a failover reads each group once, not once a block.
 */
int fl_wal_first_group(const struct fl_wal *wal, const char *ref, uint32_t block_index);
/* Frees the groups; the log is empty then. */
void fl_wal_free(struct fl_wal *wal);

#endif
