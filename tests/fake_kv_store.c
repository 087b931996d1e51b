/* The stand-in of the state service: keys, revisions, holds, lists and a watch. */
#include "fake_services_internal.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/coroutine.h"

struct change {
	char name[200];
	char *value;
	uint64_t mod_revision;
};

struct hold {
	uint64_t lease_id;
	double ttl, until;
};

static struct {
	struct key *keys;
	struct change *log;
	int n_log, cap_log;
	struct hold holds[64];
	int n_holds;
	uint64_t rev, grants;
	struct fl_condition changed;
	unsigned requests;
} store;

static uint64_t epoch_of_value(const char *value)
{
	cJSON *v = fl_json_parse(value, strlen(value));
	uint64_t fencing_token = 0;

	fl_json_get_count(v, "epoch", &fencing_token);
	cJSON_Delete(v);
	return fencing_token;
}

static void append_change(const char *name, const char *value)
{
	if (store.n_log == store.cap_log) {
		store.cap_log = store.cap_log ? 2 * store.cap_log : 256;
		store.log = realloc(store.log, (size_t)store.cap_log * sizeof(*store.log));
	}
	snprintf(store.log[store.n_log].name, sizeof(store.log[0].name), "%s", name);
	store.log[store.n_log].value = value ? strdup(value) : NULL;
	store.log[store.n_log++].mod_revision = store.rev;
	fl_condition_broadcast(&store.changed);
}

struct key *find_key(const char *name)
{
	struct key *key;

	HASH_FIND_STR(store.keys, name, key);
	return key;
}

static void delete_key(struct key *key)
{
	append_change(key->name, NULL);
	HASH_DEL(store.keys, key);
	free(key->value);
	free(key);
}

static void check_epoch(const struct key *old, const char *name, const char *value)
{
	if (strcmp(name, "c/epoch") == 0 && old)
		fake_services.tokens_reused += epoch_of_value(old->value) >= epoch_of_value(value);
}

static void put_key(const char *name, char *value, uint64_t lease_id)
{
	struct key *key = find_key(name);

	check_epoch(key, name, value);

	if (!key) {
		key = calloc(1, sizeof(*key));
		snprintf(key->name, sizeof(key->name), "%s", name);
		HASH_ADD_STR(store.keys, name, key);
	}
	free(key->value);
	key->value = value;
	key->mod_revision = store.rev;
	key->lease_id = lease_id;
	append_change(name, value);
}

static void end_hold(int at)
{
	uint64_t lease_id = store.holds[at].lease_id;
	struct key *key, *tmp;

	store.holds[at] = store.holds[--store.n_holds];
	store.rev++;
	HASH_ITER (hh, store.keys, key, tmp)
		if (key->lease_id == lease_id)
			delete_key(key);
}

static int find_hold(uint64_t lease_id)
{
	for (int i = 0; i < store.n_holds; i++)
		if (store.holds[i].lease_id == lease_id)
			return i;
	return -1;
}

void hold_routine(void *arg)
{
	(void)arg;
	while (fl_sleep(0.02) == 0)
		for (int i = store.n_holds - 1; i >= 0; i--)
			if (fl_now() > store.holds[i].until)
				end_hold(i);
}

static cJSON *item(const char *name_field, const char *name, const char *value, uint64_t revision)
{
	cJSON *element = cJSON_CreateObject();

	cJSON_AddStringToObject(element, name_field, name);
	if (value)
		cJSON_AddItemToObject(element, "V", fl_json_parse(value, strlen(value)));
	cJSON_AddNumberToObject(element, "KeyRev", (double)revision);
	return element;
}

