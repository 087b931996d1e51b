/*
 * What the parts of the record writer share: record_writer.c has the leader's routine and writes
 * progress records, wal_writer.c the write-ahead log, final_record_writer.c final records.
 * All of it runs in that one routine, apart from what record_writer.h offers to others.
 */
#ifndef FL_COORDINATION_PERSISTENCE_RECORD_WRITER_INTERNAL_H
#define FL_COORDINATION_PERSISTENCE_RECORD_WRITER_INTERNAL_H

#include "coordination/node.h"

/* Bytes of values in one transaction, of 64 KiB. */
enum { FL_BATCH_BYTES = 40000 };

/* A chunk in a transaction, and the count of its changes that the transaction holds. */
struct fl_batch_item {
	struct fl_job *job;
	uint32_t block_index;
	uint64_t generation;
};

/* Waits until the budget of writes allows that many; 0 or -ECANCELED. */
int fl_record_writer_await_budget(struct fl_node *node, double writes);
/* Writes all that is unsaved to the log. -E2BIG: it does not fit, the records must be written. */
int fl_record_writer_write_wal(struct fl_node *node);
/* Writes the final record of one job that is over; one that cannot be does not hold up others. */
int fl_record_writer_finalise_one(struct fl_node *node);
/* Deletes as many of the progress records that nothing needs any more as fit one transaction. */
int fl_record_writer_delete_pending(struct fl_node *node);

#endif
