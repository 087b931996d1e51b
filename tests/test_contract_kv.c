/*
 * The wire contract with the key-value store, byte for byte. C identifiers may be renamed, but a
 * change of a field, word or path in these texts makes the protocol incompatible with the other
 * side. The texts are written out here and never produced by the code under test.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "contract_fixture.h"
#include "contract_text.h"
#include "protocol/kv_store.h"

/* Events as text, one per line: key, revision, and value or "deleted". */
struct event_log {
	char text[512];
};

static void append_event(void *context, const struct fl_kv_event *event)
{
	struct event_log *events = context;
	char *value = event->value ? cJSON_PrintUnformatted(event->value) : NULL;
	size_t used = strlen(events->text);

	snprintf(events->text + used, sizeof(events->text) - used, "%s %llu %s\n", event->key,
	         (unsigned long long)event->mod_revision, value ? value : "deleted");
	free(value);
}

struct get_results {
	int rc[3];
	cJSON *value[3];
	uint64_t mod_revision[3], lease_id[3];
};

static void read_keys(const char *address, void *results)
{
	static const char *const keys[] = {"a/b", "a/c", "a/none"};
	struct get_results *got = results;
	struct fl_kv_store kv_store;

	fl_kv_init(&kv_store, address);
	for (int i = 0; i < 3; i++)
		got->rc[i] = fl_kv_get(&kv_store, keys[i], &got->value[i], &got->mod_revision[i],
		                       &got->lease_id[i]);
	fl_http_client_close(&kv_store.client);
	fl_http_client_close(&kv_store.watch_client);
}

static void a_key_is_read_with_its_revision_and_lease(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /keys/a/b\n", 200,
	         "{\"Key\":\"a/b\",\"V\":{\"n\":5},\"KeyRev\":412,\"Grant\":7}"},
		{"GET /keys/a/c\n", 200, "{\"Key\":\"a/c\",\"V\":[6],\"KeyRev\":413}"},
		{"GET /keys/a/none\n", 404, "{\"LedgerRev\":431}"},
	};
	struct get_results got = {.lease_id = {99, 99, 99}};

	(void)state;
	contract_run_exchanges(read_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.mod_revision[0], 412);
	assert_int_equal(got.lease_id[0], 7);
	assert_text_and_free(fl_json_print_and_delete(got.value[0]), "{\"n\":5}");
	assert_int_equal(got.rc[1], FL_KV_OK);
	assert_int_equal(got.mod_revision[1], 413);
	assert_int_equal(got.lease_id[1], 0);
	assert_text_and_free(fl_json_print_and_delete(got.value[1]), "[6]");
	assert_int_equal(got.rc[2], FL_KV_NOT_FOUND);
	assert_null(got.value[2]);
}

struct event_results {
	int rc[2];
	uint64_t mod_revision[2];
	struct event_log events[2];
};

static void list_keys(const char *address, void *results)
{
	struct event_results *got = results;
	struct fl_kv_store kv_store;

	fl_kv_init(&kv_store, address);
	got->rc[0] =
		fl_kv_list(&kv_store, "c/", append_event, &got->events[0], &got->mod_revision[0]);
	fl_http_client_close(&kv_store.client);
	fl_http_client_close(&kv_store.watch_client);
}

static void keys_are_listed_page_by_page(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /keys?Prefix=c/&Page=1000\n", 200,
	         "{\"Items\":[{\"Key\":\"c/6\",\"V\":{\"n\":1},\"KeyRev\":401},"
	         "{\"Key\":\"c/7\",\"V\":\"two\",\"KeyRev\":402}],\"More\":true,"
	         "\"LedgerRev\":431}"},
		{"GET /keys?Prefix=c/&From=c/7&Page=1000\n", 200,
	         "{\"Items\":[{\"Key\":\"c/8\",\"V\":3,\"KeyRev\":403}],\"More\":false,"
	         "\"LedgerRev\":432}"},
	};
	struct event_results got = {0};

	(void)state;
	contract_run_exchanges(list_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.mod_revision[0], 431);
	assert_string_equal(got.events[0].text, "c/6 401 {\"n\":1}\nc/7 402 \"two\"\nc/8 403 3\n");
}

