/*
 * The fake key-value store: kv_model.h in virtual time, with the real store's limits on rates and
 * sizes, and with the injected faults.
 */
#include "sim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "json_response.h"
#include "kv_model.h"
#include "transport/clock.h"

enum { REQUESTS_PER_S = 220 };
static const struct kv_model_limits initial_limits = {4, 16, 70};

static struct {
	struct kv_model model;
	/* Token buckets, each of which holds the tokens of 1 s. */
	double request_tokens, write_tokens, refilled_at;
	/* The last transaction of each node that was too large, as JSON text; NULL: none. */
	char *last_too_large[SIM_NODES];
} store;

static bool refuses_requests_from(struct sim_endpoint from)
{
	return sim_fault_active(FAULT_KV_UNAVAILABLE, -1) ||
	       sim_fault_active(FAULT_KV_REFUSES_NODE, from.index);
}

/* ---- watches ---- */

/*
 * Waits for an event or the deadline; returns false if cancelled. Open watches stay open during an
 * outage, and while the store refuses their node.
 */
static bool wait_for_event(struct sim_endpoint from, const char *prefix, uint64_t revision,
                           double until)
{
	for (;;) {
		bool refused = refuses_requests_from(from);
		double timeout_s = refused ? 0.2 : until - fl_now();

		if (!refused && (kv_model_first_event_index(&store.model, prefix, revision) >= 0 ||
		                 fl_now() >= until))
			return true;
		if (fl_condition_wait(&store.model.changed, timeout_s) == -ECANCELED)
			return false;
	}
}

/* Delays a reply to a watch while FAULT_KV_SLOW includes these; returns false if cancelled. */
static bool delay_watch_reply(void)
{
	const struct sim_fault *slow = sim_fault_active(FAULT_KV_SLOW, -1);

	return !slow || !slow->delays_watches ||
	       fl_sleep(sim_random_between(0, slow->magnitude)) == 0;
}

static void serve_watch(struct sim_endpoint from, const char *query,
                        struct fl_http_response *response)
{
	char prefix[KV_MODEL_KEY_SIZE], word[32];
	uint64_t revision =
		strtoull(kv_model_query_param(query, "From=", word, sizeof(word)), NULL, 10);
	double timeout_s = atof(kv_model_query_param(query, "HoldMs=", word, sizeof(word))) / 1000;

	kv_model_query_param(query, "Prefix=", prefix, sizeof(prefix));
	if (!wait_for_event(from, prefix, revision, fl_now() + timeout_s) || !delay_watch_reply())
		return;
	kv_model_serve_events(&store.model, prefix,
	                      kv_model_first_event_index(&store.model, prefix, revision), response);
}

/* ---- limits ---- */

static const struct kv_model_limits *current_limits(void)
{
	const struct sim_fault *lowered = sim_fault_active(FAULT_KV_LIMITS_LOWERED, -1);

	return lowered ? &lowered->kv_limits : &initial_limits;
}

/*
 * Checks a transaction that is refused as too large: it must not be sent at all while the limits
 * are those of the settings, and not again unchanged after they were lowered.
 */
static void check_too_large(struct sim_endpoint from, const struct fl_http_request *request)
{
	char **last = &store.last_too_large[from.index];

	if (current_limits() == &initial_limits)
		sim_violation("transaction_size", "transaction too large node=%d", from.index);
	else if (*last && strcmp(*last, request->body) == 0)
		sim_violation("refused_write_repeated",
		              "transaction sent again that was too large node=%d", from.index);
	free(*last);
	*last = strdup(request->body);
}

static double refilled_tokens(double left, double per_s)
{
	double filled = left + (fl_now() - store.refilled_at) * per_s;

	return filled > per_s ? per_s : filled;
}

static bool take_tokens(const cJSON *transaction)
{
	double writes = cJSON_GetArraySize(fl_json_get(transaction, "Apply"));

	store.request_tokens = refilled_tokens(store.request_tokens, REQUESTS_PER_S);
	store.write_tokens = refilled_tokens(store.write_tokens, current_limits()->write_rps);
	store.refilled_at = fl_now();
	if (store.request_tokens < 1 || store.write_tokens < writes)
		return false;
	store.request_tokens--;
	store.write_tokens -= writes;
	return true;
}

/* ---- faults ---- */

struct delays {
	double before_s, after_s; /* delays before and after the request is applied */
	bool reply_lost;
};

static struct delays choose_delays(bool is_write)
{
	const struct sim_fault *slow = sim_fault_active(FAULT_KV_SLOW, -1);
	const struct sim_fault *delayed = sim_fault_active(FAULT_DELAYED_WRITES, -1);
	struct delays delays = {.before_s =
	                                sim_chance(0.01) ? sim_random_between(0.1, 0.4) : 0.002};

