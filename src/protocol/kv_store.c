#include "protocol/kv_store.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double timeout_s, watch_slack_s;
	int page_size, max_idle_connections, max_idle_watch_connections;
} tunables = {
	.timeout_s = 1.0,                /* responses take 10 ms, sometimes a few hundred */
	.watch_slack_s = 2.0,            /* time a watch may take beyond its own timeout */
	.page_size = 1000,               /* keys; the store's own maximum */
	.max_idle_connections = 6,       /* for short requests */
	.max_idle_watch_connections = 2, /* for watches */
};

bool fl_kv_init(struct fl_kv_store *store, const char *address)
{
	memset(store, 0, sizeof(*store));
	store->last_success_sent_at = store->last_failure_at = FL_LONG_AGO;
	return fl_http_client_init(&store->client, address, tunables.max_idle_connections) == 0 &&
	       fl_http_client_init(&store->watch_client, address,
	                           tunables.max_idle_watch_connections) == 0;
}

bool fl_kv_is_unavailable(const struct fl_kv_store *store)
{
	return store->last_failure_at > store->last_success_sent_at;
}

static enum fl_kv_result result_of_http_status(int status)
{
	switch (status) {
	case 200:
		return FL_KV_OK;
	case 404:
		return FL_KV_NOT_FOUND;
	case 409:
		return FL_KV_COMPARE_FAILED;
	case 410:
		return FL_KV_COMPACTED;
	case 429:
	case 503:
		return FL_KV_UNAVAILABLE;
	case 400:
		return FL_KV_INVALID;
	default:
		return FL_KV_OUTCOME_UNKNOWN;
	}
}

const char *fl_kv_result_text(enum fl_kv_result result)
{
	switch (result) {
	case FL_KV_OK:
		return "done";
	case FL_KV_NOT_FOUND:
		return "not found";
	case FL_KV_COMPARE_FAILED:
		return "compare failed";
	case FL_KV_COMPACTED:
		return "revision compacted";
	case FL_KV_UNAVAILABLE:
		return "unavailable";
	case FL_KV_INVALID:
		return "invalid request or lease expired";
	case FL_KV_TOO_LARGE:
		return "too large";
	case FL_KV_CANCELLED:
		return "cancelled";
	case FL_KV_OUTCOME_UNKNOWN:
		return "outcome unknown";
	}
	return "unknown result";
}

bool fl_kv_write_was_refused(enum fl_kv_result result)
{
	return result == FL_KV_UNAVAILABLE || result == FL_KV_INVALID || result == FL_KV_TOO_LARGE;
}

/* Returns what the store's response implies for a request, including earlier copies of it. */
static enum fl_kv_result result_of_reply(const struct fl_http_reply *reply)
{
	enum fl_kv_result result = result_of_http_status(reply->status);

	/* Only the last copy was refused; an earlier one may be executed. */
	if (reply->sent_repeatedly && (result == FL_KV_UNAVAILABLE || result == FL_KV_INVALID))
		return FL_KV_OUTCOME_UNKNOWN;
	return result;
}

/* A request to the store. */
struct request {
	const char *method, *path;
	const char *body; /* NULL: none */
	double timeout_s;
	const struct fl_kv_txn *txn; /* the transaction that `body` has; NULL: none */
};

/* Lowers the limits if the store refused a transaction for its size or rate. */
static enum fl_kv_result apply_refusal(struct fl_kv_store *store, const struct request *request,
                                       int http_status, enum fl_kv_result result)
{
	const struct fl_kv_txn *txn = request->txn;

	if (!txn || !fl_kv_write_was_refused(result))
		return result;
	if (http_status == 429)
		fl_kv_limits_on_throttling(&store->limits);
	if (result == FL_KV_INVALID && !txn->uses_lease &&
	    fl_kv_limits_on_refusal(&store->limits, &txn->size))
		return FL_KV_TOO_LARGE;
	return result;
}

static void log_answer(const struct request *request, int http_status, enum fl_kv_result result,
                       double sent_at)
{
	fl_debug("records",
	         "key-value store answered method=%s path=%s status=%d result=\"%s\" seconds=%.3f",
	         request->method, request->path, http_status, fl_kv_result_text(result),
	         fl_now() - sent_at);
}

/*
 * Sends a request. The caller deletes `*response` on every result; NULL: no response, or not valid
 * JSON.
 */
