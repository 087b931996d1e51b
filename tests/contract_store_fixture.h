/*
 * One node in virtual time, with a key-value store that holds literal records and takes down, byte
 * for byte, what is written to it.
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
			 [TRANSACTION_TEXT_MAX]; /* the transactions, in their order */
	int transaction_count;
	const char *watch_events; /* what the watches learn once; NULL: nothing */
	bool lists_unavailable;   /* of the key-value store */
	int lease_grant_count, revoked_lease_id;
	void (*action)(struct fl_node *node);
	int action_result; /* of that, where it has one; 0 is good */
};

extern struct contract_store store_fixture;

/* Before and after each test: `state` is the node, and nothing is stored. */
int set_up_node(void **state);

int tear_down_node(void **state);

/* Stores the literal under the key; lease 0 is none. */
void store_record(const char *key, const char *value, int mod_revision, int lease_id);

/* Runs this as the node, for so long. */
void run_action_on_node(void (*action)(struct fl_node *node), double seconds);

/* Among the transactions there is this one, byte for byte. */
void assert_transaction_written(const char *expected);

#endif
