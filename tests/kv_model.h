/*
 * A model of the key-value store as its protocol describes it, for the fakes that serve it: keys
 * with revisions, the ordered events of their changes, and leases. Each fake adds its own faults
 * and transport; time is real or virtual, depending on which fl_now() and coroutine conditions are
 * linked. A transaction is applied completely or not at all, and all its changes get the same
 * revision. No function returns an error; a request for a lease beyond the limits, which a correct
 * controller never sends, aborts the test.
 */
#ifndef FL_TESTS_KV_MODEL_H
#define FL_TESTS_KV_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "protocol/json.h"
#include "transport/coroutine.h"
#include "transport/http_server.h"

enum { KV_MODEL_LEASES_MAX = 128, KV_MODEL_KEY_SIZE = 200 };

struct kv_entry {
	UT_hash_handle hh;
	char key[KV_MODEL_KEY_SIZE];
	char *value; /* JSON text */
	uint64_t mod_revision;
	uint64_t lease_id; /* lease that the key is attached to; 0: none */
};

struct kv_event {
	char key[KV_MODEL_KEY_SIZE];
	char *value; /* JSON text; NULL: the key was deleted */
	uint64_t mod_revision;
};

struct kv_lease {
	uint64_t lease_id;
	double ttl_s, expires_at; /* expires_at: monotonic clock, s */
};

struct kv_model {
	struct kv_entry *entries;
	struct kv_event *events;
	int event_count, event_capacity;
	struct kv_lease leases[KV_MODEL_LEASES_MAX];
	int lease_count;
	uint64_t revision, last_lease_id;
	struct fl_condition changed; /* broadcast when an event is added */
	/* If not NULL, called before each put; `old` is the key's entry, or NULL for a new key. */
	void (*before_put)(const struct kv_entry *old, const char *key, const char *value);
};

/* ---- data ---- */

struct kv_entry *kv_model_find(const struct kv_model *model, const char *key);
/* Sets a key at the model's current revision; takes ownership of the value. */
void kv_model_put(struct kv_model *model, const char *key, char *value, uint64_t lease_id);
void kv_model_delete(struct kv_model *model, struct kv_entry *entry);
/* Returns the index of the first event after the revision whose key has the prefix; -1: none. */
int kv_model_first_event_index(const struct kv_model *model, const char *prefix, uint64_t revision);

/* Returns the id of the new lease. */
uint64_t kv_model_lease_grant(struct kv_model *model, double ttl_s);
/* Returns the index of a lease; -1: it never existed or has ended. */
int kv_model_lease_index(const struct kv_model *model, uint64_t lease_id);
/* Ends the lease and deletes the keys attached to it. */
void kv_model_lease_revoke(struct kv_model *model, int index);
/* Revokes all expired leases. */
void kv_model_leases_expire(struct kv_model *model);
/* Renews all leases. */
void kv_model_leases_renew(struct kv_model *model);

/* Stores in `node` the node that the leader's key names, or an empty string. */
void kv_model_leader_node(const struct kv_model *model, char node[KV_MODEL_KEY_SIZE]);
void kv_model_free(struct kv_model *model);

/* ---- requests ---- */

/*
 * Copies the value of a query's parameter to `out` and returns it; an empty string if it is
 * missing. `name` ends in '='.
 */
const char *kv_model_query_param(const char *query, const char *name, char *out, size_t size);

void kv_model_serve_get(const struct kv_model *model, const char *key,
                        struct fl_http_response *response);
/* Responds with at most `limit` keys. */
void kv_model_serve_list(const struct kv_model *model, const char *query, int limit,
                         struct fl_http_response *response);
/* Responds with the prefix's events from index `first` on, or none if it is -1; does not wait. */
void kv_model_serve_events(const struct kv_model *model, const char *prefix, int first,
                           struct fl_http_response *response);
/* Serves a request to grant, renew or revoke a lease. */
void kv_model_serve_lease(struct kv_model *model, const struct fl_http_request *request,
                          struct fl_http_response *response);
/* What the store accepts; the number of conditions may be four times that of operations. */
struct kv_model_limits {
	double value_kb;
	int txn_ops;
	double write_rps; /* changes per second, in bursts of one second's worth */
};

/* Returns whether a value or the number of operations or conditions is beyond the limits. */
bool kv_model_is_too_large(const cJSON *transaction, const struct kv_model_limits *limits);
void kv_model_serve_transaction(struct kv_model *model, const cJSON *transaction,
                                struct fl_http_response *response);

#endif
