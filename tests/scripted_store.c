/* The requests to a key-value store whose writes a test controls. */
#include "scripted_store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "json_response.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

enum { LIST_MAX = 100 };
static const double latency_s = 0.002;

struct scripted_store scripted_store;

/* Computation takes no virtual time. */
void sim_process_delay_if_slow(int process) { (void)process; }

/* ---- requests ---- */

static void count_too_large(const char *body)
{
	const char *last = scripted_store.last_too_large;

	scripted_store.too_large_count++;
	scripted_store.repeated_too_large_count += last && strcmp(last, body) == 0;
	free(scripted_store.last_too_large);
	scripted_store.last_too_large = strdup(body);
}

static bool take_write_tokens(const cJSON *transaction)
{
	double rate = scripted_store.limits.write_rps, now = fl_now();
	double writes = cJSON_GetArraySize(fl_json_get(transaction, "Apply"));

	if (rate <= 0)
		return true;
	scripted_store.write_tokens += (now - scripted_store.tokens_updated_at) * rate;
	if (scripted_store.write_tokens > rate)
		scripted_store.write_tokens = rate;
	scripted_store.tokens_updated_at = now;
	if (scripted_store.write_tokens < writes)
		return false;
	scripted_store.write_tokens -= writes;
	return true;
}

/* Responds to a transaction beyond the limits and returns true, or false if it is within them. */
static bool refuse_beyond_limits(const cJSON *transaction, const char *body,
                                 struct fl_http_response *response)
{
	if (scripted_store.limits.txn_ops > 0 &&
	    kv_model_is_too_large(transaction, &scripted_store.limits)) {
		count_too_large(body);
		set_json_response(response, 400, NULL);
		return true;
	}
	if (take_write_tokens(transaction))
		return false;
	scripted_store.throttled_count++;
	set_json_response(response, 429, NULL);
	return true;
}

static int serve_write(const char *body, double timeout_s, struct fl_http_response *response)
{
	struct scripted_write write = {.fate = WRITE_ANSWERED};
	cJSON *transaction;

	/* A test with limits checks what is stored in the end, not each write. */
	sim_require(scripted_store.write_count < SCRIPTED_WRITES_MAX ||
	            scripted_store.limits.txn_ops > 0);
	if (scripted_store.write_count < SCRIPTED_WRITES_MAX)
		write = scripted_store.writes[scripted_store.write_count];
	scripted_store.write_count++;
	if (fl_sleep(write.answer_after_s) != 0)
		return -ECANCELED;
	if (write.fate == WRITE_REFUSED || write.fate == WRITE_THROTTLED) {
		set_json_response(response, write.fate == WRITE_REFUSED ? 503 : 429, NULL);
		return 0;
	}
	transaction = fl_json_parse(body, strlen(body));
	if (write.fate == WRITE_DELAYED) {
		sim_require(!scripted_store.delayed_write);
		scripted_store.delayed_write = transaction;
		return fl_sleep(timeout_s - write.answer_after_s) == 0 ? -ETIMEDOUT : -ECANCELED;
	}
	if (!refuse_beyond_limits(transaction, body, response)) {
		kv_model_serve_transaction(&scripted_store.model, transaction, response);
		fl_condition_broadcast(&scripted_store.model.changed);
	}
	cJSON_Delete(transaction);
	return 0;
}

static int serve_watch(const char *query, struct fl_http_response *response)
{
	char prefix[KV_MODEL_KEY_SIZE], word[32];
	uint64_t revision =
		strtoull(kv_model_query_param(query, "From=", word, sizeof(word)), NULL, 10);
	double until =
		fl_now() + atof(kv_model_query_param(query, "HoldMs=", word, sizeof(word))) / 1000;

	kv_model_query_param(query, "Prefix=", prefix, sizeof(prefix));
	while (kv_model_first_event_index(&scripted_store.model, prefix, revision) < 0 &&
	       fl_now() < until)
		if (fl_condition_wait(&scripted_store.model.changed, until - fl_now()) ==
		    -ECANCELED)
			return -ECANCELED;
	kv_model_serve_events(&scripted_store.model, prefix,
	                      kv_model_first_event_index(&scripted_store.model, prefix, revision),
	                      response);
	return 0;
}

static void serve_lease(const char *method, const char *path, const char *body,
                        struct fl_http_response *response)
{
	struct fl_http_request request = {.path = path,
	                                  .body = body,
	                                  .body_len = body ? strlen(body) : 0,
	                                  .method = strcmp(method, "DELETE") == 0 ? HTTP_DELETE
	                                                                          : HTTP_POST};

	kv_model_serve_lease(&scripted_store.model, &request, response);
}

static int serve(const char *method, const char *path, const char *body, double timeout_s,
                 struct fl_http_response *response)
{
	static const char key[] = "/keys/", list[] = "/keys?", watch[] = "/follow?",
			  lease[] = "/holds";

	if (strcmp(path, "/machine_types") == 0) {
		const char *types = scripted_store.cloud_response;

		set_json_response(response, types ? 200 : 503,
		                  types ? fl_json_parse(types, strlen(types)) : NULL);
		return 0;
	}
	if (strcmp(path, "/multi") == 0)
		return serve_write(body, timeout_s, response);
	if (strncmp(path, watch, strlen(watch)) == 0)
		return serve_watch(path + strlen(watch), response);
	if (strncmp(path, lease, strlen(lease)) == 0) {
		serve_lease(method, path, body, response);
	} else if (strncmp(path, list, strlen(list)) == 0) {
		kv_model_serve_list(&scripted_store.model, path + strlen(list), LIST_MAX, response);
	} else {
		sim_require(strncmp(path, key, strlen(key)) == 0);
		kv_model_serve_get(&scripted_store.model, path + strlen(key), response);
	}
	return 0;
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	struct fl_http_response response = {0};
	int rc;

	(void)client;
	if (fl_sleep(latency_s) != 0)
		return -ECANCELED;
	rc = serve(method, path, body, timeout_s, &response);
	if (rc == 0)
		move_response_to_reply(&response, out);
	return rc;
}

/* ---- control by the test ---- */

void scripted_store_begin(void) { memset(&scripted_store, 0, sizeof(scripted_store)); }

void scripted_store_end(void)
{
	cJSON_Delete(scripted_store.delayed_write);
	free(scripted_store.last_too_large);
	kv_model_free(&scripted_store.model);
}

void scripted_store_script(const struct scripted_write *writes, int count)
{
	sim_require(count <= SCRIPTED_WRITES_MAX);
	memcpy(scripted_store.writes, writes, (size_t)count * sizeof(*writes));
}

uint64_t scripted_store_put(const char *key, cJSON *value)
{
	scripted_store.model.revision++;
	kv_model_put(&scripted_store.model, key, fl_json_print_and_delete(value), 0);
	return scripted_store.model.revision;
}

int scripted_store_execute_delayed_write(void)
{
	struct fl_http_response response = {0};

	sim_require(scripted_store.delayed_write != NULL);
	kv_model_serve_transaction(&scripted_store.model, scripted_store.delayed_write, &response);
	cJSON_Delete(scripted_store.delayed_write);
	scripted_store.delayed_write = NULL;
	free(response.body);
	fl_condition_broadcast(&scripted_store.model.changed);
	return response.status;
}
