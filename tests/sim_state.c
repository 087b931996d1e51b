/* The state service: keys, holds, watches, its limits and its troubles. */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "protocol/json.h"
#include "transport/clock.h"

enum { HOLDS = 128, KEY = 200 };
static const double rps = 220, write_rps = 70;

struct key {
	UT_hash_handle hh;
	char name[KEY];
	char *value;
	uint64_t rev, grant;
};

struct change {
	char name[KEY];
	char *value; /* NULL: deleted */
	uint64_t rev;
};

struct hold {
	uint64_t grant;
	double ttl, until;
};

static struct {
	struct key *keys;
	struct change *log;
	int n_log, cap_log;
	struct hold hold[HOLDS];
	int n_holds;
	uint64_t rev, grants;
	struct fl_signal changed;
	double calls, writes, counted; /* token buckets */
} st;

static void say(struct fl_response *resp, int status, cJSON *o)
{
	resp->status = status;
	resp->body = fl_json_take(o ? o : cJSON_CreateObject());
}

static struct key *find(const char *name)
{
	struct key *k;

	HASH_FIND_STR(st.keys, name, k);
	return k;
}

static void note(const char *name, const char *value)
{
	struct change *c;

	if (st.n_log == st.cap_log) {
		st.cap_log = st.cap_log ? 2 * st.cap_log : 256;
		st.log = realloc(st.log, (size_t)st.cap_log * sizeof(*st.log));
		sim_must(st.log);
	}
	c = &st.log[st.n_log++];
	snprintf(c->name, sizeof(c->name), "%s", name);
	c->value = value ? strdup(value) : NULL;
	c->rev = st.rev;
	fl_signal_wake(&st.changed);
}

static void remove_key(struct key *k)
{
	note(k->name, NULL);
	HASH_DEL(st.keys, k);
	free(k->value);
	free(k);
}

static void put(const char *name, char *value, uint64_t grant)
{
	struct key *k = find(name);

	if (!k && strcmp(name, "c/lead") == 0)
		sim_reports_for_leader();
	if (!k) {
		k = calloc(1, sizeof(*k));
		if (!k)
			abort();
		snprintf(k->name, sizeof(k->name), "%s", name);
		HASH_ADD_STR(st.keys, name, k);
	}
	free(k->value);
	k->value = value;
	k->rev = st.rev;
	k->grant = grant;
	note(name, value);
}

/* ---- holds ---- */

static int find_hold(uint64_t grant)
{
	for (int i = 0; i < st.n_holds; i++)
		if (st.hold[i].grant == grant)
			return i;
	return -1;
}

static void end_hold(int at)
{
	uint64_t grant = st.hold[at].grant;
	struct key *k, *tmp;

	st.hold[at] = st.hold[--st.n_holds];
	st.rev++;
	HASH_ITER (hh, st.keys, k, tmp)
		if (k->grant == grant)
			remove_key(k);
}

/* After an outage every lease has its full time again. */
static void hold_duty(void *arg)
{
	bool was_out = false;

	(void)arg;
	while (fl_sleep(0.02) == 0) {
		bool out = sim_troubled(STATE_OUT, -1) != NULL;

		for (int i = st.n_holds - 1; i >= 0; i--) {
			if (was_out && !out)
				st.hold[i].until = fl_now() + st.hold[i].ttl;
			else if (!out && fl_now() > st.hold[i].until)
				end_hold(i);
		}
		if (was_out && !out)
			fl_signal_wake(&st.changed);
		was_out = out;
	}
}

static void holds(const struct fl_request *req, struct fl_response *resp)
{
	uint64_t grant = strtoull(req->path + strlen("/holds") + (req->path[6] == '/'), NULL, 10);
	int at = find_hold(grant);
	cJSON *o, *in;
	double ttl = 0;

	if (strcmp(req->path, "/holds") == 0) {
		in = fl_json_parse(req->body, req->body_len);
		fl_json_amount(in, "TtlMs", &ttl);
		cJSON_Delete(in);
		sim_must(ttl >= 100 && ttl <= 600000 && st.n_holds < HOLDS);
		st.hold[st.n_holds++] =
			(struct hold){++st.grants, ttl / 1000, fl_now() + ttl / 1000};
		o = cJSON_CreateObject();
		cJSON_AddNumberToObject(o, "Grant", (double)st.grants);
		say(resp, 200, o);
	} else if (at < 0) {
		say(resp, 404, NULL);
	} else if (req->method == HTTP_DELETE) {
		end_hold(at);
		say(resp, 200, NULL);
	} else {
		st.hold[at].until = fl_now() + st.hold[at].ttl;
		say(resp, 200, NULL);
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

static cJSON *item(const char *field, const char *name, const char *value, uint64_t rev)
{
	cJSON *e = cJSON_CreateObject();

	cJSON_AddStringToObject(e, field, name);
	if (value)
		cJSON_AddItemToObject(e, "V", cJSON_CreateRaw(value));
	cJSON_AddNumberToObject(e, "KeyRev", (double)rev);
	return e;
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(struct key *const *)a)->name, (*(struct key *const *)b)->name);
}

