/* A node in virtual time with a key-value store of literal records, and the writes to the store. */
#include "contract_store_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "contract_records_fixture.h"
#include "copy_text.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

enum { PROCESS = 1, LEASE_ID = 7 };

struct contract_store store_fixture;

void sim_process_delay_if_slow(int process) { (void)process; }

void store_record(const char *key, const char *value, int mod_revision, int lease_id)
{
	int index = store_fixture.stored_count++;

	sim_require(index < STORED_RECORDS_MAX);
	store_fixture.stored[index].key = key;
	store_fixture.stored[index].value = value;
	store_fixture.stored[index].mod_revision = mod_revision;
	store_fixture.stored[index].lease_id = lease_id;
}

static int answer_get(const char *key, struct fl_buffer *body)
{
	for (int i = 0; i < store_fixture.stored_count; i++)
		if (strcmp(store_fixture.stored[i].key, key) == 0) {
			fl_buffer_printf(body, "{\"V\":%s,\"KeyRev\":%d,\"Grant\":%d}",
			                 store_fixture.stored[i].value,
			                 store_fixture.stored[i].mod_revision,
			                 store_fixture.stored[i].lease_id);
			return 200;
		}
	fl_buffer_printf(body, "{\"LedgerRev\":431}");
	return 404;
}

static int answer_list(const char *query, struct fl_buffer *body)
{
	size_t length = strcspn(query, "&");
	const char *comma = "";

	if (store_fixture.lists_unavailable)
		return 503;
	fl_buffer_printf(body, "{\"Items\":[");
	for (int i = 0; i < store_fixture.stored_count; i++)
		if (strncmp(store_fixture.stored[i].key, query, length) == 0) {
			fl_buffer_printf(body, "%s{\"Key\":\"%s\",\"V\":%s,\"KeyRev\":%d}", comma,
			                 store_fixture.stored[i].key, store_fixture.stored[i].value,
			                 store_fixture.stored[i].mod_revision);
			comma = ",";
		}
	fl_buffer_printf(body, "],\"More\":false,\"LedgerRev\":90}");
	return 200;
}

static int answer_watch(const char *query, struct fl_buffer *body)
{
	const char *event = strncmp(query, "c/", 2) == 0 ? store_fixture.watch_events : NULL;

	if (event)
		store_fixture.watch_events = NULL;
	else
		fl_sleep(1);
	fl_buffer_printf(body, "{\"LedgerRev\":91,\"Log\":[%s]}", event ? event : "");
	return 200;
}

static int respond(const char *method, const char *path, const char *text, struct fl_buffer *body)
{
	static const char key[] = "/keys/", list[] = "/keys?Prefix=", watch[] = "/follow?Prefix=";

	if (strncmp(path, key, strlen(key)) == 0)
		return answer_get(path + strlen(key), body);
	if (strncmp(path, list, strlen(list)) == 0)
		return answer_list(path + strlen(list), body);
	if (strncmp(path, watch, strlen(watch)) == 0)
		return answer_watch(path + strlen(watch), body);
	if (strcmp(path, "/multi") == 0) {
		sim_require(store_fixture.transaction_count < TRANSACTIONS_MAX);
		copy_text(store_fixture.transactions[store_fixture.transaction_count++],
		          TRANSACTION_TEXT_MAX, text);
		fl_buffer_printf(body, "{\"LedgerRev\":92}");
	} else if (strcmp(path, "/machine_types") == 0) {
		fl_buffer_printf(body, "%s", MACHINE_TYPES_RECORD);
	} else if (strcmp(path, "/holds") == 0) {
		store_fixture.lease_grant_count++;
		fl_buffer_printf(body, "{\"Grant\":%d}", LEASE_ID);
	} else if (strcmp(method, "DELETE") == 0) {
		store_fixture.revoked_lease_id = atoi(path + strlen("/holds/"));
		/* A key is deleted when its lease is revoked. */
		for (int i = 0; i < store_fixture.stored_count; i++)
			if (store_fixture.stored[i].lease_id == store_fixture.revoked_lease_id)
				store_fixture.stored[i].key = "gone";
		fl_buffer_printf(body, "{}");
	} else {
		fl_buffer_printf(body, "{\"Hosts\":[],\"More\":false}");
	}
	return 200;
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	(void)client, (void)timeout_s;
	memset(out, 0, sizeof(*out));
	if (fl_sleep(0.002) != 0)
		return -ECANCELED;
	out->status = respond(method, path, body, &out->body);
	return 0;
}

int set_up_node(void **state)
{
	struct fl_node *node = &store_fixture.node;

	memset(&store_fixture, 0, sizeof(store_fixture));
	sim_time_begin();
	node->config = &store_fixture.config;
	strcpy(store_fixture.config.node, "host-1");
	strcpy(node->process_id, "host-1-18.75");
	store_fixture.config.core_share = 1;
	store_fixture.config.ram_mb = 64;
	store_fixture.config.state_rps = store_fixture.config.state_write_rps = 100;
	store_fixture.config.value_kb = 4;
	store_fixture.config.txn_ops = 64;
	store_fixture.config.cloud_rps = 1;
	store_fixture.config.report_s = 2;
	store_fixture.config.lease_s = 10;
	store_fixture.config.cancel_s = 40;
	node->machine_types_loaded = node->live_jobs_loaded = true;
	node->kv_store.last_failure_at = -1e9;
	fl_node_init_store_limits(node);
	add_zones_and_teams(&node->cluster);
	*state = node;
	return 0;
}

int tear_down_node(void **state)
{
	struct fl_cached_heartbeat *cached, *next;

	(void)state;
	virtual_time_end();
	HASH_ITER (hh, store_fixture.node.follower.cached_heartbeats, cached, next)
		fl_cached_heartbeat_drop(&store_fixture.node.follower, cached);
	fl_cluster_free(&store_fixture.node.cluster);
	return 0;
}

static void run_action(void *arg)
{
	(void)arg;
	store_fixture.action(&store_fixture.node);
}

void run_action_on_node(void (*action)(struct fl_node *node), double seconds)
{
	store_fixture.action = action;
	assert_non_null(sim_spawn(PROCESS, run_action, NULL));
	sim_time_run(fl_now() + seconds);
	assert_int_equal(store_fixture.action_result, 0);
}

void assert_transaction_written(const char *expected)
{
	for (int i = 0; i < store_fixture.transaction_count; i++)
		if (strcmp(store_fixture.transactions[i], expected) == 0)
			return;
	for (int i = 0; i < store_fixture.transaction_count; i++)
		print_message("transaction written: %s\n", store_fixture.transactions[i]);
	fail_msg("transaction not written: %s", expected);
}
