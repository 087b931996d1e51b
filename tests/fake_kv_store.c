/* The fake key-value store: kv_model.h over HTTP in real time, with faults by request count. */
#include "fake_services_internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_response.h"
#include "transport/clock.h"

static struct kv_model model;

static uint64_t fencing_token_of(const char *value)
{
	cJSON *object = fl_json_parse(value, strlen(value));
	uint64_t fencing_token = 0;

	fl_json_get_uint(object, "epoch", &fencing_token);
	cJSON_Delete(object);
	return fencing_token;
}

static void check_fencing_token(const struct kv_entry *old, const char *key, const char *value)
{
	if (old && strcmp(key, "c/epoch") == 0 &&
	    fencing_token_of(old->value) >= fencing_token_of(value))
		fake_services.tokens_reused++;
}

static void expire_leases(void *arg)
{
	(void)arg;
	while (fl_sleep(0.02) == 0)
		kv_model_leases_expire(&model);
}

static void serve_watch(const char *query, struct fl_http_response *response)
{
	char prefix[KV_MODEL_KEY_SIZE], word[32];
	uint64_t revision =
		strtoull(kv_model_query_param(query, "From=", word, sizeof(word)), NULL, 10);
	double timeout_s = atof(kv_model_query_param(query, "HoldMs=", word, sizeof(word))) / 1000;
	double until = fl_now() + timeout_s;

	kv_model_query_param(query, "Prefix=", prefix, sizeof(prefix));
	while (kv_model_first_event_index(&model, prefix, revision) < 0 && fl_now() < until)
		if (fl_condition_wait(&model.changed, until - fl_now()) == -ECANCELED)
			return;
	kv_model_serve_events(&model, prefix, kv_model_first_event_index(&model, prefix, revision),
	                      response);
}

static void serve_list(const char *query, struct fl_http_response *response)
{
	char page[16];
	int limit = atoi(kv_model_query_param(query, "Page=", page, sizeof(page)));

	/* Small pages, so that clients have to fetch several. */
	kv_model_serve_list(&model, query, limit > 5 ? 5 : limit, response);
}

/* Counts a transaction that is refused as too large; it must not be sent again unchanged. */
static void count_too_large(const char *body)
{
	static char last[65536];

	fake_services.kv_too_large++;
	fake_services.kv_too_large_repeated += strcmp(last, body) == 0;
	snprintf(last, sizeof(last), "%s", body);
}

static void serve_transaction(const struct fl_http_request *request,
                              struct fl_http_response *response)
{
	cJSON *transaction = fl_json_parse(request->body, request->body_len);
	const struct kv_model_limits *limits = &fake_services.kv_limits;

	if (limits->txn_ops > 0 && kv_model_is_too_large(transaction, limits)) {
		count_too_large(request->body);
		set_json_response(response, 400, NULL);
	} else {
		kv_model_serve_transaction(&model, transaction, response);
	}
	cJSON_Delete(transaction);
}

static void apply_request(const struct fl_http_request *request, struct fl_http_response *response)
{
	if (strcmp(request->path, "/multi") == 0)
		serve_transaction(request, response);
	else if (strncmp(request->path, "/holds", 6) == 0)
		kv_model_serve_lease(&model, request, response);
	else if (strcmp(request->path, "/keys") == 0)
		serve_list(request->query, response);
	else
		kv_model_serve_get(&model, request->path + strlen("/keys/"), response);
}

static void on_kv_request(void *context, const struct fl_http_request *request,
                          struct fl_http_response *response)
{
	static unsigned request_count;
	unsigned number = ++request_count;

	(void)context;
	if (strcmp(request->path, "/follow") == 0) {
		serve_watch(request->query, response);
		return;
	}
	if (fake_services.interrupt_after_requests > 0 &&
	    --fake_services.interrupt_after_requests == 0) {
		fake_services.interrupt();
		if (fl_sleep(0.2) != 0)
			return;
	}
	if (fault_is_due(fake_services.kv_refused_request_every, number)) {
		set_json_response(response, 503, NULL);
		return;
	}
	if (fault_is_due(fake_services.kv_slow_request_every, number) && fl_sleep(0.3) != 0)
		return;
	apply_request(request, response);
	/* The request is applied, but its reply is sent after the client's timeout. */
	if (fault_is_due(fake_services.kv_lost_reply_every, number))
		fl_sleep(2.5);
}

const struct kv_entry *fake_kv_find(const char *key) { return kv_model_find(&model, key); }

struct fl_http_server *fake_kv_start(void)
{
	model.before_put = check_fencing_token;
	fl_coroutine_spawn(expire_leases, NULL);
	return fl_http_serve("127.0.0.1:0", 256, 90, on_kv_request, NULL);
}

void fake_kv_free(void) { kv_model_free(&model); }

const char *fake_services_leader_node(void)
{
	static char node[KV_MODEL_KEY_SIZE];

	kv_model_leader_node(&model, node);
	return node;
}