	/* Delays the request before or after it is applied; in the latter case the caller of a
	 * write may time out although the write is applied. */
	if (slow && sim_chance(0.5))
		delays.before_s = sim_random_between(0, slow->magnitude);
	else if (slow)
		delays.after_s = sim_random_between(0, slow->magnitude);
	if (is_write && delayed && sim_chance(delayed->magnitude)) {
		delays.reply_lost = true;
		if (!delayed->reply_lost_only)
			delays.before_s = sim_random_between(2, 12);
	}
	return delays;
}

/* Returns false if cancelled. */
static bool wait_before_applying(const struct delays *delays)
{
	if (fl_sleep(delays->before_s) != 0)
		return false;
	/* A delayed write that is due during an outage is applied after the outage. */
	while (delays->reply_lost && sim_fault_active(FAULT_KV_UNAVAILABLE, -1))
		if (fl_sleep(0.3) != 0)
			return false;
	return true;
}

/* ---- requests ---- */

static void serve_list(const char *query, struct fl_http_response *response)
{
	char page[16];
	/* Small pages, so that clients have to fetch several. */
	int limit = atoi(kv_model_query_param(query, "Page=", page, sizeof(page))) > 7 ? 7 : 3;

	kv_model_serve_list(&store.model, query, limit, response);
}

static void apply_request(const struct fl_http_request *request, const cJSON *transaction,
                          struct fl_http_response *response)
{
	if (transaction) {
		kv_model_serve_transaction(&store.model, transaction, response);
	} else if (strncmp(request->path, "/holds", 6) == 0) {
		kv_model_serve_lease(&store.model, request, response);
	} else if (strcmp(request->path, "/keys") == 0) {
		serve_list(request->query, response);
	} else {
		kv_model_serve_get(&store.model, request->path + strlen("/keys/"), response);
	}
}

static void apply_request_with_delays(struct sim_endpoint from,
                                      const struct fl_http_request *request,
                                      const cJSON *transaction, struct fl_http_response *response)
{
	struct delays delays = choose_delays(transaction != NULL);

	if (!wait_before_applying(&delays))
		return;
	if (!delays.reply_lost && refuses_requests_from(from)) {
		set_json_response(response, 503, NULL);
		return;
	}
	apply_request(request, transaction, response);
	if (delays.reply_lost)
		response->status = SIM_NO_REPLY;
	else if (delays.after_s > 0)
		fl_sleep(delays.after_s);
}

void sim_kv_serve(struct sim_endpoint from, const struct fl_http_request *request,
                  struct fl_http_response *response)
{
	cJSON *transaction = NULL;

	if (refuses_requests_from(from)) {
		set_json_response(response, 503, NULL);
		return;
	}
	if (strcmp(request->path, "/multi") == 0) {
		transaction = fl_json_parse(request->body, request->body_len);
		sim_require(transaction != NULL);
	}
	if (transaction && kv_model_is_too_large(transaction, current_limits())) {
		check_too_large(from, request);
		set_json_response(response, 400, NULL);
	} else if (!take_tokens(transaction))
		set_json_response(response, 429, NULL);
	else if (strcmp(request->path, "/follow") == 0)
		serve_watch(from, request->query, response);
	else
		apply_request_with_delays(from, request, transaction, response);
	cJSON_Delete(transaction);
}

/* ---- leases, beginning and end ---- */

/* Expires leases; after an outage every lease gets its full time again. */
static void run_leases(void *arg)
{
	bool was_unavailable = false;

	(void)arg;
	while (fl_sleep(0.02) == 0) {
		bool unavailable = sim_fault_active(FAULT_KV_UNAVAILABLE, -1) != NULL;

		if (was_unavailable && !unavailable) {
			kv_model_leases_renew(&store.model);
			fl_condition_broadcast(&store.model.changed);
		} else if (!unavailable) {
			kv_model_leases_expire(&store.model);
		}
		was_unavailable = unavailable;
	}
}

static void release_heartbeats_before_new_leader(const struct kv_entry *old, const char *key,
                                                 const char *value)
{
	(void)value;
	if (!old && strcmp(key, "c/lead") == 0)
		sim_heartbeats_release_held();
}

void sim_kv_begin(void)
{
	store.model.before_put = release_heartbeats_before_new_leader;
	store.request_tokens = REQUESTS_PER_S;
	store.write_tokens = initial_limits.write_rps;
	store.refilled_at = fl_now();
	sim_spawn(0, run_leases, NULL);
}

void sim_kv_end(void)
{
	kv_model_free(&store.model);
	for (int i = 0; i < SIM_NODES; i++)
		free(store.last_too_large[i]);
	memset(&store, 0, sizeof(store));
}

int sim_kv_change_count(void) { return store.model.event_count; }

int sim_leader_node(void)
{
	char name[KV_MODEL_KEY_SIZE];
	int leader = -1;

	kv_model_leader_node(&store.model, name);
	for (int i = 0; i < sim.node_count; i++)
		if (strcmp(sim.config[i].node, name) == 0)
			leader = i;
	return leader;
}
