/*
 * The attempts on one machine whose direct start command may still reach the worker, late or once
 * more. A worker executes a direct command only with a fencing token that is not below the highest
 * one it has seen, and only in the incarnation that the command was sent to. Until a heartbeat
 * shows a higher token or a later incarnation, such an attempt must not be forgotten by the worker,
 * and its absence from a heartbeat proves nothing.
 */
#ifndef FL_STORAGE_DIRECT_STARTS_H
#define FL_STORAGE_DIRECT_STARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/users.h"

/* Limit for one machine, and so for the exited attempts that its worker has to keep for them. */
enum { FL_DIRECT_STARTS_MAX = 64 };

/* An attempt of a task, and the highest fencing token of its direct start commands. */
struct fl_direct_start {
	char ref[FL_REF_MAX];
	uint32_t index, attempt;
	uint64_t fencing_token;
};

/* The direct starts of one machine; empty when zero-initialised. */
struct fl_direct_starts {
	struct fl_direct_start *entries;
	int count, capacity;
};

/*
 * Records a direct start command that is about to be sent. Returns false if the limit is reached or
 * memory is short: then the command must not be sent.
 */
bool fl_direct_starts_add(struct fl_direct_starts *starts, const struct fl_direct_start *start);
/* Returns the entry of an attempt; NULL: no direct start command of it may still arrive. */
const struct fl_direct_start *fl_direct_starts_find(const struct fl_direct_starts *starts,
                                                    const char *ref, uint32_t index,
                                                    uint32_t attempt);
/* Drops the commands that a worker rejects that has seen this fencing token. */
void fl_direct_starts_drop_below(struct fl_direct_starts *starts, uint64_t fencing_token);
/* Drops all entries and their memory. */
void fl_direct_starts_clear(struct fl_direct_starts *starts);

#endif
