/*
 * One node in virtual time, with a key-value store that holds literal records and takes down, byte
 * for byte, what is written to it.
 */
#ifndef FL_TESTS_CONTRACT_STORE_FIXTURE_H
#define FL_TESTS_CONTRACT_STORE_FIXTURE_H

#include "coordination/node.h"

enum { KEYS_MAX = 8, WRITES_MAX = 16, TEXT_MAX = 8192 };

struct contract_store {
	struct fl_node node;
	struct fl_config config;
	struct {
		const char *key, *value;
		int mod_revision, lease_id;
	} stored[KEYS_MAX];
	int stored_count;
	char written[WRITES_MAX][TEXT_MAX]; /* the transactions, in their order */
	int written_count;
	const char *event;  /* what the watches learn once; NULL: nothing */
	bool lists_refused; /* of the key-value store */
	int lease_grants, revoked_lease;
	void (*action)(struct fl_node *node);
	int result; /* of that, where it has one; 0 is good */
};

extern struct contract_store world;

/* Before and after each test: `state` is the node, and nothing is stored. */
int begin_node(void **state);

int end_node(void **state);

/* Stores the literal under the key; lease 0 is none. */
void store_record(const char *key, const char *value, int mod_revision, int lease_id);

/* Runs this as the node, for so long. */
void run_as_node(void (*action)(struct fl_node *node), double seconds);

/* Among the transactions there is this one, byte for byte. */
void assert_written(const char *expected);

#endif
