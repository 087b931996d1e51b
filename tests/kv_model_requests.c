/* The requests to the model of the key-value store, in the protocol's JSON. */
#include "kv_model.h"

#include <stdlib.h>
#include <string.h>

#include "json_response.h"
#include "transport/clock.h"

const char *kv_model_query_param(const char *query, const char *name, char *out, size_t size)
{
	const char *value = query ? strstr(query, name) : NULL;
	size_t length;

	out[0] = 0;
	if (!value)
		return out;
	value += strlen(name);
	length = strcspn(value, "&");
	if (length >= size)
		length = size - 1;
	memcpy(out, value, length);
	out[length] = 0;
	return out;
}

static void add_revision(const struct kv_model *model, cJSON *object)
{
	cJSON_AddNumberToObject(object, "LedgerRev", (double)model->revision);
}

/* ---- reading ---- */

static cJSON *encode_key(const char *key_field, const char *key, const char *value,
                         uint64_t mod_revision)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, key_field, key);
	if (value)
		cJSON_AddItemToObject(item, "V", cJSON_CreateRaw(value));
	cJSON_AddNumberToObject(item, "KeyRev", (double)mod_revision);
	return item;
}

void kv_model_serve_get(const struct kv_model *model, const char *key,
                        struct fl_http_response *response)
{
	const struct kv_entry *entry = kv_model_find(model, key);
	cJSON *object;

	if (!entry) {
		object = cJSON_CreateObject();
		add_revision(model, object);
		set_json_response(response, 404, object);
		return;
	}
	object = encode_key("Key", entry->key, entry->value, entry->mod_revision);
	if (entry->lease_id)
		cJSON_AddNumberToObject(object, "Grant", (double)entry->lease_id);
	set_json_response(response, 200, object);
}

static int compare_keys(const void *left, const void *right)
{
	return strcmp((*(const struct kv_entry *const *)left)->key,
	              (*(const struct kv_entry *const *)right)->key);
}

