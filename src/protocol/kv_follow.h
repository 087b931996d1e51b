/*
 * Follows all keys with a prefix: lists them, then watches for changes from the list's revision on,
 * and lists them again if the store no longer has all changes since then.
 */
#ifndef FL_PROTOCOL_KV_FOLLOW_H
#define FL_PROTOCOL_KV_FOLLOW_H

#include "protocol/kv_store.h"

/* What to follow, and what to call; the callbacks get the context of the watch. */
struct fl_kv_follow {
	struct fl_kv_watch_request watch;
	double retry_s; /* delay after a failed request */
	/* Lists the keys; a watch can continue from `*revision`. NULL: by fl_kv_list. */
	enum fl_kv_result (*list)(void *context, uint64_t *revision);
	/*
	 * Called after each list or watch that succeeded, with the time at which it was sent
	 * (monotonic clock, s): no change before then was missed. NULL: not called.
	 */
	void (*on_read)(void *context, double sent_at);
};

/* Follows the keys until the calling coroutine is cancelled. */
void fl_kv_follow(struct fl_kv_store *store, const struct fl_kv_follow *follow);

#endif