static enum fl_kv_result send_request(struct fl_kv_store *store, struct fl_http_client *client,
                                      const struct request *request, cJSON **response)
{
	double sent_at = fl_now();
	struct fl_http_reply reply;
	int rc = fl_http_call(client, request->method, request->path, request->body,
	                      request->timeout_s, &reply);
	enum fl_kv_result result;

	*response = NULL;
	if (rc == -ECANCELED)
		return FL_KV_CANCELLED;
	if (rc) {
		store->last_failure_at = fl_now();
		log_answer(request, 0, FL_KV_OUTCOME_UNKNOWN, sent_at);
		return FL_KV_OUTCOME_UNKNOWN;
	}
	if (reply.status == 503)
		store->last_failure_at = fl_now();
	else if (reply.status != 429 && sent_at > store->last_success_sent_at)
		store->last_success_sent_at = sent_at;
	result = apply_refusal(store, request, reply.status, result_of_reply(&reply));
	*response = fl_json_parse(reply.body.data, reply.body.length);
	fl_buffer_free(&reply.body);
	if (result == FL_KV_OK && !cJSON_IsObject(*response))
		result = FL_KV_OUTCOME_UNKNOWN;
	log_answer(request, reply.status, result, sent_at);
	return result;
}

/*
 * Returns the result of a reply, but an unknown outcome for a `refusal` that lacks the
 * store's revision: a 404 or 409 of anything but the store would make a job unknown.
 */
static enum fl_kv_result require_revision(enum fl_kv_result result, enum fl_kv_result refusal,
                                          const cJSON *object)
{
	uint64_t store_revision;

	if (result == refusal &&
	    fl_json_get_uint(object, "LedgerRev", &store_revision) != FL_JSON_OK)
		return FL_KV_OUTCOME_UNKNOWN;
	return result;
}

enum fl_kv_result fl_kv_get(struct fl_kv_store *store, const char *key, cJSON **value,
                            uint64_t *revision, uint64_t *lease_id)
{
	char path[FL_KEY_MAX + 16];
	uint64_t ignored_lease_id;
	cJSON *object;
	enum fl_kv_result result;

	*value = NULL;
	snprintf(path, sizeof(path), "/keys/%s", key);
	result = send_request(
		store, &store->client,
		&(struct request){.method = "GET", .path = path, .timeout_s = tunables.timeout_s},
		&object);
	if (result == FL_KV_OK && fl_json_get_uint(object, "KeyRev", revision) != FL_JSON_OK)
		result = FL_KV_OUTCOME_UNKNOWN;
	result = require_revision(result, FL_KV_NOT_FOUND, object);
	if (result == FL_KV_OK) {
		if (!lease_id)
			lease_id = &ignored_lease_id;
		if (fl_json_get_uint(object, "Grant", lease_id) != FL_JSON_OK)
			*lease_id = 0;
		*value = cJSON_DetachItemFromObjectCaseSensitive(object, "V");
	}
	cJSON_Delete(object);
	return result;
}

enum fl_kv_result fl_kv_get_revision(struct fl_kv_store *store, const char *key,
                                     uint64_t *mod_revision)
{
	uint64_t revision = 0;
	cJSON *value;
	enum fl_kv_result result = fl_kv_get(store, key, &value, &revision, NULL);

	cJSON_Delete(value);
	if (result != FL_KV_OK && result != FL_KV_NOT_FOUND)
		return result;
	*mod_revision = result == FL_KV_NOT_FOUND ? 0 : revision;
	return FL_KV_OK;
}

static enum fl_kv_result deliver_items(const cJSON *items, fl_kv_event_fn on_event, void *context,
                                       char last_key[FL_KEY_MAX])
{
	const cJSON *item;

	cJSON_ArrayForEach (item, items) {
		struct fl_kv_event event = {0};
		char key[FL_KEY_MAX];

		if (fl_json_get_string(item, "Key", key, sizeof(key)) != FL_JSON_OK ||
		    fl_json_get_uint(item, "KeyRev", &event.mod_revision) != FL_JSON_OK)
			return FL_KV_OUTCOME_UNKNOWN;
		event.key = key;
		event.value = fl_json_get(item, "V");
		on_event(context, &event);
		fl_copy_string(last_key, FL_KEY_MAX, key);
	}
	return FL_KV_OK;
}

/* The progress of reading a list page by page. */
struct list_reader {
	struct fl_kv_store *store;
	const char *prefix;
	char last_key[FL_KEY_MAX]; /* the last key read; empty: none yet */
	bool more;
	uint64_t revision; /* the store's revision at the last page read */
};

