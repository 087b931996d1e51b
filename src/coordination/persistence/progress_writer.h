/* Writes the progress records of changed task blocks, or the write-ahead log in their place. */
#ifndef FL_COORDINATION_PERSISTENCE_PROGRESS_WRITER_H
#define FL_COORDINATION_PERSISTENCE_PROGRESS_WRITER_H

#include "protocol/kv_store.h"

struct fl_node;

/*
 * Stores the placements that start commands wait for: a few as progress records, many in the
 * write-ahead log.
 */
enum fl_kv_result fl_progress_write_urgent(struct fl_node *node);
/* Writes as many unsaved progress records as the write budget allows without waiting. */
enum fl_kv_result fl_progress_write_within_budget(struct fl_node *node);

#endif
