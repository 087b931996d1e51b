#include "protocol/kv_store.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/text.h"

static const struct {
	double timeout_s, slack_s;
	int page;
} tunables = {
	.timeout_s = 1.0, /* s; answers take 10 ms, at times a few hundred */
	.slack_s = 2.0,   /* s; what a watch may take beyond its hold */
	.page = 1000,     /* items; the service's own most */
};

int fl_kv_init(struct fl_kv_store *store, const char *addr)
{
	int rc;

	memset(store, 0, sizeof(*store));
	store->last_success_at = store->last_failure_at = -1e9;
	rc = fl_http_client_init(&store->client, addr, 6);
	return rc ? rc : fl_http_client_init(&store->watch_client, addr, 2);
}

bool fl_kv_is_unavailable(const struct fl_kv_store *store)
{
	return store->last_failure_at > store->last_success_at;
}

static enum fl_kv_result result_of_status(int status)
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
	case FL_KV_CANCELLED:
		return "cancelled";
	case FL_KV_OUTCOME_UNKNOWN:
		return "outcome unknown";
	}
	return "unknown result";
}

static enum fl_kv_result call(struct fl_kv_store *store, struct fl_http_client *client,
                              const char *method, const char *path, const char *body,
                              double timeout_s, cJSON **out)
{
	double sent = fl_now();
	struct fl_http_reply reply;
	int rc = fl_http_call(client, method, path, body, timeout_s, &reply);
	enum fl_kv_result result;

	*out = NULL;
	if (rc == -ECANCELED)
		return FL_KV_CANCELLED;
	if (rc) {
		store->last_failure_at = fl_now();
		return FL_KV_OUTCOME_UNKNOWN;
	}
	if (reply.status == 503)
		store->last_failure_at = fl_now();
	else if (reply.status != 429 && sent > store->last_success_at)
		store->last_success_at = sent;
	result = result_of_status(reply.status);
	*out = fl_json_parse(reply.body.data, reply.body.length);
	fl_buffer_free(&reply.body);
	if (result == FL_KV_OK && !cJSON_IsObject(*out))
		result = FL_KV_OUTCOME_UNKNOWN;
	return result;
}

enum fl_kv_result fl_kv_get(struct fl_kv_store *store, const char *key, cJSON **value,
                            uint64_t *revision, uint64_t *lease_id)
{
	char path[FL_KEY_MAX + 16];
	uint64_t none;
	cJSON *object;
	enum fl_kv_result result;

	*value = NULL;
	snprintf(path, sizeof(path), "/keys/%s", key);
	result = call(store, &store->client, "GET", path, NULL, tunables.timeout_s, &object);
	if (result == FL_KV_OK && fl_json_get_count(object, "KeyRev", revision) != FL_JSON_OK)
		result = FL_KV_OUTCOME_UNKNOWN;
	if (result == FL_KV_OK) {
		if (!lease_id)
			lease_id = &none;
		if (fl_json_get_count(object, "Grant", lease_id) != FL_JSON_OK)
			*lease_id = 0;
		*value = cJSON_DetachItemFromObjectCaseSensitive(object, "V");
	}
	cJSON_Delete(object);
	return result;
}

static enum fl_kv_result each_item(const cJSON *items, fl_kv_event_fn on_event, void *context,
                                   char last[FL_KEY_MAX])
{
	const cJSON *item;

	cJSON_ArrayForEach (item, items) {
		struct fl_kv_event event = {0};
		char key[FL_KEY_MAX];

		if (fl_json_get_string(item, "Key", key, sizeof(key)) != FL_JSON_OK ||
		    fl_json_get_count(item, "KeyRev", &event.mod_revision) != FL_JSON_OK)
			return FL_KV_OUTCOME_UNKNOWN;
		event.key = key;
		event.value = fl_json_get(item, "V");
		on_event(context, &event);
		fl_copy_string(last, FL_KEY_MAX, key);
	}
	return FL_KV_OK;
}

enum fl_kv_result fl_kv_list(struct fl_kv_store *store, const char *prefix, fl_kv_event_fn on_event,
                             void *context, uint64_t *revision)
{
	char path[2 * FL_KEY_MAX + 64], last[FL_KEY_MAX] = "";
	bool more = true, first = true;

	while (more) {
		const cJSON *items;
		uint64_t at;
		cJSON *object;
		enum fl_kv_result result;

		snprintf(path, sizeof(path), "/keys?Prefix=%s%s%s&Page=%d", prefix,
		         last[0] ? "&From=" : "", last, tunables.page);
		result = call(store, &store->client, "GET", path, NULL, 2 * tunables.timeout_s,
		              &object);
		if (result == FL_KV_OK) {
			items = fl_json_get(object, "Items");
			more = false;
			/* A list cut short would pass for a whole one. */
			if (!cJSON_IsArray(items) ||
			    fl_json_get_bool(object, "More", &more) != FL_JSON_OK ||
			    fl_json_get_count(object, "LedgerRev", &at) != FL_JSON_OK)
				result = FL_KV_OUTCOME_UNKNOWN;
			else
				result = each_item(items, on_event, context, last);
			if (result == FL_KV_OK && cJSON_GetArraySize(items) == 0)
				more = false;
			if (result == FL_KV_OK && first)
				*revision = at;
			first = false;
		}
		cJSON_Delete(object);
		if (result != FL_KV_OK)
			return result;
	}
	return FL_KV_OK;
}

