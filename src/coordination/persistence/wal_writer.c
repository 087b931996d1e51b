#include "coordination/persistence/record_writer_internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/log.h"

static const struct {
	double record_use;
} tunables = {
	.record_use = 0.85, /* share of a value's limit that the log fills */
};

static void format_wal_key(char key[FL_KEY_MAX], int at)
{
	snprintf(key, FL_KEY_MAX, FL_PREFIX_WAL "%d", at);
}

/* Room for one item more; false without memory. */
static bool reserve_item(struct fl_batch_item **items, int count, int *cap)
{
	int wanted = *cap ? 2 * *cap : 64;
	struct fl_batch_item *p;

	if (count < *cap)
		return true;
	p = realloc(*items, (size_t)wanted * sizeof(*p));
	if (!p)
		return false;
	*items = p;
	*cap = wanted;
	return true;
}

/* Everything unsaved, in as few values as it fits into; how many, or -E2BIG. */
static int fill_wal_values(struct fl_node *node, struct fl_kv_txn *txn,
                           struct fl_batch_item **items, int *count)
{
	size_t limit = (size_t)(node->config->value_kb * 1024 * tunables.record_use), used = 0;
	int most = node->config->txn_ops, values = 0, cap = 0;
	cJSON *value = NULL;
	char key[FL_KEY_MAX];

	if (most > FL_BATCH_BYTES / (double)limit)
		most = (int)(FL_BATCH_BYTES / (double)limit);
	for (struct fl_job *job = node->cluster.dirty; job; job = job->next_dirty)
		for (uint32_t i = 0; i < job->block_count; i++) {
			char *group = fl_wal_group_encode(&node->cluster, job, i);
			size_t len = group ? strlen(group) + 1 : 0;

			if (!group)
				continue;
			if (value && used + len > limit) {
				format_wal_key(key, values++);
				fl_kv_txn_put(txn, key, value, 0);
				value = NULL;
			}
			if (len > limit || (!value && values == most) ||
			    !reserve_item(items, *count, &cap)) {
				free(group);
				cJSON_Delete(value);
				return -E2BIG;
			}
			if (!value) {
				value = fl_wal_value_begin();
				used = 0;
			}
			fl_wal_value_add(value, group);
			used += len;
			free(group);
			(*items)[(*count)++] = (struct fl_batch_item){
				job, i, fl_job_task_block(job, i)->generation};
		}
	if (value) {
		format_wal_key(key, values++);
		fl_kv_txn_put(txn, key, value, 0);
	}
	return values;
}

/* Any write of the log replaces the one before it, so each is made over what surely stands. */
static int read_wal_revision(struct fl_node *node)
{
	uint64_t revision = 0;
	cJSON *value;
	int rc;

	if (node->leadership.wal_revision_known)
		return 0;
	rc = fl_kv_get(&node->kv_store, FL_KEY_WAL, &value, &revision, NULL);
	cJSON_Delete(value);
	if (rc && rc != -ENOENT)
		return rc;
	node->leadership.wal_mod_revision = rc == -ENOENT ? 0 : revision;
	node->leadership.wal_revision_known = true;
	return 0;
}

int fl_record_writer_write_wal(struct fl_node *node)
{
	struct fl_batch_item *items = NULL;
	char failed[FL_KEY_MAX] = "";
	struct fl_kv_txn txn;
	int count = 0, values, rc = read_wal_revision(node);
	uint64_t revision;

	if (rc)
		return rc;
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, FL_KEY_LEADER, node->election.leader_mod_revision);
	fl_kv_txn_expect_revision(&txn, FL_KEY_WAL, node->leadership.wal_mod_revision);
	values = fill_wal_values(node, &txn, &items, &count);
	rc = values < 0 ? values : fl_record_writer_await_budget(node, values);
	if (rc || !fl_is_leader(node)) {
		fl_kv_txn_free(&txn);
		rc = rc ? rc : -EAGAIN;
		goto out;
	}
	rc = fl_kv_txn_commit(&node->kv_store, &txn, &revision, failed);
	fl_debug("record", "log of %d records in %d values: %s", count, values,
	         rc ? strerror(-rc) : "stored");
	if (rc == 0)
		node->leadership.wal_mod_revision = revision;
	else if (rc != -EAGAIN)
		node->leadership.wal_revision_known = false;
	/* Only this routine lets go of jobs: those it counted are still there. */
	for (int i = 0; i < count && rc == 0; i++)
		items[i].job->blocks[items[i].block_index]->logged_generation = items[i].generation;
	if (rc == -ESTALE && strcmp(failed, FL_KEY_LEADER) == 0)
		fl_election_step_down(node, "another leads");
out:
	free(items);
	return rc;
}
