/*
 * A key-value store in virtual time (kv_model.h) that refuses, delays or answers each write as the
 * test says. It defines fl_http_call(), so that a node under test sends all its requests to it.
 */
#ifndef FL_TESTS_SCRIPTED_STORE_H
#define FL_TESTS_SCRIPTED_STORE_H

#include "kv_model.h"

enum { SCRIPTED_WRITES_MAX = 8 };

/* What the store does with a write. */
enum write_fate {
	WRITE_ANSWERED,  /* executes and answers it */
	WRITE_REFUSED,   /* answers 503 */
	WRITE_THROTTLED, /* answers 429 */
	WRITE_DELAYED    /* keeps it without an answer, until the test executes it */
};

struct scripted_write {
	enum write_fate fate;
	double answer_after_s;
};

struct scripted_store {
	struct kv_model model;
	/* Larger transactions are answered with 400, and more changes with 429; 0: no limits. */
	struct kv_model_limits limits;
	double write_tokens, tokens_updated_at;
	int too_large_count, throttled_count; /* transactions refused for the limits */
	/* Of the former, those that are equal to the one refused before. */
	int repeated_too_large_count;
	char *last_too_large; /* body; NULL: none */
	struct scripted_write writes[SCRIPTED_WRITES_MAX];
	char *cloud_response; /* to a request for the machine types; NULL: 503 */
	int write_count;      /* writes received so far; with limits, those beyond the script are
	                         answered */
	cJSON *delayed_write; /* NULL: none, or executed */
};

extern struct scripted_store scripted_store;

/* Begins with an empty store, which answers all writes. */
void scripted_store_begin(void);
void scripted_store_end(void);
/* Sets what the store does with the next `count` writes, beginning with the first one. */
void scripted_store_script(const struct scripted_write *writes, int count);
/* The same with the writes as arguments: SCRIPT_WRITES({.fate = WRITE_DELAYED}, ...). */
#define SCRIPT_WRITES(...)                                                                         \
	scripted_store_script((const struct scripted_write[]){__VA_ARGS__},                        \
	                      (int)(sizeof((const struct scripted_write[]){__VA_ARGS__}) /         \
	                            sizeof(struct scripted_write)))
/* Stores a value, which it deletes, under the key; returns its revision. */
uint64_t scripted_store_put(const char *key, cJSON *value);
/* Executes the delayed write; returns the status that it would be answered with. */
int scripted_store_execute_delayed_write(void);

#endif