static void multi(const char *body, size_t len, struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(body, len), *out = cJSON_CreateObject();
	const cJSON *element, *failed = NULL;
	char name[200];
	uint64_t revision, lease_id;

	cJSON_ArrayForEach (element, fl_json_get(object, "When")) {
		struct key *key;

		fl_json_get_string(element, "Key", name, sizeof(name));
		fl_json_get_count(element, "KeyRev", &revision);
		key = find_key(name);
		if ((key ? key->mod_revision : 0) != revision && !failed)
			failed = element;
	}
	cJSON_ArrayForEach (element, fl_json_get(object, "Apply"))
		if (fl_json_get_count(element, "Grant", &lease_id) == FL_JSON_OK &&
		    find_hold(lease_id) < 0) {
			respond(response, 400, out);
			cJSON_Delete(object);
			return;
		}
	if (failed) {
		cJSON *list = cJSON_AddArrayToObject(out, "failed");

		fl_json_get_string(failed, "Key", name, sizeof(name));
		cJSON_AddItemToArray(list, cJSON_CreateString(name));
		respond(response, 409, out);
		cJSON_Delete(object);
		return;
	}
	store.rev++;
	cJSON_ArrayForEach (element, fl_json_get(object, "Apply")) {
		if (fl_json_get_string(element, "Put", name, sizeof(name)) == FL_JSON_OK) {
			if (fl_json_get_count(element, "Grant", &lease_id) != FL_JSON_OK)
				lease_id = 0;
			put_key(name, cJSON_PrintUnformatted(fl_json_get(element, "V")), lease_id);
		} else if (fl_json_get_string(element, "Delete", name, sizeof(name)) ==
		           FL_JSON_OK) {
			struct key *key = find_key(name);

			if (key)
				delete_key(key);
		}
	}
	cJSON_AddNumberToObject(out, "LedgerRev", (double)store.rev);
	respond(response, 200, out);
	cJSON_Delete(object);
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(struct key *const *)a)->name, (*(struct key *const *)b)->name);
}

static const char *param(const char *query, const char *name, char *out, size_t cap)
{
	const char *at = query ? strstr(query, name) : NULL;
	size_t n;

	out[0] = 0;
	if (!at)
		return out;
	at += strlen(name);
	n = strcspn(at, "&");
	if (n >= cap)
		n = cap - 1;
	memcpy(out, at, n);
	out[n] = 0;
	return out;
}

static void list_keys(const char *query, struct fl_http_response *response)
{
	struct key *key, *tmp, **all = calloc(HASH_COUNT(store.keys) + 1, sizeof(*all));
	cJSON *object = cJSON_CreateObject(), *items = cJSON_AddArrayToObject(object, "Items");
	char prefix[200], from[200], page[16];
	int n = 0, given = 0, limit = atoi(param(query, "Page=", page, sizeof(page)));
	bool more = false;

	param(query, "Prefix=", prefix, sizeof(prefix));
	param(query, "From=", from, sizeof(from));
	HASH_ITER (hh, store.keys, key, tmp)
		if (strncmp(key->name, prefix, strlen(prefix)) == 0 && strcmp(key->name, from) > 0)
			all[n++] = key;
	qsort(all, (size_t)n, sizeof(*all), by_name);
	/* Small pages, so that lists have more than one. */
	limit = limit > 5 ? 5 : limit;
	for (int i = 0; i < n; i++) {
		if (given == limit) {
			more = true;
			break;
		}
		cJSON_AddItemToArray(
			items, item("Key", all[i]->name, all[i]->value, all[i]->mod_revision));
		given++;
	}
	cJSON_AddBoolToObject(object, "More", more);
	cJSON_AddNumberToObject(object, "LedgerRev", (double)store.rev);
	respond(response, 200, object);
	free(all);
}

