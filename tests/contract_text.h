/*
 * Literal JSON texts compared byte for byte with what the code under test makes of them, for the
 * contract tests of the wire and of the stored records.
 */
#ifndef FL_TESTS_CONTRACT_TEXT_H
#define FL_TESTS_CONTRACT_TEXT_H

#include "protocol/json.h"
#include "protocol/users.h"

#define COUNT_OF(array) ((int)(sizeof(array) / sizeof((array)[0])))

/* The tree of a text that must be JSON; the caller deletes it. */
cJSON *parse_json(const char *text);

/* The text, which is freed, is exactly the expected one. */
void assert_text_and_free(char *text, const char *expected);

/* The tree, which is freed, has exactly this text. */
void assert_json_text_and_delete(cJSON *tree, const char *expected);

/* All fields of two job descriptions are equal. */
void assert_job_spec_equal(const struct fl_job_spec *got, const struct fl_job_spec *expected);

#endif
