/*
 * Comparison of literal JSON texts, byte for byte, with the output of the code under test, for the
 * contract tests of messages and of stored records.
 */
#ifndef FL_TESTS_CONTRACT_TEXT_H
#define FL_TESTS_CONTRACT_TEXT_H

#include "protocol/json.h"
#include "protocol/users.h"

#define COUNT_OF(array) ((int)(sizeof(array) / sizeof((array)[0])))

/* Returns the tree of a text, which must be valid JSON; the caller deletes it. */
cJSON *parse_json(const char *text);

/* Asserts that the text is exactly the expected one, and frees it. */
void assert_text_and_free(char *text, const char *expected);

/* Asserts that the tree is encoded as exactly this text, and deletes it. */
void assert_json_text_and_delete(cJSON *tree, const char *expected);

/* Asserts that all fields of two job descriptions are equal. */
void assert_job_spec_equal(const struct fl_job_spec *got, const struct fl_job_spec *expected);

#endif
