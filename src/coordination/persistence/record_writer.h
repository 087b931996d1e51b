/*
 * The leader's record writer. One coroutine writes all that changes: starts wait until the
 * placement they rest on is durable, a final state until its record is written, and the rest
 * follows as the write budget allows. Nothing takes effect before it is stored. While a node
 * leads, only this coroutine drops jobs from its cluster state.
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
	struct fl_condition writes_pending;  /* there is something to write */
	struct fl_token_bucket write_budget; /* puts and deletions a second */
	/* Of the log's first value, which every write of the log replaces; 0: there is none. */
	uint64_t wal_mod_revision;
	bool wal_revision_known;
	struct fl_pending_deletion *pending_deletions; /* owned */
};

/* Drops the state of an earlier leadership. */
void fl_record_writer_reset(struct fl_record_writer *writer);
/* Fills the write budget, once the cluster state is loaded; the rate is in writes a second. */
void fl_record_writer_init_budget(struct fl_record_writer *writer, double store_write_rate);
/* Runs in a coroutine of the leader, until that is cancelled. */
void fl_record_writer_run(struct fl_node *node);

#endif
