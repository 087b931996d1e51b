/*
 * The leader's record writer: one coroutine writes all changes. A start command waits until its
 * placement is durable, and a final state until its record is stored; other changes are written as
 * the write budget allows. Nothing takes effect before it is stored. While a node leads, only this
 * coroutine drops jobs from its cluster state.
 */
#ifndef FL_COORDINATION_PERSISTENCE_RECORD_WRITER_H
#define FL_COORDINATION_PERSISTENCE_RECORD_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "storage/token_bucket.h"
#include "transport/coroutine.h"

struct fl_node;
struct fl_pending_deletion;

/* The state of the writer; reset when a leadership begins. */
struct fl_record_writer {
	struct fl_condition writes_pending;  /* signalled when there is something to write */
	struct fl_token_bucket write_budget; /* puts and deletions per second: record_txn.h */
	/* Revision of the log's first value, which every write replaces; 0: there is no log. */
	uint64_t wal_mod_revision;
	bool wal_revision_known;
	struct fl_pending_deletion *pending_deletions; /* owned */
};

/* Drops the writer's state of an earlier leadership. */
void fl_record_writer_reset(struct fl_record_writer *writer);
/* Runs in a coroutine of the leader until the coroutine is cancelled. */
void fl_record_writer_run(struct fl_node *node);

#endif
