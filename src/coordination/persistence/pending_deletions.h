/*
 * A list of progress records that are no longer needed, to be deleted when nothing else is to be
 * written. A lost entry does no harm: a later leader deletes that record as an orphan. The list is
 * owned by the holder of its head; NULL is an empty list.
 */
#ifndef FL_COORDINATION_PERSISTENCE_PENDING_DELETIONS_H
#define FL_COORDINATION_PERSISTENCE_PENDING_DELETIONS_H

struct fl_node;
struct fl_pending_deletion;

/* Adds the key of a record to be deleted; does nothing if out of memory. */
void fl_pending_deletions_add(struct fl_pending_deletion **list, const char *key);
/* Deletes as many records of the record writer's list as fit into one transaction. */
void fl_pending_deletions_write(struct fl_node *node);
/* Frees the list, which is then empty; the records remain in the store. */
void fl_pending_deletions_free(struct fl_pending_deletion **list);

#endif
