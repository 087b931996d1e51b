/*
 * Typed reading of cJSON trees. Each field is checked for type and range when it is read, so the
 * layers above hold only valid values. Reading does not change a tree; an output is written only if
 * the result is FL_JSON_OK.
 */
#ifndef FL_PROTOCOL_JSON_H
#define FL_PROTOCOL_JSON_H

#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The result of reading a field. A null field is ABSENT. */
enum fl_json_result { FL_JSON_OK = 0, FL_JSON_ABSENT = 1, FL_JSON_INVALID = -1 };

/* The result of decoding a whole message or record. Unless it is OK, the caller owns nothing. */
enum fl_decode_result {
	FL_DECODE_OK = 0,
	FL_DECODE_MALFORMED, /* the input is invalid and a retry will fail: reject or log it */
	FL_DECODE_NO_MEMORY  /* the input may be valid: decoding may be retried */
};

/* The largest value up to which a double represents every integer exactly. */
#define FL_JSON_UINT_MAX (1ULL << 53)

/*
 * Parses JSON like cJSON_Parse, but the whole input must be one value in UTF-8, of limited nesting
 * depth and without a NUL, escaped or not. `text[length]` must be NUL. The caller owns the tree;
 * NULL: malformed input, or out of memory.
 */
cJSON *fl_json_parse(const char *text, size_t length);
/* Reads a string that fits into `capacity` bytes with its terminator; `value` may be NULL. */
enum fl_json_result fl_json_read_string(const cJSON *value, char *out, size_t capacity);
/* Reads a string from a field, as fl_json_read_string does. */
enum fl_json_result fl_json_get_string(const cJSON *object, const char *key, char *out,
                                       size_t capacity);
/* Reads a number between 0 and 1e12 from a field. */
enum fl_json_result fl_json_get_amount(const cJSON *object, const char *key, double *out);
/* Reads an integer between 0 and FL_JSON_UINT_MAX from a field. */
enum fl_json_result fl_json_get_uint(const cJSON *object, const char *key, uint64_t *out);
/* Reads an integer between 0 and `max` from an array. */
enum fl_json_result fl_json_get_uint_at(const cJSON *array, int index, uint64_t max, uint64_t *out);
/* The number of elements of an array, which must not be a function parameter. */
#define FL_COUNT_OF(array) ((int)(sizeof(array) / sizeof((array)[0])))
/* Reads a string from a field; sets `*out` to its index in `names`, INVALID if not in `names`. */
enum fl_json_result fl_json_get_choice(const cJSON *object, const char *key,
                                       const char *const *names, int name_count, int *out);
/* Reads a boolean from a field. */
enum fl_json_result fl_json_get_bool(const cJSON *object, const char *key, bool *out);
/* Returns the value of a field, owned by the tree; NULL if it is absent or null. */
const cJSON *fl_json_get(const cJSON *object, const char *key);
/* Prints the tree and always deletes it. The caller frees the text; NULL: out of memory. */
char *fl_json_print_and_delete(cJSON *object);
/*
 * Returns the body of an error response, {"error":"..."}, which the caller frees; NULL: out of
 * memory. The text is for users and names a field as they write it (FL_FIELD_* in users.h).
 */
char *fl_json_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
