#include "protocol/state.h"

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

int fl_state_init(struct fl_state *s, const char *addr)
{
	int rc;

	memset(s, 0, sizeof(*s));
	s->last_ok = s->last_refusal = -1e9;
	rc = fl_http_client_init(&s->http, addr, 6);
	return rc ? rc : fl_http_client_init(&s->watch, addr, 2);
}

bool fl_state_in_doubt(const struct fl_state *s) { return s->last_refusal > s->last_ok; }

static int to_errno(int status)
{
	switch (status) {
	case 200:
		return 0;
	case 404:
		return -ENOENT;
	case 409:
		return -ESTALE;
	case 410:
		return -ERANGE;
	case 429:
	case 503:
		return -EAGAIN;
	case 400:
		return -EINVAL;
	default:
		return -EPROTO;
	}
}

static int call(struct fl_state *s, struct fl_http_client *http, const char *method,
                const char *path, const char *body, double timeout_s, cJSON **out)
{
	double sent = fl_now();
	struct fl_reply reply;
	int rc = fl_http_call(http, method, path, body, timeout_s, &reply);

	*out = NULL;
	if (rc) {
		if (rc != -ECANCELED)
			s->last_refusal = fl_now();
		return rc;
	}
	if (reply.status == 503)
		s->last_refusal = fl_now();
	else if (reply.status != 429 && sent > s->last_ok)
		s->last_ok = sent;
	rc = to_errno(reply.status);
	*out = fl_json_parse(reply.body.data, reply.body.len);
	fl_buf_free(&reply.body);
	if (!rc && !cJSON_IsObject(*out))
		rc = -EPROTO;
	return rc;
}

int fl_state_get(struct fl_state *s, const char *key, cJSON **value, uint64_t *rev, uint64_t *grant)
{
	char path[FL_KEY_MAX + 16];
	uint64_t none;
	cJSON *o;
	int rc;

	*value = NULL;
	snprintf(path, sizeof(path), "/keys/%s", key);
	rc = call(s, &s->http, "GET", path, NULL, tunables.timeout_s, &o);
	if (!rc && fl_json_count(o, "KeyRev", rev) != FL_FIELD_OK)
		rc = -EPROTO;
	if (!rc) {
		if (!grant)
			grant = &none;
		if (fl_json_count(o, "Grant", grant) != FL_FIELD_OK)
			*grant = 0;
		*value = cJSON_DetachItemFromObjectCaseSensitive(o, "V");
	}
	cJSON_Delete(o);
	return rc;
}

static int each_item(const cJSON *items, fl_change_fn fn, void *ctx, char last[FL_KEY_MAX])
{
	const cJSON *e;

	cJSON_ArrayForEach (e, items) {
		struct fl_change ch = {0};
		char key[FL_KEY_MAX];

		if (fl_json_str(e, "Key", key, sizeof(key)) != FL_FIELD_OK ||
		    fl_json_count(e, "KeyRev", &ch.rev) != FL_FIELD_OK)
			return -EPROTO;
		ch.key = key;
		ch.value = fl_json_get(e, "V");
		fn(ctx, &ch);
		fl_copy_string(last, FL_KEY_MAX, key);
	}
	return 0;
}

int fl_state_list(struct fl_state *s, const char *prefix, fl_change_fn fn, void *ctx, uint64_t *rev)
{
	char path[2 * FL_KEY_MAX + 64], last[FL_KEY_MAX] = "";
	bool more = true, first = true;

	while (more) {
		const cJSON *items;
		uint64_t at;
		cJSON *o;
		int rc;

		snprintf(path, sizeof(path), "/keys?Prefix=%s%s%s&Page=%d", prefix,
		         last[0] ? "&From=" : "", last, tunables.page);
		rc = call(s, &s->http, "GET", path, NULL, 2 * tunables.timeout_s, &o);
		if (!rc) {
			items = fl_json_get(o, "Items");
			more = false;
			/* A list cut short would pass for a whole one. */
			if (!cJSON_IsArray(items) ||
			    fl_json_bool(o, "More", &more) != FL_FIELD_OK ||
			    fl_json_count(o, "LedgerRev", &at) != FL_FIELD_OK)
				rc = -EPROTO;
			else
				rc = each_item(items, fn, ctx, last);
			if (!rc && cJSON_GetArraySize(items) == 0)
				more = false;
			if (!rc && first)
				*rev = at;
			first = false;
		}
		cJSON_Delete(o);
		if (rc)
			return rc;
	}
	return 0;
}

static int each_event(const cJSON *log, fl_change_fn fn, void *ctx)
{
	const cJSON *e;

	cJSON_ArrayForEach (e, log) {
		struct fl_change ch = {0};
		char key[FL_KEY_MAX];

		if (fl_json_count(e, "KeyRev", &ch.rev) != FL_FIELD_OK)
			return -EPROTO;
		if (fl_json_str(e, "Put", key, sizeof(key)) == FL_FIELD_OK)
			ch.value = fl_json_get(e, "V");
		else if (fl_json_str(e, "Delete", key, sizeof(key)) != FL_FIELD_OK)
			return -EPROTO;
		ch.key = key;
		fn(ctx, &ch);
	}
	return 0;
}

