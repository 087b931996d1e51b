#include "coordination/autoscaling/machine_type_refresh.h"

#include <stdlib.h>

#include "coordination/autoscaling/call_budget.h"
#include "coordination/node.h"
#include "coordination/persistence/record_txn.h"
#include "storage/machine_type_records.h"
#include "transport/clock.h"
#include "transport/log.h"

/* A record of machine types that is being written. */
struct type_record {
	struct fl_machine_types_value *values;
	struct fl_machine_types_set set;
};

/* Writes the values from `first` to `end` (not included) in one transaction. */
static enum fl_kv_result write_values(struct fl_node *node, const struct type_record *record,
                                      int first, int end)
{
	struct fl_kv_txn txn;
	uint64_t revision;

	fl_record_txn_init(&node->leader_lease, &txn);
	for (int i = first; i < end; i++) {
		char key[FL_KEY_MAX];

		fl_key_machine_types(key, i);
		fl_kv_txn_put(&txn, key,
		              fl_machine_types_value_encode(&record->values[i], &record->set), 0);
	}
	return fl_kv_txn_commit(&node->kv_store, &txn, &revision, NULL);
}

/* Writes all values, the first one in the last transaction: it shows how many there are. */
static void write_record(struct fl_node *node, const struct type_record *record)
{
	int operations_max = fl_record_txn_operations_max(node);
	enum fl_kv_result result = FL_KV_OK;

	/* Task starts need the writes; the next refresh stores the types. */
	if (fl_token_bucket_take(fl_record_write_budget(node), record->set.value_count, fl_now()) >
	    0)
		return;
	for (int end = record->set.value_count; end > 0 && result == FL_KV_OK;) {
		int first = end > operations_max ? end - operations_max : 0;

		result = write_values(node, record, first, end);
		end = first;
	}
	if (result != FL_KV_OK)
		fl_debug("cloud",
		         "machine types not stored; retried after the next refresh result=\"%s\"",
		         fl_kv_result_text(result));
}

static void store_machine_types(struct fl_node *node, const struct fl_cloud_machine_type *types,
                                int count)
{
	struct type_record record = {
		.values = calloc((size_t)count + 1, sizeof(*record.values)),
		.set = {.number = (uint64_t)(fl_wall_time() * 1000)},
	};

	if (!record.values)
		return; /* out of memory; the next refresh stores the types */
	record.set.value_count = fl_machine_types_split(
		types, count, fl_kv_limits_fill_bytes(&node->kv_store.limits), record.values);
	write_record(node, &record);
	free(record.values);
}

void fl_autoscaler_refresh_machine_types(struct fl_node *node)
{
	struct fl_cloud_machine_type *types;
	int count;

	if (fl_autoscaler_await_call_budget(node) != FL_CALL_ALLOWED ||
	    fl_cloud_get_machine_types(&node->cloud, &types, &count) != FL_CLOUD_OK)
		return;
	fl_machine_types_set(&node->cluster.machines, &node->cluster.zones, types, count);
	store_machine_types(node, types, count);
	free(types);
}
