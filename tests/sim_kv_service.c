/* The state service as its callers see it: requests, watches, its limits and its troubles. */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "sim_kv_data.h"
#include "transport/clock.h"

static void say(struct fl_http_response *response, int status, cJSON *object)
{
	response->status = status;
	response->body = fl_json_print_and_delete(object ? object : cJSON_CreateObject());
}

static void holds(const struct fl_http_request *request, struct fl_http_response *response)
{
	uint64_t lease_id =
		strtoull(request->path + strlen("/holds") + (request->path[6] == '/'), NULL, 10);
	int at = sim_kv_lease_find(lease_id);
	cJSON *object, *in;
	double ttl = 0;

	if (strcmp(request->path, "/holds") == 0) {
		in = fl_json_parse(request->body, request->body_len);
		fl_json_get_amount(in, "TtlMs", &ttl);
		cJSON_Delete(in);
		sim_require(ttl >= 100 && ttl <= 600000 &&
		            sim_kv_store.lease_count < SIM_KV_LEASES);
		sim_kv_store.leases[sim_kv_store.lease_count++] = (struct sim_kv_lease){
			++sim_kv_store.lease_ids, ttl / 1000, fl_now() + ttl / 1000};
		object = cJSON_CreateObject();
		cJSON_AddNumberToObject(object, "Grant", (double)sim_kv_store.lease_ids);
		say(response, 200, object);
	} else if (at < 0) {
		say(response, 404, NULL);
	} else if (request->method == HTTP_DELETE) {
		sim_kv_lease_end(at);
		say(response, 200, NULL);
	} else {
		sim_kv_store.leases[at].until = fl_now() + sim_kv_store.leases[at].ttl;
		say(response, 200, NULL);
	}
}

/* ---- reading ---- */

static const char *param(const char *query, const char *name, char *out, size_t cap)
{
	const char *at = strstr(query, name);
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

static cJSON *item(const char *field, const char *name, const char *value, uint64_t revision)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, field, name);
	if (value)
		cJSON_AddItemToObject(item, "V", cJSON_CreateRaw(value));
	cJSON_AddNumberToObject(item, "KeyRev", (double)revision);
	return item;
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(struct sim_kv_entry *const *)a)->name,
	              (*(struct sim_kv_entry *const *)b)->name);
}

static void list(const char *query, struct fl_http_response *response)
{
	struct sim_kv_entry *entry, *tmp,
		**all = calloc(HASH_COUNT(sim_kv_store.keys) + 1, sizeof(*all));
	cJSON *object = cJSON_CreateObject(), *items = cJSON_AddArrayToObject(object, "Items");
	char prefix[SIM_KEY], from[SIM_KEY], page[16];
	/* Small pages, so that paging is really used. */
	int n = 0, limit = atoi(param(query, "Page=", page, sizeof(page))) > 7 ? 7 : 3;

	sim_require(all);
	param(query, "Prefix=", prefix, sizeof(prefix));
	param(query, "From=", from, sizeof(from));
	HASH_ITER (hh, sim_kv_store.keys, entry, tmp)
		if (strncmp(entry->name, prefix, strlen(prefix)) == 0 &&
		    strcmp(entry->name, from) > 0)
			all[n++] = entry;
	qsort(all, (size_t)n, sizeof(*all), by_name);
	for (int i = 0; i < n && i < limit; i++)
		cJSON_AddItemToArray(
			items, item("Key", all[i]->name, all[i]->value, all[i]->mod_revision));
	cJSON_AddBoolToObject(object, "More", n > limit);
	cJSON_AddNumberToObject(object, "LedgerRev", (double)sim_kv_store.revision);
	say(response, 200, object);
	free(all);
}

static void get(const char *name, struct fl_http_response *response)
{
	struct sim_kv_entry *entry = sim_kv_find(name);
	cJSON *object;

	if (!entry) {
		object = cJSON_CreateObject();
		cJSON_AddNumberToObject(object, "LedgerRev", (double)sim_kv_store.revision);
		say(response, 404, object);
		return;
	}
	object = item("Key", entry->name, entry->value, entry->mod_revision);
	if (entry->lease_id)
		cJSON_AddNumberToObject(object, "Grant", (double)entry->lease_id);
	say(response, 200, object);
}

static bool refuses(struct sim_endpoint from)
{
	return sim_fault_active(FAULT_KV_UNAVAILABLE, -1) ||
	       sim_fault_active(FAULT_KV_REFUSES_NODE, from.index);
}

