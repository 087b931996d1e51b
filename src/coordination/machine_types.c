#include "coordination/machine_types.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "storage/machine_type_records.h"
#include "transport/log.h"

static const struct {
	double retry_s;
} tunables = {
	.retry_s = 0.5, /* delay after a failed read */
};

/* The machine types that are being read from their record. */
struct type_list {
	struct fl_cloud_machine_type *types;
	int count;
};

/* Appends types to the list; returns false if out of memory. */
static bool append_types(struct type_list *list, const struct fl_cloud_machine_type *types,
                         int count)
{
	struct fl_cloud_machine_type *all =
		realloc(list->types, (size_t)(list->count + count) * sizeof(*all));

	if (!all)
		return false;
	memcpy(all + list->count, types, (size_t)count * sizeof(*all));
	list->types = all;
	list->count += count;
	return true;
}

/* Reads a value of the record and appends its types; false: there is none, or it is not valid. */
static bool read_value(struct fl_kv_store *store, int index, struct type_list *list,
                       struct fl_machine_types_set *set)
{
	struct fl_cloud_machine_type *types = NULL;
	char key[FL_KEY_MAX];
	cJSON *value = NULL;
	uint64_t revision;
	int count;
	bool read;

	fl_key_machine_types(key, index);
	read = fl_kv_get(store, key, &value, &revision, NULL) == FL_KV_OK &&
	       fl_machine_types_set_decode(value, set) == FL_DECODE_OK &&
	       fl_machine_types_decode(value, &types, &count) == FL_DECODE_OK &&
	       append_types(list, types, count);
	free(types);
	cJSON_Delete(value);
	return read;
}

/* Reads the types from the leader's record; the caller frees them. False: no readable record. */
static bool read_recorded_types(struct fl_kv_store *store, struct fl_cloud_machine_type **types,
                                int *count)
{
	struct fl_machine_types_set first, set;
	struct type_list list = {0};
	bool read = read_value(store, 0, &list, &first);

	for (int i = 1; read && i < first.value_count; i++)
		read = read_value(store, i, &list, &set) && set.number == first.number;
	if (!read) {
		free(list.types);
		return false;
	}
	*types = list.types;
	*count = list.count;
	return true;
}

/*
 * Reads the types from their record or else from the cloud; the caller frees them. The record
 * guards against an outage: without it, controllers that all restart while the cloud is unavailable
 * cannot serve until it recovers.
 */
static bool read_machine_types(struct fl_node *node, struct fl_cloud_machine_type **types,
                               int *count)
{
	enum fl_cloud_result result;

	if (read_recorded_types(&node->kv_store, types, count))
		return true;
	result = fl_cloud_get_machine_types(&node->cloud, types, count);
	if (result == FL_CLOUD_UNEXPECTED_RESPONSE)
		fl_error("cloud",
		         "machine types not loaded: unexpected response from the cloud; retried");
	return result == FL_CLOUD_OK;
}

static void machine_types_coroutine(void *arg)
{
	struct fl_node *node = arg;
	struct fl_cloud_machine_type *types;
	int count;

	while (!read_machine_types(node, &types, &count))
		if (fl_sleep(tunables.retry_s) != 0)
			return;
	fl_machine_types_set(&node->cluster.machines, &node->cluster.zones, types, count);
	free(types);
	node->machine_types_loaded = true;
}

void fl_machine_types_loader_start(struct fl_node *node)
{
	fl_coroutine_spawn(machine_types_coroutine, node);
}
