/*
 * The key-value store as the protocol describes it, for the fakes that serve it: keys with
 * revisions, the events of their changes in order, and leases. What differs between the fakes
 * (virtual or real time, faults, HTTP) is theirs; the model runs on the clock of fl_now() and on
 * the conditions of the coroutines, whichever are linked. A transaction is applied whole or not at
 * all, and all of its changes get one revision. Nothing here fails: what a correct controller never
 * sends aborts the test.
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
	uint64_t lease_id; /* 0: none */
};

struct kv_event {
	char key[KV_MODEL_KEY_SIZE];
	char *value; /* NULL: deleted */
	uint64_t mod_revision;
};

struct kv_lease {
	uint64_t lease_id;
	double ttl_s, expires_at; /* steady clock */
};

struct kv_model {
	struct kv_entry *entries;
	struct kv_event *events;
	int event_count, event_capacity;
	struct kv_lease leases[KV_MODEL_LEASES_MAX];
	int lease_count;
	uint64_t revision, last_lease_id;
	struct fl_condition changed; /* broadcast at each event */
	/* Called before a put, with the entry so far or NULL; may be NULL itself. */
	void (*before_put)(const struct kv_entry *old, const char *key, const char *value);
};

/* ---- data ---- */

struct kv_entry *kv_model_find(const struct kv_model *model, const char *key);
/* At the model's revision; takes the value. */
void kv_model_put(struct kv_model *model, const char *key, char *value, uint64_t lease_id);
void kv_model_delete(struct kv_model *model, struct kv_entry *entry);
/* The first event above the revision whose key has the prefix; -1: none. */
int kv_model_first_event_index(const struct kv_model *model, const char *prefix, uint64_t revision);

uint64_t kv_model_lease_grant(struct kv_model *model, double ttl_s);
/* The lease's index; -1: there is none, or no more. */
int kv_model_lease_index(const struct kv_model *model, uint64_t lease_id);
/* Deletes the keys that hang on it, too. */
void kv_model_lease_revoke(struct kv_model *model, int index);
/* Revokes those whose time is up. */
void kv_model_leases_expire(struct kv_model *model);
/* All have their full time again. */
void kv_model_leases_renew(struct kv_model *model);

/* The node that the leader's key names, or an empty string. */
void kv_model_leader_node(const struct kv_model *model, char node[KV_MODEL_KEY_SIZE]);
void kv_model_free(struct kv_model *model);

/* ---- requests ---- */

/* The value of a query's parameter, whose name ends in '='; an empty string if it is missing. */
const char *kv_model_query_param(const char *query, const char *name, char *out, size_t size);

void kv_model_serve_get(const struct kv_model *model, const char *key,
                        struct fl_http_response *response);
/* At most `limit` keys a reply. */
void kv_model_serve_list(const struct kv_model *model, const char *query, int limit,
                         struct fl_http_response *response);
/* The events from this index on, which may be -1; the caller has waited for them. */
void kv_model_serve_events(const struct kv_model *model, const char *prefix, int first,
                           struct fl_http_response *response);
/* Grants, renews and revokes. */
void kv_model_serve_lease(struct kv_model *model, const struct fl_http_request *request,
                          struct fl_http_response *response);
void kv_model_serve_transaction(struct kv_model *model, const cJSON *transaction,
                                struct fl_http_response *response);

#endif
