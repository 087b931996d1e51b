/* Writes the final records of jobs that are over. */
#ifndef FL_COORDINATION_PERSISTENCE_FINAL_RECORD_WRITER_H
#define FL_COORDINATION_PERSISTENCE_FINAL_RECORD_WRITER_H

#include "protocol/kv_store.h"

struct fl_node;

/* Writes the final record of one job that is over; one that cannot be does not hold up others. */
enum fl_kv_result fl_final_record_write_one(struct fl_node *node);

#endif