/* A page that announces more keys and has none must not end the list as if it were complete. */
static void a_list_is_not_complete_while_more_keys_are_announced(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /keys?Prefix=c/&Page=1000\n", 200,
	         "{\"Items\":[],\"More\":true,\"LedgerRev\":431}"},
	};
	struct event_results got = {0};

	(void)state;
	contract_run_exchanges(list_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OUTCOME_UNKNOWN);
}

static void watch_keys(const char *address, void *results)
{
	struct event_results *got = results;
	struct fl_kv_store kv_store;

	fl_kv_init(&kv_store, address);
	for (int i = 0; i < 2; i++)
		got->rc[i] = fl_kv_watch(
			&kv_store,
			&(struct fl_kv_watch_request){"c/", 2.5, append_event, &got->events[i]},
			&got->mod_revision[i]);
	fl_http_client_close(&kv_store.client);
	fl_http_client_close(&kv_store.watch_client);
}

static void a_watch_returns_writes_and_deletions(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /follow?Prefix=c/&From=431&HoldMs=2500\n", 200,
	         "{\"LedgerRev\":434,\"Log\":[{\"Put\":\"c/9\",\"V\":{\"n\":9},\"KeyRev\":433},"
	         "{\"Delete\":\"c/d\",\"KeyRev\":432}]}"},
		{"GET /follow?Prefix=c/&From=17&HoldMs=2500\n", 410, "{\"LedgerRev\":434}"},
	};
	struct event_results got = {.mod_revision = {431, 17}};

	(void)state;
	contract_run_exchanges(watch_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.mod_revision[0], 434);
	assert_string_equal(got.events[0].text, "c/9 433 {\"n\":9}\nc/d 432 deleted\n");
	assert_int_equal(got.rc[1], FL_KV_COMPACTED);
	assert_int_equal(got.mod_revision[1], 17);
}

/* Changes that a reply lacks would be skipped for good if the watch went on after them. */
static void a_watch_reply_without_its_log_is_not_skipped(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /follow?Prefix=c/&From=431&HoldMs=2500\n", 200, "{\"LedgerRev\":434}"},
		{"GET /follow?Prefix=c/&From=17&HoldMs=2500\n", 200, "{\"Log\":[]}"},
	};
	struct event_results got = {.mod_revision = {431, 17}};

	(void)state;
	contract_run_exchanges(watch_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.mod_revision[0], 431);
	assert_int_equal(got.rc[1], FL_KV_OUTCOME_UNKNOWN);
	assert_int_equal(got.mod_revision[1], 17);
}

/* A job would be called unknown, or a write refused, by a reply of something other than the store.
 */
static void a_refusal_without_a_revision_shows_nothing(void **state)
{
	static const struct contract_exchange keys[] = {
		{"GET /keys/a/b\n", 404, "{}"},
		{"GET /keys/a/c\n", 404, "{\"LedgerRev\":"},
		{"GET /keys/a/none\n", 404, ""},
	};
	struct get_results got = {0};

	(void)state;
	contract_run_exchanges(read_keys, &got, keys, COUNT_OF(keys));
	for (int i = 0; i < 3; i++)
		assert_int_equal(got.rc[i], FL_KV_OUTCOME_UNKNOWN);
}

struct txn_results {
	int rc[3];
	uint64_t mod_revision[3];
	char failed[3][FL_KEY_MAX];
};

static void send_transactions(const char *address, void *results)
{
	struct txn_results *got = results;
	struct fl_kv_store kv_store;
	struct fl_kv_txn txn;

	fl_kv_init(&kv_store, address);
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, "a/b", 0);
	fl_kv_txn_expect_revision(&txn, "c/d", 412);
	fl_kv_txn_put(&txn, "a/b", cJSON_CreateString("leased"), 7);
	fl_kv_txn_put(&txn, "a/c", cJSON_CreateNumber(8.5), 0);
	fl_kv_txn_delete(&txn, "c/d");
	got->rc[0] = fl_kv_txn_commit(&kv_store, &txn, &got->mod_revision[0], got->failed[0]);
	fl_kv_txn_init(&txn);
	fl_kv_txn_expect_revision(&txn, "c/d", 412);
	got->rc[1] = fl_kv_txn_commit(&kv_store, &txn, &got->mod_revision[1], got->failed[1]);
	fl_kv_txn_init(&txn);
	fl_kv_txn_put(&txn, "a/b", cJSON_CreateTrue(), 6);
	got->rc[2] = fl_kv_txn_commit(&kv_store, &txn, &got->mod_revision[2], got->failed[2]);
	fl_http_client_close(&kv_store.client);
	fl_http_client_close(&kv_store.watch_client);
}

