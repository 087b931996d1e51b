#include "protocol/kv_follow.h"

#include "transport/clock.h"
#include "transport/coroutine.h"

static enum fl_kv_result list_keys(struct fl_kv_store *store, const struct fl_kv_follow *follow,
                                   uint64_t *revision)
{
	const struct fl_kv_watch_request *watch = &follow->watch;

	if (follow->list)
		return follow->list(watch->context, revision);
	return fl_kv_list(store, watch->prefix, watch->on_event, watch->context, revision);
}

void fl_kv_follow(struct fl_kv_store *store, const struct fl_kv_follow *follow)
{
	uint64_t revision = 0; /* 0: the keys must be listed first */

	while (!fl_coroutine_cancelled()) {
		double sent_at = fl_now();
		enum fl_kv_result result = revision == 0
		                                   ? list_keys(store, follow, &revision)
		                                   : fl_kv_watch(store, &follow->watch, &revision);

		if (result == FL_KV_OK && follow->on_read)
			follow->on_read(follow->watch.context, sent_at);
		if (result == FL_KV_COMPACTED)
			revision = 0;
		if (result != FL_KV_OK && fl_sleep(follow->retry_s) != 0)
			return;
	}
}
