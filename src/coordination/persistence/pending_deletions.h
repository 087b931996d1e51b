/*
 * Progress records that are no longer needed, to be deleted when nothing else is to be written. A
 * forgotten one does no harm: a later leader finds that record as an orphan. A list is owned by
 * whoever holds its head; NULL is an empty one.
 */
#ifndef FL_COORDINATION_PERSISTENCE_PENDING_DELETIONS_H
#define FL_COORDINATION_PERSISTENCE_PENDING_DELETIONS_H

struct fl_node;
struct fl_pending_deletion;

/* Adds the key of a record to delete; without memory it is forgotten. */
void fl_pending_deletions_add(struct fl_pending_deletion **list, const char *key);
/* Deletes as many of the record writer's list as fit into one transaction. */
void fl_pending_deletions_write(struct fl_node *node);
/* Frees the list, which is empty then; the records stay. */
void fl_pending_deletions_free(struct fl_pending_deletion **list);

#endif
