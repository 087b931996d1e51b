/* The leader's records: batched, conditional, written before what follows from them is done. */
#ifndef FL_COORDINATION_RECORD_WRITER_H
#define FL_COORDINATION_RECORD_WRITER_H

#include <stdbool.h>

#include "storage/records.h"

struct fl_node;

/* A progress record that nothing needs any more. */
void fl_record_writer_discard(struct fl_node *n, const char *key);
void fl_record_writer_free_pending(struct fl_node *n);
/*
 * What the record of a live job says, however it was come by. Found with slow controllers: the
 * write of a cancellation went unanswered and so did the read after it. The record told the user,
 * and the leader, which took only its own writes for news, stopped nothing.
 */
void fl_record_writer_heard(struct fl_node *n, struct fl_job *job, const struct fl_job_record *rec,
                            uint64_t rev);
/* A final write went unanswered: what do the records say? See the definition. */
int fl_record_writer_reread_job(struct fl_node *n, const char *ref, bool *over,
                                enum fl_status *status);
/* The routine of a leader, with its fl_node. */
void fl_record_writer_duty(void *arg);

#endif
