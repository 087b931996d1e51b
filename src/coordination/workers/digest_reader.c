#include "coordination/workers/digest_reader.h"

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
#include "protocol/heartbeat_digests.h"
#include "protocol/kv_follow.h"
#include "storage/keys.h"
#include "transport/log.h"

static const struct {
	double read_retry_delay_s, watch_timeout_s;
} tunables = {
	.read_retry_delay_s = 0.2,
	.watch_timeout_s = 10.0,
};

static void on_digest_event(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	const cJSON *item;

	if (!event->value || !fl_is_leader(node))
		return;
	cJSON_ArrayForEach (item, fl_digest_heartbeats(event->value)) {
		struct fl_heartbeat heartbeat;

		if (fl_cached_heartbeat_decode(item, &heartbeat) != FL_DECODE_OK) {
			fl_error("workers", "digest entry malformed; heartbeat skipped key=%s",
			         event->key);
			continue;
		}
		/* The machine is up, but the leader may not reach it, so it gets no new task. */
		fl_reconcile_heartbeat(node, &heartbeat, NULL, FL_HEARTBEAT_FROM_DIGEST);
		fl_heartbeat_free(&heartbeat);
	}
}

void fl_digest_reader_run(struct fl_node *node)
{
	const struct fl_kv_follow follow = {.watch = {.prefix = FL_PREFIX_HEARTBEAT_DIGESTS,
	                                              .timeout_s = tunables.watch_timeout_s,
	                                              .on_event = on_digest_event,
	                                              .context = node},
	                                    .retry_s = tunables.read_retry_delay_s};

	fl_kv_follow(&node->kv_store, &follow);
}
