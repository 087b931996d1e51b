/*
 * The client of the key-value store that outlives every controller: compare-and-swap transactions,
 * leases, lists and watches. Every call waits for the answer, so it must be made from a coroutine.
 * Each write raises the store's revision; a key's `mod_revision` is that of its last write. Unless
 * the result is FL_KV_OK, outputs hold nothing.
 */
#ifndef FL_PROTOCOL_KV_STORE_H
#define FL_PROTOCOL_KV_STORE_H

#include "protocol/json.h"
#include "transport/http_client.h"

/* Bytes of a key with its terminator. */
enum { FL_KEY_MAX = 96 };

/* The result of a request: what the caller may conclude, and what it has to do. */
enum fl_kv_result {
	FL_KV_OK = 0,
	FL_KV_NOT_FOUND,      /* no such key or lease */
	FL_KV_COMPARE_FAILED, /* a condition does not hold: nothing was written */
	FL_KV_COMPACTED,      /* the revision to watch from is too old: list again */
	FL_KV_UNAVAILABLE,    /* refused for now (429, 503) and not executed: try again later */
	FL_KV_INVALID,        /* refused as malformed, or because its lease has expired */
	FL_KV_CANCELLED,      /* the calling coroutine is being cancelled: unwind */
	/* No answer, or none that can be read: it may have been executed, or may still be. */
	FL_KV_OUTCOME_UNKNOWN
};

/* The words for a result in a log line. */
const char *fl_kv_result_text(enum fl_kv_result result);

/* The client, and when the store last answered; times are steady, in seconds. */
struct fl_kv_store {
	struct fl_http_client client;       /* short requests */
	struct fl_http_client watch_client; /* one open watch, on a connection of its own */
	double last_success_sent_at;        /* when the newest request that was answered was sent */
	double last_failure_at;             /* when one last got a 503, or no answer */
};

/* Builds a transaction: conditions, and the writes made if all of them hold. */
struct fl_kv_txn {
	cJSON *root, *conditions, *operations;
	int operation_count;
};

/* A key in a list, or its change in a watch. */
struct fl_kv_event {
	const char *key;
	const cJSON *value; /* NULL: deleted */
	uint64_t mod_revision;
};

/*
 * True if the last failure (a 503, or no answer) came after the newest answered request was sent:
 * an answer to an earlier one proves nothing of the time since. A 429 counts as neither.
 */
bool fl_kv_is_unavailable(const struct fl_kv_store *store);
/* False: the address is malformed. */
bool fl_kv_init(struct fl_kv_store *store, const char *address);
/* Reads a key. `*value` is owned by the caller; `lease_id` (if not NULL) gets its lease, or 0. */
enum fl_kv_result fl_kv_get(struct fl_kv_store *store, const char *key, cJSON **value,
                            uint64_t *revision, uint64_t *lease_id);
/*
 * Reads the revision of a key whose last write had an unknown outcome or met another revision; 0 if
 * there is no such key. `*mod_revision` is set only on FL_KV_OK.
 */
enum fl_kv_result fl_kv_get_revision(struct fl_kv_store *store, const char *key,
                                     uint64_t *mod_revision);

/* Called for each change; it is valid during the call only. */
typedef void (*fl_kv_event_fn)(void *context, const struct fl_kv_event *event);
/*
 * Lists every key under the prefix, page by page. `*revision` is the store's at the first page, so
 * that a watch from there misses nothing. On a failure, some keys may have been delivered.
 */
enum fl_kv_result fl_kv_list(struct fl_kv_store *store, const char *prefix, fl_kv_event_fn on_event,
                             void *context, uint64_t *revision);
/* What a watch delivers, how long it waits for it, and to whom. */
struct fl_kv_watch_request {
	const char *prefix;
	double timeout_s; /* the store answers then at the latest */
	fl_kv_event_fn on_event;
	void *context; /* passed to `on_event` */
};

/*
 * One watch: delivers the changes after `*revision`, which rises with them. On a failure it stays,
 * though some changes may have been delivered: these come again.
 */
enum fl_kv_result fl_kv_watch(struct fl_kv_store *store, const struct fl_kv_watch_request *watch,
                              uint64_t *revision);

/* An empty transaction. */
void fl_kv_txn_init(struct fl_kv_txn *txn);
/* Frees a transaction that will not be sent. */
void fl_kv_txn_free(struct fl_kv_txn *txn);
/* Condition: the key has this revision; 0: it does not exist. */
void fl_kv_txn_expect_revision(struct fl_kv_txn *txn, const char *key, uint64_t revision);
/* Writes the key; takes ownership of the value. A key with a lease is deleted when that ends. */
void fl_kv_txn_put(struct fl_kv_txn *txn, const char *key, cJSON *value, uint64_t lease_id);
/* Deletes the key. */
void fl_kv_txn_delete(struct fl_kv_txn *txn, const char *key);
/*
 * Sends the transaction and consumes the builder. On FL_KV_COMPARE_FAILED, `failed` (if not NULL)
 * gets the first failed key, or is empty if the store names none.
 */
enum fl_kv_result fl_kv_txn_commit(struct fl_kv_store *store, struct fl_kv_txn *txn,
                                   uint64_t *revision, char failed_key[FL_KEY_MAX]);

/* Grants a lease that expires `ttl_s` after its last renewal. */
enum fl_kv_result fl_kv_lease_grant(struct fl_kv_store *store, double ttl_s, uint64_t *lease_id);
/* Renews a lease. */
enum fl_kv_result fl_kv_lease_keep_alive(struct fl_kv_store *store, uint64_t lease_id,
                                         double timeout_s);
/* Ends a lease, and the keys that are bound to it. */
enum fl_kv_result fl_kv_lease_revoke(struct fl_kv_store *store, uint64_t lease_id);

#endif
