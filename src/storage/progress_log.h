/*
 * The write-ahead log, a few values under FL_PREFIX_WAL: the changes that no progress record holds
 * yet, of many jobs in one write. Each write of it is complete, so the records can follow at
 * leisure. What older writes left in it does no harm: of two states of a task the later one counts,
 * and attempts only rise.
 */
#ifndef FL_STORAGE_PROGRESS_LOG_H
#define FL_STORAGE_PROGRESS_LOG_H

#include "storage/jobs.h"

/* The changes of one chunk, as one value of the log holds them. */
struct fl_log_group {
	char ref[FL_REF_MAX];
	uint32_t chunk;
	cJSON *changes; /* in the shape of a progress record */
	bool taken;     /* its chunk has been restored */
	int next;       /* the index of the next group of the same chunk, as read; -1: none */
};

struct fl_log_chunk;

/* All groups read from the values of the log; zero-initialised is an empty one. */
struct fl_log {
	struct fl_log_group *at;
	int n, cap;
	struct fl_log_chunk *chunks; /* by job and chunk: where its groups begin */
};

/* One group as it goes into a value: the unsaved changes of a chunk; NULL if there are none. */
char *fl_log_group_encode(const struct fl_cluster *b, const struct fl_job *job, uint32_t chunk);
/* A value without groups. */
cJSON *fl_log_value_begin(void);
/* Adds an encoded group to a value. */
void fl_log_value_add(cJSON *value, const char *group);
/* Adds a value's groups; -EPROTO if it cannot be read. */
int fl_log_read(struct fl_log *log, const cJSON *value);
/*
 * The index of the first group of a chunk, from which `next` leads to the others in the order they
 * were read in; -1: none. So a takeover looks at each group once, not once a chunk.
 */
int fl_log_first(const struct fl_log *log, const char *ref, uint32_t chunk);
/* Frees the groups; the log is empty then. */
void fl_log_free(struct fl_log *log);

#endif