static enum fl_kv_result read_page(struct list_reader *reader, fl_kv_event_fn on_event,
                                   void *context, const cJSON *object)
{
	const cJSON *items = fl_json_get(object, "Items");

	/* Without `More`, a truncated list would be taken for a complete one. */
	if (!cJSON_IsArray(items) ||
	    fl_json_get_bool(object, "More", &reader->more) != FL_JSON_OK ||
	    fl_json_get_uint(object, "LedgerRev", &reader->revision) != FL_JSON_OK)
		return FL_KV_OUTCOME_UNKNOWN;
	if (reader->more && cJSON_GetArraySize(items) == 0)
		return FL_KV_OUTCOME_UNKNOWN;
	return deliver_items(items, on_event, context, reader->last_key);
}

static enum fl_kv_result fetch_page(struct list_reader *reader, fl_kv_event_fn on_event,
                                    void *context)
{
	char path[2 * FL_KEY_MAX + 64];
	cJSON *object;
	enum fl_kv_result result;

	snprintf(path, sizeof(path), "/keys?Prefix=%s%s%s&Page=%d", reader->prefix,
	         reader->last_key[0] ? "&From=" : "", reader->last_key, tunables.page_size);
	result = send_request(reader->store, &reader->store->client,
	                      &(struct request){.method = "GET",
	                                        .path = path,
	                                        .timeout_s = 2 * tunables.timeout_s},
	                      &object);
	if (result == FL_KV_OK)
		result = read_page(reader, on_event, context, object);
	cJSON_Delete(object);
	return result;
}

enum fl_kv_result fl_kv_list(struct fl_kv_store *store, const char *prefix, fl_kv_event_fn on_event,
                             void *context, uint64_t *revision)
{
	struct list_reader reader = {.store = store, .prefix = prefix, .more = true};

	for (bool first = true; reader.more; first = false) {
		enum fl_kv_result result = fetch_page(&reader, on_event, context);

		if (result != FL_KV_OK)
			return result;
		if (first)
			*revision = reader.revision;
	}
	return FL_KV_OK;
}

static enum fl_kv_result deliver_events(const cJSON *events, fl_kv_event_fn on_event, void *context)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, events) {
		struct fl_kv_event event = {0};
		char key[FL_KEY_MAX];

		if (fl_json_get_uint(item, "KeyRev", &event.mod_revision) != FL_JSON_OK)
			return FL_KV_OUTCOME_UNKNOWN;
		if (fl_json_get_string(item, "Put", key, sizeof(key)) == FL_JSON_OK)
			event.value = fl_json_get(item, "V");
		else if (fl_json_get_string(item, "Delete", key, sizeof(key)) != FL_JSON_OK)
			return FL_KV_OUTCOME_UNKNOWN;
		event.key = key;
		on_event(context, &event);
	}
	return FL_KV_OK;
}

enum fl_kv_result fl_kv_watch(struct fl_kv_store *store, const struct fl_kv_watch_request *watch,
                              uint64_t *revision)
{
	char path[FL_KEY_MAX + 128];
	const cJSON *events;
	uint64_t new_revision;
	cJSON *object;
	enum fl_kv_result result;

	snprintf(path, sizeof(path), "/follow?Prefix=%s&From=%llu&HoldMs=%d", watch->prefix,
	         (unsigned long long)*revision, (int)(watch->timeout_s * 1000));
	result = send_request(
		store, &store->watch_client,
		&(struct request){.method = "GET",
	                          .path = path,
	                          .timeout_s = watch->timeout_s + tunables.watch_slack_s},
		&object);
	if (result == FL_KV_OK) {
		events = fl_json_get(object, "Log");
		if (fl_json_get_uint(object, "LedgerRev", &new_revision) != FL_JSON_OK ||
		    (events && !cJSON_IsArray(events)))
			result = FL_KV_OUTCOME_UNKNOWN;
		else
			result = deliver_events(events, watch->on_event, watch->context);
		/* Without a list of changes, those up to the new revision may be missing. */
		if (result == FL_KV_OK && events && new_revision > *revision)
			*revision = new_revision;
	}
	cJSON_Delete(object);
	return result;
}

void fl_kv_txn_init(struct fl_kv_txn *txn)
{
	txn->root = cJSON_CreateObject();
	txn->conditions = cJSON_AddArrayToObject(txn->root, "When");
	txn->operations = cJSON_AddArrayToObject(txn->root, "Apply");
	txn->size = (struct fl_kv_txn_size){0};
	txn->uses_lease = false;
}

void fl_kv_txn_free(struct fl_kv_txn *txn)
{
	cJSON_Delete(txn->root);
	txn->root = NULL;
}

