/* Typed reading of cJSON trees: every field is checked for type and range where it enters. */
#ifndef FL_PROTOCOL_JSON_H
#define FL_PROTOCOL_JSON_H

#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The result of reading a field; ABSENT also if it is null. */
enum fl_json_result { FL_JSON_OK = 0, FL_JSON_ABSENT = 1, FL_JSON_INVALID = -1 };

/* Like cJSON_Parse, but whole input only and with a bound on nesting. */
cJSON *fl_json_parse(const char *text, size_t len);
/* A string that fits into `cap` bytes with its terminator. */
enum fl_json_result fl_json_get_string(const cJSON *object, const char *key, char *out, size_t cap);
/* A number from 0 to 1e12. */
enum fl_json_result fl_json_get_amount(const cJSON *object, const char *key, double *out);
/* A whole number from 0 to FL_COUNT_MAX. */
enum fl_json_result fl_json_get_count(const cJSON *object, const char *key, uint64_t *out);
/* The largest integer up to which a double holds each exactly. */
#define FL_COUNT_MAX (1ULL << 53)
/* A whole number in an array; BAD beyond `most`. */
enum fl_json_result fl_json_get_item(const cJSON *array, int at, uint64_t most, uint64_t *out);
/* One of these names: its index. INVALID also if it is none of them. */
enum fl_json_result fl_json_get_choice(const cJSON *object, const char *key,
                                       const char *const *names, int name_count, int *out);
/* True or false. */
enum fl_json_result fl_json_get_bool(const cJSON *object, const char *key, bool *out);
/* The field's value; NULL if it is absent or null. */
const cJSON *fl_json_get(const cJSON *object, const char *key);
/* Prints and frees the tree. */
char *fl_json_print_and_delete(cJSON *object);
/* The body of an error answer, to be freed. */
char *fl_json_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
