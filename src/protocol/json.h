/*
 * Typed reading of cJSON trees. Every field is checked for type and range where it enters, so the
 * layers above hold only values that are valid. Reading changes no tree; an output is written only
 * if the result is FL_JSON_OK.
 */
#ifndef FL_PROTOCOL_JSON_H
#define FL_PROTOCOL_JSON_H

#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The result of reading a field; ABSENT also if it is null. */
enum fl_json_result { FL_JSON_OK = 0, FL_JSON_ABSENT = 1, FL_JSON_INVALID = -1 };

/* The result of decoding a whole message or record. Unless it is OK, the caller owns nothing. */
enum fl_decode_result {
	FL_DECODE_OK = 0,
	FL_DECODE_MALFORMED, /* the same input will always fail: reject it, or log it */
	FL_DECODE_NO_MEMORY  /* the input may be valid: it may be tried again */
};

/* The largest integer up to which a double holds each exactly. */
#define FL_JSON_UINT_MAX (1ULL << 53)

/*
 * Like cJSON_Parse, but the whole input must be one value in UTF-8 of limited nesting without NUL,
 * escaped or not. `text[length]` must be NUL. The tree is the caller's; NULL: malformed, or no
 * memory.
 */
cJSON *fl_json_parse(const char *text, size_t length);
/* A string that fits into `capacity` bytes with its terminator; `value` may be NULL. */
enum fl_json_result fl_json_read_string(const cJSON *value, char *out, size_t capacity);
/* The same of a field. */
enum fl_json_result fl_json_get_string(const cJSON *object, const char *key, char *out,
                                       size_t capacity);
/* A number from 0 to 1e12. */
enum fl_json_result fl_json_get_amount(const cJSON *object, const char *key, double *out);
/* A whole number from 0 to FL_JSON_UINT_MAX. */
enum fl_json_result fl_json_get_uint(const cJSON *object, const char *key, uint64_t *out);
/* A whole number in an array, from 0 to `max`. */
enum fl_json_result fl_json_get_uint_at(const cJSON *array, int index, uint64_t max, uint64_t *out);
/* The items of an array that is no parameter. */
#define FL_COUNT_OF(array) ((int)(sizeof(array) / sizeof((array)[0])))
/* One of these names: its index. INVALID also if it is none of them. */
enum fl_json_result fl_json_get_choice(const cJSON *object, const char *key,
                                       const char *const *names, int name_count, int *out);
/* True or false. */
enum fl_json_result fl_json_get_bool(const cJSON *object, const char *key, bool *out);
/* The field's value, which stays the tree's; NULL if it is absent or null. */
const cJSON *fl_json_get(const cJSON *object, const char *key);
/* The text of the tree, to be freed; NULL without memory. The tree is deleted in any case. */
char *fl_json_print_and_delete(cJSON *object);
/*
 * The body of an error response, {"error":"..."}, to be freed; NULL without memory. Users read it:
 * a field is named as they write it (FL_FIELD_* in users.h).
 */
char *fl_json_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
