/* The client of the state service: conditional transactions, leases, lists and watches. */
#ifndef FL_PROTOCOL_STATE_H
#define FL_PROTOCOL_STATE_H

#include "protocol/json.h"
#include "transport/http_client.h"

/* Bytes of a key with its terminator. */
enum { FL_KEY_MAX = 96 };

/*
 * Results: 0 done; -ENOENT no such key or lease; -ESTALE a condition failed; -EAGAIN not executed
 * (429, 503); -EINVAL refused as malformed or for its lease; anything else: it may have been
 * executed, or may still be.
 */
struct fl_state {
	struct fl_http_client http;  /* short requests */
	struct fl_http_client watch; /* one open watch, on a connection of its own */
	double last_ok;              /* steady time of the sending of the last answered request */
	double last_refusal;         /* of the last 503 or silence */
};

/* Builds a transaction: conditions, and the writes made if all of them hold. */
struct fl_multi {
	cJSON *root, *when, *apply;
	int n_apply;
};

/* A key in a list, or its change in a watch. */
struct fl_change {
	const char *key;
	const cJSON *value; /* NULL: deleted */
	uint64_t rev;
};

/* No answer since the last refusal or silence. */
bool fl_state_in_doubt(const struct fl_state *s);
/* 0, or -EINVAL for an address that is none. */
int fl_state_init(struct fl_state *s, const char *addr);
/* Reads a key. `*value` is owned by the caller; `grant` (if not NULL) gets its lease, or 0. */
int fl_state_get(struct fl_state *s, const char *key, cJSON **value, uint64_t *rev,
                 uint64_t *grant);

/* Called for each change; it is valid during the call only. */
typedef void (*fl_change_fn)(void *ctx, const struct fl_change *change);
/* Every key under the prefix, page by page; `*rev` is the revision of the first page. */
int fl_state_list(struct fl_state *s, const char *prefix, fl_change_fn fn, void *ctx,
                  uint64_t *rev);
/* One watch; -ERANGE: the revision is too old, list again. */
int fl_state_follow(struct fl_state *s, const char *prefix, uint64_t *rev, double hold_s,
                    fl_change_fn fn, void *ctx);

/* An empty transaction. */
void fl_multi_init(struct fl_multi *m);
/* Frees one that is not sent. */
void fl_multi_free(struct fl_multi *m);
/* Condition: the key has this revision; 0: it does not exist. */
void fl_multi_when(struct fl_multi *m, const char *key, uint64_t rev);
/* Writes the key; takes the value over. With a lease, the key ends with it. */
void fl_multi_put(struct fl_multi *m, const char *key, cJSON *value, uint64_t grant);
/* Deletes the key. */
void fl_multi_delete(struct fl_multi *m, const char *key);
/* Sends the transaction and consumes the builder. On -ESTALE, `failed` (if not NULL) gets the first
 * failed key. */
int fl_state_multi(struct fl_state *s, struct fl_multi *m, uint64_t *rev, char failed[FL_KEY_MAX]);

/* Takes out a lease. */
int fl_state_hold(struct fl_state *s, double ttl_s, uint64_t *grant);
/* Renews a lease. */
int fl_state_extend(struct fl_state *s, uint64_t grant, double timeout_s);
/* Ends a lease, and the keys that are bound to it. */
int fl_state_release(struct fl_state *s, uint64_t grant);

#endif