static void list(const char *query, struct fl_response *resp)
{
	struct key *k, *tmp, **all = calloc(HASH_COUNT(st.keys) + 1, sizeof(*all));
	cJSON *o = cJSON_CreateObject(), *items = cJSON_AddArrayToObject(o, "Items");
	char prefix[KEY], from[KEY], page[16];
	/* Small pages, so that paging is really used. */
	int n = 0, limit = atoi(param(query, "Page=", page, sizeof(page))) > 7 ? 7 : 3;

	sim_must(all);
	param(query, "Prefix=", prefix, sizeof(prefix));
	param(query, "From=", from, sizeof(from));
	HASH_ITER (hh, st.keys, k, tmp)
		if (strncmp(k->name, prefix, strlen(prefix)) == 0 && strcmp(k->name, from) > 0)
			all[n++] = k;
	qsort(all, (size_t)n, sizeof(*all), by_name);
	for (int i = 0; i < n && i < limit; i++)
		cJSON_AddItemToArray(items, item("Key", all[i]->name, all[i]->value, all[i]->rev));
	cJSON_AddBoolToObject(o, "More", n > limit);
	cJSON_AddNumberToObject(o, "LedgerRev", (double)st.rev);
	say(resp, 200, o);
	free(all);
}

static void get(const char *name, struct fl_response *resp)
{
	struct key *k = find(name);
	cJSON *o;

	if (!k) {
		o = cJSON_CreateObject();
		cJSON_AddNumberToObject(o, "LedgerRev", (double)st.rev);
		say(resp, 404, o);
		return;
	}
	o = item("Key", k->name, k->value, k->rev);
	if (k->grant)
		cJSON_AddNumberToObject(o, "Grant", (double)k->grant);
	say(resp, 200, o);
}

static bool refuses(struct sim_end from)
{
	return sim_troubled(STATE_OUT, -1) || sim_troubled(STATE_REFUSES, from.at);
}

/* The first change after `from` that matters; -1: none. */
static int first_change(const char *prefix, uint64_t from)
{
	int first = -1;

	for (int i = st.n_log - 1; i >= 0 && st.log[i].rev > from; i--)
		if (strncmp(st.log[i].name, prefix, strlen(prefix)) == 0)
			first = i;
	return first;
}

/* Open watches stay open in an outage, and while one node is refused. */
static void follow(struct sim_end who, const char *query, struct fl_response *resp)
{
	char prefix[KEY], word[32];
	uint64_t from = strtoull(param(query, "From=", word, sizeof(word)), NULL, 10);
	double until = fl_now() + atof(param(query, "HoldMs=", word, sizeof(word))) / 1000;
	int first = -1;
	cJSON *o, *log;

	param(query, "Prefix=", prefix, sizeof(prefix));
	for (;;) {
		bool shut = refuses(who);
		double wait = shut ? 0.2 : until - fl_now();

		if (!shut) {
			first = first_change(prefix, from);
			if (first >= 0 || fl_now() >= until)
				break;
		}
		if (fl_signal_wait(&st.changed, wait) == -ECANCELED)
			return;
	}
	o = cJSON_CreateObject();
	cJSON_AddNumberToObject(o, "LedgerRev", (double)st.rev);
	log = cJSON_AddArrayToObject(o, "Log");
	for (int i = first; i >= 0 && i < st.n_log; i++) {
		const struct change *c = &st.log[i];

		if (strncmp(c->name, prefix, strlen(prefix)) == 0)
			cJSON_AddItemToArray(
				log, item(c->value ? "Put" : "Delete", c->name, c->value, c->rev));
	}
	say(resp, 200, o);
}

/* ---- transactions ---- */

static bool no_such_lease(const cJSON *apply)
{
	const cJSON *e;
	uint64_t grant;

	cJSON_ArrayForEach (e, apply)
		if (fl_json_count(e, "Grant", &grant) == FL_FIELD_OK && find_hold(grant) < 0)
			return true;
	return false;
}

static void apply(const cJSON *ops)
{
	const cJSON *e;
	char name[KEY];
	uint64_t grant;

	if (cJSON_GetArraySize(ops) > 0)
		st.rev++;
	cJSON_ArrayForEach (e, ops) {
		if (fl_json_str(e, "Put", name, sizeof(name)) == FL_FIELD_OK) {
			if (fl_json_count(e, "Grant", &grant) != FL_FIELD_OK)
				grant = 0;
			put(name, cJSON_PrintUnformatted(fl_json_get(e, "V")), grant);
		} else if (fl_json_str(e, "Delete", name, sizeof(name)) == FL_FIELD_OK) {
			struct key *k = find(name);

			if (k)
				remove_key(k);
		}
	}
}

