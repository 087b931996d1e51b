#include "coordination/machine_types.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "transport/log.h"

static const struct {
	double retry_s;
} tunables = {
	.retry_s = 0.5, /* s after a failed read */
};

/*
 * From the record that a leader keeps of them, else from the cloud. Found on a day of our own: all
 * controllers ended while the cloud was out, and none of them could serve until it was back.
 */
static enum fl_cloud_result read_machine_types(struct fl_node *node,
                                               struct fl_cloud_machine_type **types, int *count)
{
	uint64_t revision;
	cJSON *value = NULL;
	bool recorded = fl_kv_get(&node->kv_store, FL_KEY_MACHINE_TYPES, &value, &revision, NULL) ==
	                        FL_KV_OK &&
	                fl_machine_types_decode(value, types, count) == FL_DECODE_OK;

	cJSON_Delete(value);
	return recorded ? FL_CLOUD_OK : fl_cloud_machine_types(&node->cloud, types, count);
}

static void machine_types_coroutine(void *arg)
{
	struct fl_node *node = arg;

	while (!node->machine_types_known) {
		struct fl_cloud_machine_type *types;
		int count;
		enum fl_cloud_result result = read_machine_types(node, &types, &count);

		if (result == FL_CLOUD_UNREADABLE)
			fl_error("cloud", "its machine types cannot be read");
		if (result == FL_CLOUD_OK) {
			fl_machine_types_set(&node->cluster.machines, &node->cluster.zones, types,
			                     count);
			free(types);
			node->machine_types_known = true;
			return;
		}
		if (fl_sleep(tunables.retry_s) != 0)
			return;
	}
}

void fl_machine_types_start(struct fl_node *node)
{
	fl_coroutine_spawn(machine_types_coroutine, node);
}
