/*
 * Writes the leader's records: in transactions on condition that it still leads, and before the
 * leader acts on what they say.
 */
#ifndef FL_COORDINATION_PERSISTENCE_RECORD_WRITER_H
#define FL_COORDINATION_PERSISTENCE_RECORD_WRITER_H

#include <stdbool.h>

#include "storage/records.h"

struct fl_node;

/* Has a progress record that nothing needs any more deleted at some later time. */
void fl_record_writer_delete_later(struct fl_node *node, const char *key);
/* Forgets the deletions still to be made; a later leader finds those records left over. */
void fl_record_writer_free_pending(struct fl_node *node);
/*
 * Takes in the record of a live job, from whichever read. Found with slow controllers:
 * the write of a cancellation went unanswered and so did the read after it. The record told the
 * user, and the leader, which took only its own writes for news, stopped nothing.
 */
void fl_record_writer_apply_record(struct fl_node *node, struct fl_job *job,
                                   const struct fl_job_record *record, uint64_t revision);
/*
 * A final write went unanswered: what do the records say? By ref, not by pointer: the job may be
 * gone when the answer comes. Only the writing routine may drop the job, so if it turns out to be
 * over it stays unsure, and `*over` is set.
 */
int fl_record_writer_reread_job(struct fl_node *node, const char *ref, bool *over,
                                enum fl_job_status *status);
/* The routine of a leader; its argument is the fl_node. */
void fl_record_writer_coroutine(void *arg);

#endif
