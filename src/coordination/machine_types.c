#include "coordination/machine_types.h"

#include <errno.h>
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
static int read_machine_types(struct fl_node *node, struct fl_cloud_machine_type **types,
                              int *count)
{
	uint64_t revision;
	cJSON *value = NULL;
	int rc = fl_kv_get(&node->kv_store, FL_KEY_MACHINE_TYPES, &value, &revision, NULL);

	if (!rc)
		rc = fl_machine_types_decode(value, types, count);
	cJSON_Delete(value);
	return rc ? fl_cloud_machine_types(&node->cloud, types, count) : 0;
}

static void machine_types_coroutine(void *arg)
{
	struct fl_node *node = arg;

	while (!node->machine_types_known) {
		struct fl_cloud_machine_type *types;
		int count, rc = read_machine_types(node, &types, &count);

		if (rc == -EPROTO)
			fl_error("cloud", "its machine types cannot be read");
		if (rc == 0) {
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