int fl_state_follow(struct fl_state *s, const char *prefix, uint64_t *rev, double hold_s,
                    fl_change_fn fn, void *ctx)
{
	char path[FL_KEY_MAX + 128];
	const cJSON *log;
	uint64_t at;
	cJSON *o;
	int rc;

	snprintf(path, sizeof(path), "/follow?Prefix=%s&From=%llu&HoldMs=%d", prefix,
	         (unsigned long long)*rev, (int)(hold_s * 1000));
	rc = call(s, &s->watch, "GET", path, NULL, hold_s + tunables.slack_s, &o);
	if (!rc) {
		log = fl_json_get(o, "Log");
		if (fl_json_count(o, "LedgerRev", &at) != FL_FIELD_OK ||
		    (log && !cJSON_IsArray(log)))
			rc = -EPROTO;
		else
			rc = each_event(log, fn, ctx);
		if (!rc && at > *rev)
			*rev = at;
	}
	cJSON_Delete(o);
	return rc;
}

void fl_multi_init(struct fl_multi *m)
{
	m->root = cJSON_CreateObject();
	m->when = cJSON_AddArrayToObject(m->root, "When");
	m->apply = cJSON_AddArrayToObject(m->root, "Apply");
	m->n_apply = 0;
}

void fl_multi_free(struct fl_multi *m)
{
	cJSON_Delete(m->root);
	m->root = NULL;
}

void fl_multi_when(struct fl_multi *m, const char *key, uint64_t rev)
{
	cJSON *e = cJSON_CreateObject();

	cJSON_AddStringToObject(e, "Key", key);
	cJSON_AddNumberToObject(e, "KeyRev", (double)rev);
	cJSON_AddItemToArray(m->when, e);
}

void fl_multi_put(struct fl_multi *m, const char *key, cJSON *value, uint64_t grant)
{
	cJSON *e = cJSON_CreateObject();

	cJSON_AddStringToObject(e, "Put", key);
	cJSON_AddItemToObject(e, "V", value);
	if (grant)
		cJSON_AddNumberToObject(e, "Grant", (double)grant);
	cJSON_AddItemToArray(m->apply, e);
	m->n_apply++;
}

void fl_multi_delete(struct fl_multi *m, const char *key)
{
	cJSON *e = cJSON_CreateObject();

	cJSON_AddStringToObject(e, "Delete", key);
	cJSON_AddItemToArray(m->apply, e);
	m->n_apply++;
}

int fl_state_multi(struct fl_state *s, struct fl_multi *m, uint64_t *rev, char failed[FL_KEY_MAX])
{
	char *text = fl_json_take(m->root);
	cJSON *o;
	int rc;

	m->root = NULL;
	rc = call(s, &s->http, "POST", "/multi", text, tunables.timeout_s, &o);
	free(text);
	if (!rc && fl_json_count(o, "LedgerRev", rev) != FL_FIELD_OK)
		rc = -EPROTO;
	if (rc == -ESTALE && failed) {
		const cJSON *first = cJSON_GetArrayItem(fl_json_get(o, "failed"), 0);

		failed[0] = 0;
		if (cJSON_IsString(first) && strlen(first->valuestring) < FL_KEY_MAX)
			fl_copy_string(failed, FL_KEY_MAX, first->valuestring);
	}
	cJSON_Delete(o);
	return rc;
}

int fl_state_hold(struct fl_state *s, double ttl_s, uint64_t *grant)
{
	char body[48];
	cJSON *o;
	int rc;

	snprintf(body, sizeof(body), "{\"TtlMs\":%d}", (int)(ttl_s * 1000));
	rc = call(s, &s->http, "POST", "/holds", body, tunables.timeout_s, &o);
	if (!rc && fl_json_count(o, "Grant", grant) != FL_FIELD_OK)
		rc = -EPROTO;
	cJSON_Delete(o);
	return rc;
}

int fl_state_extend(struct fl_state *s, uint64_t grant, double timeout_s)
{
	char path[64];
	cJSON *o;
	int rc;

	snprintf(path, sizeof(path), "/holds/%llu/extend", (unsigned long long)grant);
	rc = call(s, &s->http, "POST", path, "{}", timeout_s, &o);
	cJSON_Delete(o);
	/* A 200 with a body of any shape is a renewal. */
	return rc == -EPROTO ? -EAGAIN : rc;
}

int fl_state_release(struct fl_state *s, uint64_t grant)
{
	char path[64];
	cJSON *o;
	int rc;

	snprintf(path, sizeof(path), "/holds/%llu", (unsigned long long)grant);
	rc = call(s, &s->http, "DELETE", path, NULL, tunables.timeout_s, &o);
	cJSON_Delete(o);
	return rc == -EPROTO ? 0 : rc;
}
