/* The data of the key-value store's model: entries, events and leases. */
#include "kv_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"

/* Aborts unless the condition holds, also in builds without assert(). */
static void require(bool holds)
{
	if (!holds)
		abort();
}

/* ---- entries and events ---- */

struct kv_entry *kv_model_find(const struct kv_model *model, const char *key)
{
	struct kv_entry *entry;

	HASH_FIND_STR(model->entries, key, entry);
	return entry;
}

static void append_event(struct kv_model *model, const char *key, const char *value)
{
	struct kv_event *event;

	if (model->event_count == model->event_capacity) {
		model->event_capacity = model->event_capacity ? 2 * model->event_capacity : 256;
		model->events = realloc(model->events,
		                        (size_t)model->event_capacity * sizeof(*model->events));
		require(model->events != NULL);
	}
	event = &model->events[model->event_count++];
	snprintf(event->key, sizeof(event->key), "%s", key);
	event->value = value ? strdup(value) : NULL;
	event->mod_revision = model->revision;
	fl_condition_broadcast(&model->changed);
}

static struct kv_entry *add_entry(struct kv_model *model, const char *key)
{
	struct kv_entry *entry = calloc(1, sizeof(*entry));

	require(entry != NULL);
	snprintf(entry->key, sizeof(entry->key), "%s", key);
	HASH_ADD_STR(model->entries, key, entry);
	return entry;
}

void kv_model_put(struct kv_model *model, const char *key, char *value, uint64_t lease_id)
{
	struct kv_entry *entry = kv_model_find(model, key);

	if (model->before_put)
		model->before_put(entry, key, value);
	if (!entry)
		entry = add_entry(model, key);
	free(entry->value);
	entry->value = value;
	entry->mod_revision = model->revision;
	entry->lease_id = lease_id;
	append_event(model, key, value);
}

void kv_model_delete(struct kv_model *model, struct kv_entry *entry)
{
	append_event(model, entry->key, NULL);
	HASH_DEL(model->entries, entry);
	free(entry->value);
	free(entry);
}

int kv_model_first_event_index(const struct kv_model *model, const char *prefix, uint64_t revision)
{
	int first = -1;

	for (int i = model->event_count - 1; i >= 0 && model->events[i].mod_revision > revision;
	     i--)
		if (strncmp(model->events[i].key, prefix, strlen(prefix)) == 0)
			first = i;
	return first;
}

/* ---- leases ---- */

uint64_t kv_model_lease_grant(struct kv_model *model, double ttl_s)
{
	/* The protocol's limits of a lease's duration, and the model's limit of leases. */
	require(ttl_s >= 0.1 && ttl_s <= 600 && model->lease_count < KV_MODEL_LEASES_MAX);
	model->leases[model->lease_count++] =
		(struct kv_lease){++model->last_lease_id, ttl_s, fl_now() + ttl_s};
	return model->last_lease_id;
}

int kv_model_lease_index(const struct kv_model *model, uint64_t lease_id)
{
	for (int i = 0; i < model->lease_count; i++)
		if (model->leases[i].lease_id == lease_id)
			return i;
	return -1;
}

void kv_model_lease_revoke(struct kv_model *model, int index)
{
	uint64_t lease_id = model->leases[index].lease_id;
	struct kv_entry *entry, *tmp;

	model->leases[index] = model->leases[--model->lease_count];
	model->revision++;
	HASH_ITER (hh, model->entries, entry, tmp)
		if (entry->lease_id == lease_id)
			kv_model_delete(model, entry);
}

void kv_model_leases_expire(struct kv_model *model)
{
	for (int i = model->lease_count - 1; i >= 0; i--)
		if (fl_now() > model->leases[i].expires_at)
			kv_model_lease_revoke(model, i);
}

void kv_model_leases_renew(struct kv_model *model)
{
	for (int i = 0; i < model->lease_count; i++)
		model->leases[i].expires_at = fl_now() + model->leases[i].ttl_s;
}

/* ---- leader, and end of the model ---- */

void kv_model_leader_node(const struct kv_model *model, char node[KV_MODEL_KEY_SIZE])
{
	const struct kv_entry *entry = kv_model_find(model, "c/lead");
	cJSON *value = entry ? fl_json_parse(entry->value, strlen(entry->value)) : NULL;

	node[0] = 0;
	fl_json_get_string(value, "node", node, KV_MODEL_KEY_SIZE);
	cJSON_Delete(value);
}

void kv_model_free(struct kv_model *model)
{
	struct kv_entry *entry, *tmp;

	HASH_ITER (hh, model->entries, entry, tmp) {
		HASH_DEL(model->entries, entry);
		free(entry->value);
		free(entry);
	}
	for (int i = 0; i < model->event_count; i++)
		free(model->events[i].value);
	free(model->events);
	memset(model, 0, sizeof(*model));
}