static enum fl_kv_result each_event(const cJSON *log, fl_kv_event_fn on_event, void *context)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, log) {
		struct fl_kv_event event = {0};
		char key[FL_KEY_MAX];

		if (fl_json_get_count(item, "KeyRev", &event.mod_revision) != FL_JSON_OK)
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

enum fl_kv_result fl_kv_watch(struct fl_kv_store *store, const char *prefix, uint64_t *revision,
                              double timeout_s, fl_kv_event_fn on_event, void *context)
{
	char path[FL_KEY_MAX + 128];
	const cJSON *log;
	uint64_t at;
	cJSON *object;
	enum fl_kv_result result;

	snprintf(path, sizeof(path), "/follow?Prefix=%s&From=%llu&HoldMs=%d", prefix,
	         (unsigned long long)*revision, (int)(timeout_s * 1000));
	result = call(store, &store->watch_client, "GET", path, NULL, timeout_s + tunables.slack_s,
	              &object);
	if (result == FL_KV_OK) {
		log = fl_json_get(object, "Log");
		if (fl_json_get_count(object, "LedgerRev", &at) != FL_JSON_OK ||
		    (log && !cJSON_IsArray(log)))
			result = FL_KV_OUTCOME_UNKNOWN;
		else
			result = each_event(log, on_event, context);
		if (result == FL_KV_OK && at > *revision)
			*revision = at;
	}
	cJSON_Delete(object);
	return result;
}

void fl_kv_txn_init(struct fl_kv_txn *txn)
{
	txn->root = cJSON_CreateObject();
	txn->conditions = cJSON_AddArrayToObject(txn->root, "When");
	txn->operations = cJSON_AddArrayToObject(txn->root, "Apply");
	txn->operation_count = 0;
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

void fl_kv_txn_put(struct fl_kv_txn *txn, const char *key, cJSON *value, uint64_t lease_id)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, "Put", key);
	cJSON_AddItemToObject(item, "V", value);
	if (lease_id)
		cJSON_AddNumberToObject(item, "Grant", (double)lease_id);
	cJSON_AddItemToArray(txn->operations, item);
	txn->operation_count++;
}

void fl_kv_txn_delete(struct fl_kv_txn *txn, const char *key)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, "Delete", key);
	cJSON_AddItemToArray(txn->operations, item);
	txn->operation_count++;
}

enum fl_kv_result fl_kv_txn_commit(struct fl_kv_store *store, struct fl_kv_txn *txn,
                                   uint64_t *revision, char failed[FL_KEY_MAX])
{
	char *text = fl_json_print_and_delete(txn->root);
	cJSON *object;
	enum fl_kv_result result;

	txn->root = NULL;
	result = call(store, &store->client, "POST", "/multi", text, tunables.timeout_s, &object);
	free(text);
	if (result == FL_KV_OK && fl_json_get_count(object, "LedgerRev", revision) != FL_JSON_OK)
		result = FL_KV_OUTCOME_UNKNOWN;
	if (result == FL_KV_COMPARE_FAILED && failed) {
		const cJSON *first = cJSON_GetArrayItem(fl_json_get(object, "failed"), 0);

		failed[0] = 0;
		if (cJSON_IsString(first) && strlen(first->valuestring) < FL_KEY_MAX)
			fl_copy_string(failed, FL_KEY_MAX, first->valuestring);
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
	result = call(store, &store->client, "POST", "/holds", body, tunables.timeout_s, &object);
	if (result == FL_KV_OK && fl_json_get_count(object, "Grant", lease_id) != FL_JSON_OK)
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
	result = call(store, &store->client, "POST", path, "{}", timeout_s, &object);
	cJSON_Delete(object);
	return result;
}

enum fl_kv_result fl_kv_lease_revoke(struct fl_kv_store *store, uint64_t lease_id)
{
	char path[64];
	cJSON *object;
	enum fl_kv_result result;

	snprintf(path, sizeof(path), "/holds/%llu", (unsigned long long)lease_id);
	result = call(store, &store->client, "DELETE", path, NULL, tunables.timeout_s, &object);
	cJSON_Delete(object);
	return result;
}
