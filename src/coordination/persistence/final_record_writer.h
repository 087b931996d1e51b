/*
 * Writes the final records of finished jobs. A job is reported as finished only once its final
 * record is stored; until then users get its earlier status.
 */
#ifndef FL_COORDINATION_PERSISTENCE_FINAL_RECORD_WRITER_H
#define FL_COORDINATION_PERSISTENCE_FINAL_RECORD_WRITER_H

#include "protocol/kv_store.h"

struct fl_node;

/*
 * Writes the final record of one finished job. If the write fails, the next job is tried, so that
 * one job does not block the others. Returns the result of the last write attempted, or FL_KV_OK if
 * there was none.
 */
enum fl_kv_result fl_final_record_write_one(struct fl_node *node);

#endif
