#include "coordination/persistence/pending_deletions.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "transport/text.h"

struct fl_pending_deletion {
	struct fl_pending_deletion *next;
	char key[FL_KEY_MAX];
};

void fl_pending_deletions_add(struct fl_pending_deletion **list, const char *key)
{
	struct fl_pending_deletion *deletion = malloc(sizeof(*deletion));

	if (!deletion)
		return; /* the record remains until the next failover, which does no harm */
	fl_copy_string(deletion->key, sizeof(deletion->key), key);
	deletion->next = *list;
	*list = deletion;
}

/* Frees the entries before `end`. */
static void free_deletions_until(struct fl_pending_deletion **list,
                                 const struct fl_pending_deletion *end)
{
	while (*list != end) {
		struct fl_pending_deletion *deletion = *list;

		*list = deletion->next;
		free(deletion);
	}
}

void fl_pending_deletions_free(struct fl_pending_deletion **list)
{
	free_deletions_until(list, NULL);
}

void fl_pending_deletions_write(struct fl_node *node)
{
	struct fl_pending_deletion **list = &node->record_writer.pending_deletions;
	const struct fl_pending_deletion *next = *list;
	int operations_max = fl_record_txn_operations_max(node);
	struct fl_kv_txn txn;
	uint64_t revision;

	fl_record_txn_init(&node->leader_lease, &txn);
	for (; next && txn.size.operation_count < operations_max; next = next->next)
		fl_kv_txn_delete(&txn, next->key);
	if (fl_record_txn_admit(node, &txn) == FL_KV_OK &&
	    fl_record_txn_commit(node, &txn, &revision) == FL_KV_OK)
		free_deletions_until(list, next);
}
