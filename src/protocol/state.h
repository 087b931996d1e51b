/* The state service: conditional transactions, leases (holds), lists and watches. */
#ifndef FL_PROTOCOL_STATE_H
#define FL_PROTOCOL_STATE_H

#include "protocol/json.h"
#include "transport/http_client.h"

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

struct fl_multi {
	cJSON *root, *when, *apply;
	int n_apply;
};

struct fl_change {
	const char *key;
	const cJSON *value; /* NULL: deleted */
	uint64_t rev;
};

/* No answer since the last refusal or silence. */
bool fl_state_in_doubt(const struct fl_state *s);
int fl_state_init(struct fl_state *s, const char *addr);
/* `*value` is owned by the caller. */
int fl_state_get(struct fl_state *s, const char *key, cJSON **value, uint64_t *rev,
                 uint64_t *grant);

typedef void (*fl_change_fn)(void *ctx, const struct fl_change *change);
/* Every key under the prefix, page by page; `*rev` is the revision of the first page. */
int fl_state_list(struct fl_state *s, const char *prefix, fl_change_fn fn, void *ctx,
                  uint64_t *rev);
/* One watch; -ERANGE: the revision is too old, list again. */
int fl_state_follow(struct fl_state *s, const char *prefix, uint64_t *rev, double hold_s,
                    fl_change_fn fn, void *ctx);

void fl_multi_init(struct fl_multi *m);
void fl_multi_free(struct fl_multi *m);
void fl_multi_when(struct fl_multi *m, const char *key, uint64_t rev);
void fl_multi_put(struct fl_multi *m, const char *key, cJSON *value, uint64_t grant);
void fl_multi_delete(struct fl_multi *m, const char *key);
/* Consumes the builder. On -ESTALE, `failed` (if not NULL) gets the first failed key. */
int fl_state_multi(struct fl_state *s, struct fl_multi *m, uint64_t *rev, char failed[FL_KEY_MAX]);

int fl_state_hold(struct fl_state *s, double ttl_s, uint64_t *grant);
int fl_state_extend(struct fl_state *s, uint64_t grant, double timeout_s);
int fl_state_release(struct fl_state *s, uint64_t grant);

#endif