static void follow(const char *query, struct fl_http_response *response)
{
	char prefix[200], word[32];
	uint64_t from;
	double until;
	bool any = false;
	cJSON *object, *log;

	param(query, "Prefix=", prefix, sizeof(prefix));
	from = strtoull(param(query, "From=", word, sizeof(word)), NULL, 10);
	until = fl_now() + atof(param(query, "HoldMs=", word, sizeof(word))) / 1000;
	for (;;) {
		for (int i = 0; i < store.n_log && !any; i++)
			any = store.log[i].mod_revision > from &&
			      strncmp(store.log[i].name, prefix, strlen(prefix)) == 0;
		if (any || fl_now() >= until)
			break;
		if (fl_condition_wait(&store.changed, until - fl_now()) == -ECANCELED)
			return;
	}
	object = cJSON_CreateObject();
	log = cJSON_CreateArray();
	for (int i = 0; i < store.n_log; i++) {
		const struct change *change = &store.log[i];

		if (change->mod_revision > from &&
		    strncmp(change->name, prefix, strlen(prefix)) == 0)
			cJSON_AddItemToArray(log,
			                     item(change->value ? "Put" : "Delete", change->name,
			                          change->value, change->mod_revision));
	}
	cJSON_AddNumberToObject(object, "LedgerRev", (double)store.rev);
	cJSON_AddItemToObject(object, "Log", log);
	respond(response, 200, object);
}

static void holds(const struct fl_http_request *request, struct fl_http_response *response)
{
	uint64_t lease_id =
		strtoull(request->path + strlen("/holds") + (request->path[6] == '/'), NULL, 10);
	int at = find_hold(lease_id);
	cJSON *object, *in;
	double ttl;

	if (strcmp(request->path, "/holds") == 0) {
		in = fl_json_parse(request->body, request->body_len);
		fl_json_get_amount(in, "TtlMs", &ttl);
		cJSON_Delete(in);
		assert(store.n_holds < 64);
		store.holds[store.n_holds++] =
			(struct hold){++store.grants, ttl / 1000, fl_now() + ttl / 1000};
		object = cJSON_CreateObject();
		cJSON_AddNumberToObject(object, "Grant", (double)store.grants);
		respond(response, 200, object);
	} else if (at < 0) {
		respond(response, 404, NULL);
	} else if (request->method == HTTP_DELETE) {
		end_hold(at);
		respond(response, 200, NULL);
	} else {
		store.holds[at].until = fl_now() + store.holds[at].ttl;
		respond(response, 200, NULL);
	}
}

void on_state(void *context, const struct fl_http_request *request,
              struct fl_http_response *response)
{
	const char *query = request->query;
	unsigned at = ++store.requests;
	struct key *key;
	cJSON *object;

	(void)context;
	if (strcmp(request->path, "/follow") == 0) {
		follow(query, response);
		return;
	}
	if (fake_services.cut_after > 0 && --fake_services.cut_after == 0) {
		fake_services.cut();
		if (fl_sleep(0.2) != 0)
			return;
	}
	if (every_nth(fake_services.kv_refuses_every, at)) {
		respond(response, 503, NULL);
		return;
	}
	if (every_nth(fake_services.kv_slow_every, at) && fl_sleep(0.3) != 0)
		return;
	if (strcmp(request->path, "/multi") == 0) {
		multi(request->body, request->body_len, response);
	} else if (strncmp(request->path, "/holds", 6) == 0) {
		holds(request, response);
	} else if (strcmp(request->path, "/keys") == 0) {
		list_keys(query, response);
	} else {
		key = find_key(request->path + strlen("/keys/"));
		object = cJSON_CreateObject();
		cJSON_AddNumberToObject(object, "LedgerRev", (double)store.rev);
		if (key) {
			cJSON_Delete(object);
			object = item("Key", key->name, key->value, key->mod_revision);
			if (key->lease_id)
				cJSON_AddNumberToObject(object, "Grant", (double)key->lease_id);
		}
		respond(response, key ? 200 : 404, object);
	}
	/* Carried out, but the answer comes after the client's timeout. */
	if (every_nth(fake_services.kv_loses_every, at))
		fl_sleep(2.5);
}

const char *fake_services_leader(void)
{
	static char node[64];
	struct key *key = find_key("c/lead");
	cJSON *value = key ? fl_json_parse(key->value, strlen(key->value)) : NULL;

	node[0] = 0;
	fl_json_get_string(value, "node", node, sizeof(node));
	cJSON_Delete(value);
	return node;
}
