/*
 * Progress records that nothing needs any more, to be deleted when nothing else is to be written.
 * Forgotten ones do no harm: a later leader finds those records as orphans.
 */
#ifndef FL_COORDINATION_PERSISTENCE_PENDING_DELETIONS_H
#define FL_COORDINATION_PERSISTENCE_PENDING_DELETIONS_H

struct fl_node;
struct fl_pending_deletion;

/* Has the record with this key deleted at some later time. */
void fl_pending_deletions_add(struct fl_pending_deletion **list, const char *key);
/* Deletes as many of them as fit into one transaction. */
void fl_pending_deletions_write(struct fl_node *node);
/* Forgets them. */
void fl_pending_deletions_free(struct fl_pending_deletion **list);

#endif
