/*
 * Writes the final records of jobs that are over. A job is finished only once that is stored: until
 * then users are given its earlier state.
 */
#ifndef FL_COORDINATION_PERSISTENCE_FINAL_RECORD_WRITER_H
#define FL_COORDINATION_PERSISTENCE_FINAL_RECORD_WRITER_H

#include "protocol/kv_store.h"

struct fl_node;

/*
 * Writes the final record of one job that is over; a failed write does not hold up other jobs. The
 * result is that of the last write tried, FL_KV_OK if there was none.
 */
enum fl_kv_result fl_final_record_write_one(struct fl_node *node);

#endif