/* Returns the entries with the prefix after the key `after`, sorted; the caller frees the array. */
static const struct kv_entry **sorted_entries(const struct kv_model *model, const char *prefix,
                                              const char *after, int *count)
{
	const struct kv_entry **sorted = calloc(HASH_COUNT(model->entries) + 1, sizeof(*sorted));
	const struct kv_entry *entry;

	if (!sorted)
		abort();
	*count = 0;
	for (entry = model->entries; entry; entry = entry->hh.next)
		if (strncmp(entry->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(entry->key, after) > 0)
			sorted[(*count)++] = entry;
	qsort(sorted, (size_t)*count, sizeof(*sorted), compare_keys);
	return sorted;
}

void kv_model_serve_list(const struct kv_model *model, const char *query, int limit,
                         struct fl_http_response *response)
{
	cJSON *object = cJSON_CreateObject(), *items = cJSON_AddArrayToObject(object, "Items");
	char prefix[KV_MODEL_KEY_SIZE], after[KV_MODEL_KEY_SIZE];
	const struct kv_entry **sorted;
	int count;

	kv_model_query_param(query, "Prefix=", prefix, sizeof(prefix));
	kv_model_query_param(query, "From=", after, sizeof(after));
	sorted = sorted_entries(model, prefix, after, &count);
	for (int i = 0; i < count && i < limit; i++)
		cJSON_AddItemToArray(items, encode_key("Key", sorted[i]->key, sorted[i]->value,
		                                       sorted[i]->mod_revision));
	cJSON_AddBoolToObject(object, "More", count > limit);
	add_revision(model, object);
	set_json_response(response, 200, object);
	free(sorted);
}

void kv_model_serve_events(const struct kv_model *model, const char *prefix, int first,
                           struct fl_http_response *response)
{
	cJSON *object = cJSON_CreateObject(), *log;

	add_revision(model, object);
	log = cJSON_AddArrayToObject(object, "Log");
	for (int i = first; i >= 0 && i < model->event_count; i++) {
		const struct kv_event *event = &model->events[i];

		if (strncmp(event->key, prefix, strlen(prefix)) == 0)
			cJSON_AddItemToArray(log,
			                     encode_key(event->value ? "Put" : "Delete", event->key,
			                                event->value, event->mod_revision));
	}
	set_json_response(response, 200, object);
}

/* ---- leases ---- */

static void serve_lease_grant(struct kv_model *model, const struct fl_http_request *request,
                              struct fl_http_response *response)
{
	cJSON *body = fl_json_parse(request->body, request->body_len);
	cJSON *object = cJSON_CreateObject();
	double ttl_ms = 0;

	fl_json_get_amount(body, "TtlMs", &ttl_ms);
	cJSON_Delete(body);
	cJSON_AddNumberToObject(object, "Grant",
	                        (double)kv_model_lease_grant(model, ttl_ms / 1000));
	set_json_response(response, 200, object);
}

void kv_model_serve_lease(struct kv_model *model, const struct fl_http_request *request,
                          struct fl_http_response *response)
{
	static const char path[] = "/holds";
	int index;

	if (strcmp(request->path, path) == 0) {
		serve_lease_grant(model, request, response);
		return;
	}
	index = kv_model_lease_index(model, strtoull(request->path + sizeof(path), NULL, 10));
	if (index < 0) {
		set_json_response(response, 404, NULL);
		return;
	}
	if (request->method == HTTP_DELETE)
		kv_model_lease_revoke(model, index);
	else
		model->leases[index].expires_at = fl_now() + model->leases[index].ttl_s;
	set_json_response(response, 200, NULL);
}

/* ---- transactions ---- */

static size_t value_bytes(const cJSON *operation)
{
	char *value = cJSON_PrintUnformatted(fl_json_get(operation, "V"));
	size_t bytes = value ? strlen(value) : 0;

	free(value);
	return bytes;
}

bool kv_model_is_too_large(const cJSON *transaction, const struct kv_model_limits *limits)
{
	const cJSON *operations = fl_json_get(transaction, "Apply"), *operation;

	if (cJSON_GetArraySize(operations) > limits->txn_ops ||
	    cJSON_GetArraySize(fl_json_get(transaction, "When")) > 4 * limits->txn_ops)
		return true;
	cJSON_ArrayForEach (operation, operations)
		if ((double)value_bytes(operation) > limits->value_kb * 1024)
			return true;
	return false;
}

static bool operations_use_unknown_lease(const struct kv_model *model, const cJSON *operations)
{
	const cJSON *operation;
	uint64_t lease_id;

	cJSON_ArrayForEach (operation, operations)
		if (fl_json_get_uint(operation, "Grant", &lease_id) == FL_JSON_OK &&
		    kv_model_lease_index(model, lease_id) < 0)
			return true;
	return false;
}

/* Returns the keys whose revisions differ from those that the transaction expects. */
static cJSON *failed_conditions(const struct kv_model *model, const cJSON *conditions)
{
	cJSON *failed = cJSON_CreateArray();
	const cJSON *condition;

	cJSON_ArrayForEach (condition, conditions) {
		char key[KV_MODEL_KEY_SIZE] = "";
		uint64_t expected = 0;
		const struct kv_entry *entry;

		fl_json_get_string(condition, "Key", key, sizeof(key));
		fl_json_get_uint(condition, "KeyRev", &expected);
		entry = kv_model_find(model, key);
		if ((entry ? entry->mod_revision : 0) != expected)
			cJSON_AddItemToArray(failed, cJSON_CreateString(key));
	}
	return failed;
}

static void apply_operation(struct kv_model *model, const cJSON *operation)
{
	char key[KV_MODEL_KEY_SIZE];
	uint64_t lease_id;
	struct kv_entry *entry;

	if (fl_json_get_string(operation, "Put", key, sizeof(key)) == FL_JSON_OK) {
		if (fl_json_get_uint(operation, "Grant", &lease_id) != FL_JSON_OK)
			lease_id = 0;
		kv_model_put(model, key, cJSON_PrintUnformatted(fl_json_get(operation, "V")),
		             lease_id);
	} else if (fl_json_get_string(operation, "Delete", key, sizeof(key)) == FL_JSON_OK) {
		entry = kv_model_find(model, key);
		if (entry)
			kv_model_delete(model, entry);
	}
}

void kv_model_serve_transaction(struct kv_model *model, const cJSON *transaction,
                                struct fl_http_response *response)
{
	const cJSON *operations = fl_json_get(transaction, "Apply"), *operation;
	cJSON *object = cJSON_CreateObject(), *failed;

	if (operations_use_unknown_lease(model, operations)) {
		cJSON_AddStringToObject(object, "error", "no such lease");
		set_json_response(response, 400, object);
		return;
	}
	failed = failed_conditions(model, fl_json_get(transaction, "When"));
	if (cJSON_GetArraySize(failed) > 0) {
		cJSON_AddItemToObject(object, "failed", failed);
		add_revision(model, object);
		set_json_response(response, 409, object);
		return;
	}
	cJSON_Delete(failed);
	if (cJSON_GetArraySize(operations) > 0)
		model->revision++;
	cJSON_ArrayForEach (operation, operations)
		apply_operation(model, operation);
	add_revision(model, object);
	set_json_response(response, 200, object);
}