void fl_kv_txn_expect_revision(struct fl_kv_txn *txn, const char *key, uint64_t revision)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, "Key", key);
	cJSON_AddNumberToObject(item, "KeyRev", (double)revision);
	cJSON_AddItemToArray(txn->conditions, item);
}

void fl_kv_txn_put_text(struct fl_kv_txn *txn, const char *key, const char *text, uint64_t lease_id)
{
	cJSON *item = cJSON_CreateObject();
	size_t bytes = strlen(text);

	cJSON_AddStringToObject(item, "Put", key);
	cJSON_AddItemToObject(item, "V", cJSON_CreateRaw(text));
	if (lease_id)
		cJSON_AddNumberToObject(item, "Grant", (double)lease_id);
	cJSON_AddItemToArray(txn->operations, item);
	txn->size.operation_count++;
	if (bytes > txn->size.largest_value_bytes)
		txn->size.largest_value_bytes = bytes;
	txn->uses_lease = txn->uses_lease || lease_id != 0;
}

void fl_kv_txn_put(struct fl_kv_txn *txn, const char *key, cJSON *value, uint64_t lease_id)
{
	char *text = fl_json_print_and_delete(value);

	/* Out of memory: without a value the transaction is malformed, and is rejected as a whole.
	 */
	fl_kv_txn_put_text(txn, key, text ? text : "", lease_id);
	free(text);
}

void fl_kv_txn_delete(struct fl_kv_txn *txn, const char *key)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, "Delete", key);
	cJSON_AddItemToArray(txn->operations, item);
	txn->size.operation_count++;
}

enum fl_kv_result fl_kv_txn_commit(struct fl_kv_store *store, struct fl_kv_txn *txn,
                                   uint64_t *revision, char failed_key[FL_KEY_MAX])
{
	char *text = fl_json_print_and_delete(txn->root);
	cJSON *object;
	enum fl_kv_result result;

	txn->root = NULL;
	result = send_request(store, &store->client,
	                      &(struct request){.method = "POST",
	                                        .path = "/multi",
	                                        .body = text,
	                                        .timeout_s = tunables.timeout_s,
	                                        .txn = txn},
	                      &object);
	free(text);
	if (result == FL_KV_OK && fl_json_get_uint(object, "LedgerRev", revision) != FL_JSON_OK)
		result = FL_KV_OUTCOME_UNKNOWN;
	result = require_revision(result, FL_KV_COMPARE_FAILED, object);
	if (result == FL_KV_COMPARE_FAILED && failed_key) {
		const cJSON *first = cJSON_GetArrayItem(fl_json_get(object, "failed"), 0);

		failed_key[0] = 0;
		if (cJSON_IsString(first) && strlen(first->valuestring) < FL_KEY_MAX)
			fl_copy_string(failed_key, FL_KEY_MAX, first->valuestring);
	}
	cJSON_Delete(object);
	return result;
}

enum fl_kv_result fl_kv_lease_grant(struct fl_kv_store *store, double ttl_s, uint64_t *lease_id)
{
	char body[48];
	cJSON *object;
	enum fl_kv_result result;

	snprintf(body, sizeof(body), "{\"TtlMs\":%d}", (int)(ttl_s * 1000));
	result = send_request(store, &store->client,
	                      &(struct request){.method = "POST",
	                                        .path = "/holds",
	                                        .body = body,
	                                        .timeout_s = tunables.timeout_s},
	                      &object);
	if (result == FL_KV_OK && fl_json_get_uint(object, "Grant", lease_id) != FL_JSON_OK)
		result = FL_KV_OUTCOME_UNKNOWN;
	cJSON_Delete(object);
	return result;
}

enum fl_kv_result fl_kv_lease_keep_alive(struct fl_kv_store *store, uint64_t lease_id,
                                         double timeout_s)
{
	char path[64];
	cJSON *object;
	enum fl_kv_result result;

	snprintf(path, sizeof(path), "/holds/%llu/extend", (unsigned long long)lease_id);
	result = send_request(
		store, &store->client,
		&(struct request){
			.method = "POST", .path = path, .body = "{}", .timeout_s = timeout_s},
		&object);
	cJSON_Delete(object);
	return result;
}

enum fl_kv_result fl_kv_lease_revoke(struct fl_kv_store *store, uint64_t lease_id)
{
	char path[64];
	cJSON *object;
	enum fl_kv_result result;

	snprintf(path, sizeof(path), "/holds/%llu", (unsigned long long)lease_id);
	result = send_request(store, &store->client,
	                      &(struct request){.method = "DELETE",
	                                        .path = path,
	                                        .timeout_s = tunables.timeout_s},
	                      &object);
	cJSON_Delete(object);
	return result;
}
