/* The leader's records: batched, conditional, written before what follows from them is done. */
#ifndef FL_COORDINATION_RECORD_H
#define FL_COORDINATION_RECORD_H

#include <stdbool.h>

#include "protocol/users.h"

struct fl_node;

/* A progress record that nothing needs any more. */
void fl_record_discard(struct fl_node *n, const char *key);
void fl_record_free_trash(struct fl_node *n);
/* A final write went unanswered: what do the records say? See the definition. */
int fl_record_reread_job(struct fl_node *n, const char *ref, bool *over, enum fl_status *status);
/* The routine of a leader, with its fl_node. */
void fl_record_duty(void *node);

#endif