static void a_transaction_has_conditions_writes_deletions_and_leases(void **state)
{
	static const struct contract_exchange script[] = {
		{"POST /multi\n"
	         "{\"When\":[{\"Key\":\"a/b\",\"KeyRev\":0},{\"Key\":\"c/d\",\"KeyRev\":412}],"
	         "\"Apply\":[{\"Put\":\"a/b\",\"V\":\"leased\",\"Grant\":7},"
	         "{\"Put\":\"a/c\",\"V\":8.5},{\"Delete\":\"c/d\"}]}",
	         200, "{\"LedgerRev\":432}"},
		{"POST /multi\n{\"When\":[{\"Key\":\"c/d\",\"KeyRev\":412}],\"Apply\":[]}", 409,
	         "{\"failed\":[\"c/d\",\"a/b\"],\"LedgerRev\":431}"},
		{"POST /multi\n"
	         "{\"When\":[],\"Apply\":[{\"Put\":\"a/b\",\"V\":true,\"Grant\":6}]}",
	         400, "{\"error\":\"no such lease\"}"},
	};
	struct txn_results got = {0};

	(void)state;
	contract_run_exchanges(send_transactions, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.mod_revision[0], 432);
	assert_int_equal(got.rc[1], FL_KV_COMPARE_FAILED);
	assert_string_equal(got.failed[1], "c/d");
	assert_int_equal(got.rc[2], FL_KV_INVALID);
}

/* Sends a large transaction twice, the second time in the form that its refusal calls for. */
static void send_large_transactions(const char *address, void *result)
{
	const struct fl_kv_write_limits current = {.value_bytes = 4096, .txn_operations = 8},
					announced = {.value_bytes = 2048, .txn_operations = 2};
	struct txn_results *got = result;
	struct fl_kv_store kv_store;
	struct fl_kv_txn txn;

	fl_kv_init(&kv_store, address);
	fl_kv_limits_init(&kv_store.limits, &current, &announced);
	fl_kv_txn_init(&txn);
	for (int i = 0; i < 3; i++)
		fl_kv_txn_delete(&txn, "a/b");
	got->rc[0] = fl_kv_txn_commit(&kv_store, &txn, &got->mod_revision[0], got->failed[0]);
	got->mod_revision[0] = (uint64_t)kv_store.limits.in_force.txn_operations;
	fl_kv_txn_init(&txn);
	fl_kv_txn_delete(&txn, "a/b");
	got->rc[1] = fl_kv_txn_commit(&kv_store, &txn, &got->mod_revision[1], got->failed[1]);
	fl_http_client_close(&kv_store.client);
	fl_http_client_close(&kv_store.watch_client);
}

/* The store's error text is not specified, so only the transaction's size tells why it is refused.
 */
static void a_refused_transaction_above_the_announced_limits_is_too_large(void **state)
{
	static const struct contract_exchange script[] = {
		{"POST /multi\n"
	         "{\"When\":[],\"Apply\":[{\"Delete\":\"a/b\"},{\"Delete\":\"a/"
	         "b\"},{\"Delete\":\"a/b\"}]}",
	         400, "{\"error\":\"large\"}"},
		{"POST /multi\n{\"When\":[],\"Apply\":[{\"Delete\":\"a/b\"}]}", 400,
	         "{\"error\":\"?\"}"},
	};
	struct txn_results got = {0};

	(void)state;
	contract_run_exchanges(send_large_transactions, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_TOO_LARGE);
	assert_int_equal(got.mod_revision[0], 2);
	assert_int_equal(got.rc[1], FL_KV_INVALID);
}

/* Sends a transaction over an idle connection that has failed; *result is an fl_kv_result. */
static void send_transaction_over_failed_connection(const char *address, void *result)
{
	struct fl_kv_store kv_store;
	struct fl_kv_txn txn;
	uint64_t revision;
	cJSON *value;

	fl_kv_init(&kv_store, address);
	assert_int_equal(fl_kv_get(&kv_store, "a/b", &value, &revision, NULL), FL_KV_NOT_FOUND);
	assert_int_equal(kv_store.client.idle_count, 1);
	shutdown(kv_store.client.idle_fds[0], SHUT_RDWR);
	fl_kv_txn_init(&txn);
	*(enum fl_kv_result *)result = fl_kv_txn_commit(&kv_store, &txn, &revision, NULL);
	fl_http_client_close(&kv_store.client);
	fl_http_client_close(&kv_store.watch_client);
}