/* The first change after `from` that matters; -1: none. */
static int first_change(const char *prefix, uint64_t from)
{
	int first = -1;

	for (int i = sim_kv_store.event_count - 1;
	     i >= 0 && sim_kv_store.events[i].mod_revision > from; i--)
		if (strncmp(sim_kv_store.events[i].name, prefix, strlen(prefix)) == 0)
			first = i;
	return first;
}

/* Open watches stay open in an outage, and while one node is refused. */
static void follow(struct sim_endpoint who, const char *query, struct fl_http_response *response)
{
	char prefix[SIM_KEY], word[32];
	uint64_t from = strtoull(param(query, "From=", word, sizeof(word)), NULL, 10);
	double until = fl_now() + atof(param(query, "HoldMs=", word, sizeof(word))) / 1000;
	int first = -1;
	cJSON *object, *log;

	param(query, "Prefix=", prefix, sizeof(prefix));
	for (;;) {
		bool shut = refuses(who);
		double wait = shut ? 0.2 : until - fl_now();

		if (!shut) {
			first = first_change(prefix, from);
			if (first >= 0 || fl_now() >= until)
				break;
		}
		if (fl_condition_wait(&sim_kv_store.changed, wait) == -ECANCELED)
			return;
	}
	object = cJSON_CreateObject();
	cJSON_AddNumberToObject(object, "LedgerRev", (double)sim_kv_store.revision);
	log = cJSON_AddArrayToObject(object, "Log");
	for (int i = first; i >= 0 && i < sim_kv_store.event_count; i++) {
		const struct sim_kv_event *c = &sim_kv_store.events[i];

		if (strncmp(c->name, prefix, strlen(prefix)) == 0)
			cJSON_AddItemToArray(log, item(c->value ? "Put" : "Delete", c->name,
			                               c->value, c->mod_revision));
	}
	say(response, 200, object);
}

/* ---- transactions ---- */

static bool no_such_lease(const cJSON *apply)
{
	const cJSON *item;
	uint64_t lease_id;

	cJSON_ArrayForEach (item, apply)
		if (fl_json_get_count(item, "Grant", &lease_id) == FL_JSON_OK &&
		    sim_kv_lease_find(lease_id) < 0)
			return true;
	return false;
}

/* What the real service would refuse. */
static void check_limits(const cJSON *object)
{
	const struct fl_config *config = &sim.config[0];
	const cJSON *ops = fl_json_get(object, "Apply"), *item;

	if (cJSON_GetArraySize(ops) > config->txn_ops ||
	    cJSON_GetArraySize(fl_json_get(object, "When")) > 4 * config->txn_ops)
		sim_violation("transaction", "%d changes, %d conditions", cJSON_GetArraySize(ops),
		              cJSON_GetArraySize(fl_json_get(object, "When")));
	cJSON_ArrayForEach (item, ops) {
		char *value = cJSON_PrintUnformatted(fl_json_get(item, "V"));

		if (value && (double)strlen(value) > config->value_kb * 1024)
			sim_violation("value", "a value of %zu bytes", strlen(value));
		free(value);
	}
}

static void apply(const cJSON *ops)
{
	const cJSON *item;
	char name[SIM_KEY];
	uint64_t lease_id;

	if (cJSON_GetArraySize(ops) > 0)
		sim_kv_store.revision++;
	cJSON_ArrayForEach (item, ops) {
		if (fl_json_get_string(item, "Put", name, sizeof(name)) == FL_JSON_OK) {
			if (fl_json_get_count(item, "Grant", &lease_id) != FL_JSON_OK)
				lease_id = 0;
			sim_kv_put(name, cJSON_PrintUnformatted(fl_json_get(item, "V")), lease_id);
		} else if (fl_json_get_string(item, "Delete", name, sizeof(name)) == FL_JSON_OK) {
			struct sim_kv_entry *entry = sim_kv_find(name);

			if (entry)
				sim_kv_remove(entry);
		}
	}
}

static void multi(const cJSON *object, struct fl_http_response *response)
{
	cJSON *out = cJSON_CreateObject(), *failed = cJSON_CreateArray();
	const cJSON *item;

	check_limits(object);
	cJSON_ArrayForEach (item, fl_json_get(object, "When")) {
		char name[SIM_KEY] = "";
		uint64_t revision = 0;
		struct sim_kv_entry *entry;

		fl_json_get_string(item, "Key", name, sizeof(name));
		fl_json_get_count(item, "KeyRev", &revision);
		entry = sim_kv_find(name);
		if ((entry ? entry->mod_revision : 0) != revision)
			cJSON_AddItemToArray(failed, cJSON_CreateString(name));
	}
	if (no_such_lease(fl_json_get(object, "Apply"))) {
		cJSON_Delete(failed);
		cJSON_AddStringToObject(out, "error", "no such lease");
		say(response, 400, out);
		return;
	}
	if (cJSON_GetArraySize(failed) > 0) {
		cJSON_AddItemToObject(out, "failed", failed);
		cJSON_AddNumberToObject(out, "LedgerRev", (double)sim_kv_store.revision);
		say(response, 409, out);
		return;
	}
	cJSON_Delete(failed);
	apply(fl_json_get(object, "Apply"));
	cJSON_AddNumberToObject(out, "LedgerRev", (double)sim_kv_store.revision);
	say(response, 200, out);
}

