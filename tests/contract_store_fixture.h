/*
 * One node in virtual time, with a key-value store that holds literal records and keeps every
 * transaction that is written to it, byte for byte.
 */
#ifndef FL_TESTS_CONTRACT_STORE_FIXTURE_H
#define FL_TESTS_CONTRACT_STORE_FIXTURE_H

#include "coordination/node.h"

enum { STORED_RECORDS_MAX = 8, TRANSACTIONS_MAX = 16, TRANSACTION_TEXT_MAX = 8192 };

struct contract_store {
	struct fl_node node;
	struct fl_config config;
	struct {
		const char *key, *value;
		int mod_revision, lease_id;
	} stored[STORED_RECORDS_MAX];
	int stored_count;
	char transactions[TRANSACTIONS_MAX]
			 [TRANSACTION_TEXT_MAX]; /* bodies, in the order of arrival */
	int transaction_count;
	const char *watch_events; /* JSON events that the next watch of "c/" returns; NULL: none */
	bool lists_unavailable;   /* lists get 503 */
	int lease_grant_count, revoked_lease_id;
	void (*action)(struct fl_node *node);
	int action_result; /* set by the action if it has a result; 0: success */
};

extern struct contract_store store_fixture;

/* Run before and after each test. `*state` becomes the node; the store is empty at first. */
int set_up_node(void **state);

int tear_down_node(void **state);

/* Stores the literal value under the key; lease 0: none. Neither string is copied. */
void store_record(const char *key, const char *value, int mod_revision, int lease_id);

/* Runs the action in a coroutine of the node, for this many seconds of virtual time. */
void run_action_on_node(void (*action)(struct fl_node *node), double seconds);

/* Asserts that one of the written transactions is exactly this one. */
void assert_transaction_written(const char *expected);

#endif
