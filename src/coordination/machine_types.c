#include "coordination/machine_types.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "storage/keys.h"
#include "transport/log.h"

static const struct {
	double retry_s;
} tunables = {
	.retry_s = 0.5, /* delay after a failed read */
};

/* Reads the types from the leader's record; the caller frees them. False: no readable record. */
static bool read_recorded_types(struct fl_kv_store *store, struct fl_cloud_machine_type **types,
                                int *count)
{
	cJSON *value = NULL;
	uint64_t revision;
	bool found = fl_kv_get(store, FL_KEY_MACHINE_TYPES, &value, &revision, NULL) == FL_KV_OK &&
	             fl_machine_types_decode(value, types, count) == FL_DECODE_OK;

	cJSON_Delete(value);
	return found;
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