/* ---- limits and troubles ---- */

static bool over_limit(const cJSON *object)
{
	double writes = cJSON_GetArraySize(fl_json_get(object, "Apply")),
	       since = fl_now() - sim_kv_store.counted;

	sim_kv_store.counted = fl_now();
	sim_kv_store.calls =
		sim_kv_store.calls + since * SIM_KV_REQUESTS_PER_S > SIM_KV_REQUESTS_PER_S
			? SIM_KV_REQUESTS_PER_S
			: sim_kv_store.calls + since * SIM_KV_REQUESTS_PER_S;
	sim_kv_store.writes =
		sim_kv_store.writes + since * SIM_KV_WRITES_PER_S > SIM_KV_WRITES_PER_S
			? SIM_KV_WRITES_PER_S
			: sim_kv_store.writes + since * SIM_KV_WRITES_PER_S;
	if (sim_kv_store.calls < 1 || sim_kv_store.writes < writes)
		return true;
	sim_kv_store.calls--;
	sim_kv_store.writes -= writes;
	return false;
}

/* 0, or -1 if the caller is to hear nothing. */
static int delay(bool write, bool *lost, double *after)
{
	const struct sim_fault *slow = sim_fault_active(FAULT_KV_SLOW, -1);
	const struct sim_fault *fault = sim_fault_active(FAULT_DELAYED_WRITES, -1);
	double s = sim_chance(0.01) ? sim_between(0.1, 0.4) : 0.002;

	/* Slow before it is carried out, or after: then a caller may give up on what was done. */
	if (slow && sim_chance(0.5))
		s = sim_between(0, slow->magnitude);
	else if (slow)
		*after = sim_between(0, slow->magnitude);
	if (write && fault && sim_chance(fault->magnitude)) {
		*lost = true;
		if (!fault->reply_lost_only)
			s = sim_between(2, 12);
	}
	return fl_sleep(s);
}

static void carry_out(struct sim_endpoint from, const struct fl_http_request *request,
                      const cJSON *object, struct fl_http_response *response)
{
	bool lost = false;
	double after = 0;

	if (delay(strcmp(request->path, "/multi") == 0, &lost, &after) != 0)
		return;
	/* What is on its way when the service goes down is carried out when it is back. */
	while (lost && sim_fault_active(FAULT_KV_UNAVAILABLE, -1))
		if (fl_sleep(0.3) != 0)
			return;
	if (!lost && refuses(from)) {
		say(response, 503, NULL);
		return;
	}
	if (strcmp(request->path, "/multi") == 0)
		multi(object, response);
	else if (strncmp(request->path, "/holds", 6) == 0)
		holds(request, response);
	else if (strcmp(request->path, "/keys") == 0)
		list(request->query, response);
	else
		get(request->path + strlen("/keys/"), response);
	if (lost)
		response->status = SIM_NO_REPLY;
	else if (after > 0)
		fl_sleep(after);
}

void sim_kv_serve(struct sim_endpoint from, const struct fl_http_request *request,
                  struct fl_http_response *response)
{
	cJSON *object;

	if (refuses(from)) {
		say(response, 503, NULL);
		return;
	}
	object = strcmp(request->path, "/multi") == 0
	                 ? fl_json_parse(request->body, request->body_len)
	                 : NULL;
	if (over_limit(object))
		say(response, 429, NULL);
	else if (strcmp(request->path, "/follow") == 0)
		follow(from, request->query, response);
	else
		carry_out(from, request, object, response);
	cJSON_Delete(object);
}

int sim_leader(void)
{
	struct sim_kv_entry *entry = sim_kv_find("c/lead");
	cJSON *value = entry ? fl_json_parse(entry->value, strlen(entry->value)) : NULL;
	char name[FL_NAME_MAX];
	int at = -1;

	if (fl_json_get_string(value, "node", name, sizeof(name)) == FL_JSON_OK)
		for (int i = 0; i < sim.node_count; i++)
			if (strcmp(sim.config[i].node, name) == 0)
				at = i;
	cJSON_Delete(value);
	return at;
}