static void multi(const cJSON *o, struct fl_response *resp)
{
	cJSON *out = cJSON_CreateObject(), *failed = cJSON_CreateArray();
	const cJSON *e;

	cJSON_ArrayForEach (e, fl_json_get(o, "When")) {
		char name[KEY] = "";
		uint64_t rev = 0;
		struct key *k;

		fl_json_str(e, "Key", name, sizeof(name));
		fl_json_count(e, "KeyRev", &rev);
		k = find(name);
		if ((k ? k->rev : 0) != rev)
			cJSON_AddItemToArray(failed, cJSON_CreateString(name));
	}
	if (no_such_lease(fl_json_get(o, "Apply"))) {
		cJSON_Delete(failed);
		cJSON_AddStringToObject(out, "error", "no such lease");
		say(resp, 400, out);
		return;
	}
	if (cJSON_GetArraySize(failed) > 0) {
		cJSON_AddItemToObject(out, "failed", failed);
		cJSON_AddNumberToObject(out, "LedgerRev", (double)st.rev);
		say(resp, 409, out);
		return;
	}
	cJSON_Delete(failed);
	apply(fl_json_get(o, "Apply"));
	cJSON_AddNumberToObject(out, "LedgerRev", (double)st.rev);
	say(resp, 200, out);
}

/* ---- limits and troubles ---- */

static bool over_limit(const cJSON *o)
{
	double writes = cJSON_GetArraySize(fl_json_get(o, "Apply")), since = fl_now() - st.counted;

	st.counted = fl_now();
	st.calls = st.calls + since * rps > rps ? rps : st.calls + since * rps;
	st.writes = st.writes + since * write_rps > write_rps ? write_rps
	                                                      : st.writes + since * write_rps;
	if (st.calls < 1 || st.writes < writes)
		return true;
	st.calls--;
	st.writes -= writes;
	return false;
}

/* 0, or -1 if the caller is to hear nothing. */
static int delay(bool write, bool *lost, double *after)
{
	const struct sim_trouble *slow = sim_troubled(STATE_SLOW, -1);
	const struct sim_trouble *late = sim_troubled(LATE_WRITES, -1);
	double s = sim_chance(0.01) ? sim_between(0.1, 0.4) : 0.002;

	/* Slow before it is carried out, or after: then a caller may give up on what was done. */
	if (slow && sim_chance(0.5))
		s = sim_between(0, slow->much);
	else if (slow)
		*after = sim_between(0, slow->much);
	if (write && late && sim_chance(late->much)) {
		*lost = true;
		if (!late->at_once)
			s = sim_between(2, 12);
	}
	return fl_sleep(s);
}

static void carry_out(struct sim_end from, const struct fl_request *req, const cJSON *o,
                      struct fl_response *resp)
{
	bool lost = false;
	double after = 0;

	if (delay(strcmp(req->path, "/multi") == 0, &lost, &after) != 0)
		return;
	/* What is on its way when the service goes down is carried out when it is back. */
	while (lost && sim_troubled(STATE_OUT, -1))
		if (fl_sleep(0.3) != 0)
			return;
	if (!lost && refuses(from)) {
		say(resp, 503, NULL);
		return;
	}
	if (strcmp(req->path, "/multi") == 0)
		multi(o, resp);
	else if (strncmp(req->path, "/holds", 6) == 0)
		holds(req, resp);
	else if (strcmp(req->path, "/keys") == 0)
		list(req->query, resp);
	else
		get(req->path + strlen("/keys/"), resp);
	if (lost)
		resp->status = SIM_SILENCE;
	else if (after > 0)
		fl_sleep(after);
}

void sim_state_serve(struct sim_end from, const struct fl_request *req, struct fl_response *resp)
{
	cJSON *o;

	if (refuses(from)) {
		say(resp, 503, NULL);
		return;
	}
	o = strcmp(req->path, "/multi") == 0 ? fl_json_parse(req->body, req->body_len) : NULL;
	if (over_limit(o))
		say(resp, 429, NULL);
	else if (strcmp(req->path, "/follow") == 0)
		follow(from, req->query, resp);
	else
		carry_out(from, req, o, resp);
	cJSON_Delete(o);
}

int sim_leader(void)
{
	struct key *k = find("c/lead");
	cJSON *v = k ? fl_json_parse(k->value, strlen(k->value)) : NULL;
	char name[FL_NAME_MAX];
	int at = -1;

	if (fl_json_str(v, "node", name, sizeof(name)) == FL_FIELD_OK)
		for (int i = 0; i < sim.n_nodes; i++)
			if (strcmp(sim.config[i].node, name) == 0)
				at = i;
	cJSON_Delete(v);
	return at;
}

void sim_state_begin(void)
{
	st.calls = rps;
	st.writes = write_rps;
	st.counted = fl_now();
	sim_spawn(0, hold_duty, NULL);
}

void sim_state_end(void)
{
	struct key *k, *tmp;

	HASH_ITER (hh, st.keys, k, tmp) {
		HASH_DEL(st.keys, k);
		free(k->value);
		free(k);
	}
	for (int i = 0; i < st.n_log; i++)
		free(st.log[i].value);
	free(st.log);
	memset(&st, 0, sizeof(st));
}
