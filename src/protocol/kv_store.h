/*
 * The client of the key-value store, whose data outlives every controller: compare-and-swap
 * transactions, leases, lists and watches. Every call waits for the response and must be made from
 * a coroutine. Each write raises the store's revision; the `mod_revision` of a key is the revision
 * of its last write. Unless the result is FL_KV_OK, outputs hold no valid value, except where a
 * function documents otherwise.
 */
#ifndef FL_PROTOCOL_KV_STORE_H
#define FL_PROTOCOL_KV_STORE_H

#include "protocol/json.h"
#include "protocol/kv_limits.h"
#include "transport/http_client.h"

/* Maximum size of a key in bytes, with its terminator. */
enum { FL_KEY_MAX = 96 };

/* The result of a request, with what it implies and how the caller should react. */
enum fl_kv_result {
	FL_KV_OK = 0,
	FL_KV_NOT_FOUND, /* no such key or lease */
	/* A condition does not hold; written at most by an earlier copy of the request. */
	FL_KV_COMPARE_FAILED,
	FL_KV_COMPACTED,   /* the revision to watch from is too old; list the keys again */
	FL_KV_UNAVAILABLE, /* rejected (429, 503) and not executed; retry later */
	FL_KV_INVALID,     /* rejected as malformed, or because the lease has expired */
	/*
	 * Rejected as too large and not executed. The limits are lowered, so the same transaction
	 * must be built again in a smaller form; it would be rejected again unchanged.
	 */
	FL_KV_TOO_LARGE,
	FL_KV_CANCELLED, /* the calling coroutine is cancelled; clean up and return */
	/*
	 * No response, or one that is malformed or has another status, or a rejection of a request
	 * that was sent more than once; the request may be executed already, or later.
	 */
	FL_KV_OUTCOME_UNKNOWN
};

/* Returns a description of the result for log lines. */
const char *fl_kv_result_text(enum fl_kv_result result);
/* Returns whether the result means that the write will never be executed. */
bool fl_kv_write_was_refused(enum fl_kv_result result);

/* A client, the store's limits, and when it last responded. Times: monotonic clock, s. */
struct fl_kv_store {
	struct fl_kv_limits limits;
	struct fl_http_client client;       /* for short requests */
	struct fl_http_client watch_client; /* for watches, each on its own connection */
	/* When the newest request was sent that got a response other than 429 or 503. */
	double last_success_sent_at;
	double last_failure_at; /* when a request last got a 503 or no response */
};

/* A builder of a transaction: conditions, and the writes executed if all of them hold. */
struct fl_kv_txn {
	cJSON *root, *conditions, *operations;
	struct fl_kv_txn_size size;
	bool uses_lease; /* a put is attached to a lease, which may have expired */
};

/* A listed key, or the change of a watched key. */
struct fl_kv_event {
	const char *key;
	const cJSON *value; /* NULL: the key was deleted */
	uint64_t mod_revision;
};

/*
 * Returns whether the last failure (a 503 or no response) came after the newest successful request
 * was sent: a response to a request sent earlier does not show that the store has recovered. A 429
 * is neither a failure nor a success.
 */
bool fl_kv_is_unavailable(const struct fl_kv_store *store);
/*
 * Initialises a client, whose limits the caller then sets (fl_kv_limits_init); returns false if the
 * address is malformed.
 */
bool fl_kv_init(struct fl_kv_store *store, const char *address);
/*
 * Reads a key. The caller owns `*value`, which is NULL on a failure. `lease_id` (if not NULL)
 * receives the lease that the key is bound to, or 0.
 */
enum fl_kv_result fl_kv_get(struct fl_kv_store *store, const char *key, cJSON **value,
                            uint64_t *revision, uint64_t *lease_id);
/*
 * Reads the `mod_revision` of a key, for a write that had an unknown outcome or failed its
 * comparison; 0 if there is no such key. `*mod_revision` is set only on FL_KV_OK.
 */
enum fl_kv_result fl_kv_get_revision(struct fl_kv_store *store, const char *key,
                                     uint64_t *mod_revision);

/* Called for each listed key or change; `event` is valid only during the call. */
typedef void (*fl_kv_event_fn)(void *context, const struct fl_kv_event *event);
/*
 * Lists every key with the prefix, page by page. `*revision` is the store's revision at the first
 * page, so that a watch from it misses no change. On a failure, some keys may have been delivered.
 */
enum fl_kv_result fl_kv_list(struct fl_kv_store *store, const char *prefix, fl_kv_event_fn on_event,
                             void *context, uint64_t *revision);
/* A watch: the keys, how long to wait for a change, and the callback for each change. */
struct fl_kv_watch_request {
	const char *prefix;
	double timeout_s; /* the store responds after this time even without a change */
	fl_kv_event_fn on_event;
	void *context; /* passed to `on_event` */
};

/*
 * Makes one watch request: delivers the changes after `*revision` and raises it. On a failure
 * `*revision` stays, though some changes may have been delivered; they are delivered again.
 */
enum fl_kv_result fl_kv_watch(struct fl_kv_store *store, const struct fl_kv_watch_request *watch,
                              uint64_t *revision);

/* Begins an empty transaction. */
void fl_kv_txn_init(struct fl_kv_txn *txn);
/* Frees a transaction that will not be sent. */
void fl_kv_txn_free(struct fl_kv_txn *txn);
/* Adds the condition that the key has this `mod_revision`; 0: that it does not exist. */
void fl_kv_txn_expect_revision(struct fl_kv_txn *txn, const char *key, uint64_t revision);
/*
 * Adds a write of the key and takes ownership of the value. A key with a lease (`lease_id` not 0)
 * is deleted when the lease ends.
 */
void fl_kv_txn_put(struct fl_kv_txn *txn, const char *key, cJSON *value, uint64_t lease_id);
/* The same with a value that is encoded already, which is copied. */
void fl_kv_txn_put_text(struct fl_kv_txn *txn, const char *key, const char *text,
                        uint64_t lease_id);
/* Adds a deletion of the key. */
void fl_kv_txn_delete(struct fl_kv_txn *txn, const char *key);
/*
 * Sends the transaction and consumes the builder. On FL_KV_COMPARE_FAILED, `failed_key` (if not
 * NULL) receives the first key whose condition failed, or is empty if the response names none. If
 * the store rejects the transaction for its size or rate, the limits of `store` are lowered.
 */
enum fl_kv_result fl_kv_txn_commit(struct fl_kv_store *store, struct fl_kv_txn *txn,
                                   uint64_t *revision, char failed_key[FL_KEY_MAX]);

/* Grants a lease that expires `ttl_s` after its last renewal. */
enum fl_kv_result fl_kv_lease_grant(struct fl_kv_store *store, double ttl_s, uint64_t *lease_id);
/* Renews a lease. */
enum fl_kv_result fl_kv_lease_keep_alive(struct fl_kv_store *store, uint64_t lease_id,
                                         double timeout_s);
/* Ends a lease; the store deletes the keys that are bound to it. */
enum fl_kv_result fl_kv_lease_revoke(struct fl_kv_store *store, uint64_t lease_id);

#endif