/*
 * Guards against a write that is taken for refused and is executed nevertheless: the connection was
 * reset without a response, the client sent the write once more, and only this copy was refused.
 */
static void a_write_that_was_sent_twice_is_not_known_to_be_refused(void **state)
{
	static const int refusals[] = {503, 429, 400};

	(void)state;
	for (int i = 0; i < COUNT_OF(refusals); i++) {
		const struct contract_exchange script[] = {
			{"GET /keys/a/b\n", 404, "{\"LedgerRev\":431}"},
			{"POST /multi\n{\"When\":[],\"Apply\":[]}", refusals[i], "{}"},
		};
		enum fl_kv_result result = FL_KV_OK;

		contract_run_exchanges(send_transaction_over_failed_connection, &result, script,
		                       COUNT_OF(script));
		assert_int_equal(result, FL_KV_OUTCOME_UNKNOWN);
	}
}

struct lease_results {
	int rc[8];
	uint64_t lease_id;
};

static void use_leases(const char *address, void *results)
{
	struct lease_results *got = results;
	struct fl_kv_store kv_store;
	uint64_t unused_lease_id;

	fl_kv_init(&kv_store, address);
	got->rc[0] = fl_kv_lease_grant(&kv_store, 5.25, &got->lease_id);
	got->rc[1] = fl_kv_lease_grant(&kv_store, 5, &unused_lease_id);
	got->rc[2] = fl_kv_lease_keep_alive(&kv_store, 7, 5);
	got->rc[3] = fl_kv_lease_keep_alive(&kv_store, 8, 5);
	got->rc[4] = fl_kv_lease_keep_alive(&kv_store, 7, 5);
	got->rc[5] = fl_kv_lease_revoke(&kv_store, 7);
	got->rc[6] = fl_kv_lease_revoke(&kv_store, 8);
	fl_http_client_close(&kv_store.client);
	fl_http_client_close(&kv_store.watch_client);
}

static void a_lease_is_granted_renewed_and_revoked(void **state)
{
	static const struct contract_exchange script[] = {
		{"POST /holds\n{\"TtlMs\":5250}", 200, "{\"Grant\":7}"},
		{"POST /holds\n{\"TtlMs\":5000}", 429, "{}"},
		{"POST /holds/7/extend\n{}", 200, "{}"},
		{"POST /holds/8/extend\n{}", 404, "{}"},
		{"POST /holds/7/extend\n{}", 503, "{}"},
		{"DELETE /holds/7\n", 200, "{}"},
		{"DELETE /holds/8\n", 404, "{}"},
	};
	struct lease_results got = {0};

	(void)state;
	contract_run_exchanges(use_leases, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.lease_id, 7);
	assert_int_equal(got.rc[1], FL_KV_UNAVAILABLE);
	assert_int_equal(got.rc[2], FL_KV_OK);
	assert_int_equal(got.rc[3], FL_KV_NOT_FOUND);
	assert_int_equal(got.rc[4], FL_KV_UNAVAILABLE);
	assert_int_equal(got.rc[5], FL_KV_OK);
	assert_int_equal(got.rc[6], FL_KV_NOT_FOUND);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_key_is_read_with_its_revision_and_lease),
		cmocka_unit_test(keys_are_listed_page_by_page),
		cmocka_unit_test(a_list_is_not_complete_while_more_keys_are_announced),
		cmocka_unit_test(a_watch_returns_writes_and_deletions),
		cmocka_unit_test(a_watch_reply_without_its_log_is_not_skipped),
		cmocka_unit_test(a_refusal_without_a_revision_shows_nothing),
		cmocka_unit_test(a_transaction_has_conditions_writes_deletions_and_leases),
		cmocka_unit_test(a_refused_transaction_above_the_announced_limits_is_too_large),
		cmocka_unit_test(a_write_that_was_sent_twice_is_not_known_to_be_refused),
		cmocka_unit_test(a_lease_is_granted_renewed_and_revoked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
