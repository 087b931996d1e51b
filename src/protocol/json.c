#include "protocol/json.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "transport/text.h"

static const struct {
	int depth;
} tunables = {
	.depth = 32, /* levels; cJSON recurses, and a routine's stack is small */
};

/*
 * The end of a string that begins after its quote at `at`: the place behind the closing quote, or
 * `len` if there is none. 0: it holds an escaped NUL, at which cJSON ends it.
 */
static size_t string_end(const char *s, size_t at, size_t len)
{
	while (at < len) {
		const char *quote = memchr(s + at, '"', len - at);
		size_t end = quote ? (size_t)(quote - s) : len;
		const char *escape = memchr(s + at, '\\', end - at);

		if (!escape)
			return quote ? end + 1 : len;
		at = (size_t)(escape - s);
		if (len - at >= 6 && memcmp(escape, "\\u0000", 6) == 0)
			return 0;
		at += 2;
	}
	return len;
}

static bool shallow(const char *s, size_t len)
{
	int depth = 0;

	for (size_t i = 0; i < len;) {
		char c = s[i++];

		if (c == '"') {
			i = string_end(s, i, len);
			if (i == 0)
				return false;
		} else if (c == '[' || c == '{') {
			if (++depth > tunables.depth)
				return false;
		} else if (c == ']' || c == '}') {
			depth--;
		}
	}
	return true;
}

/* How many bytes at the start are surely ASCII, looked at a word at a time. */
static size_t ascii_prefix(const char *s, size_t len)
{
	const uint64_t high_bits = 0x8080808080808080;
	size_t i = 0;

	for (; i + sizeof(uint64_t) <= len; i += sizeof(uint64_t)) {
		uint64_t word;

		memcpy(&word, s + i, sizeof(word));
		if (word & high_bits)
			break;
	}
	return i;
}

/* How many bytes the character at `s` has; 0 if it is none, or could be written shorter. */
static size_t utf8_char(const unsigned char *s, size_t len)
{
	size_t n = s[0] < 0x80 ? 1 : s[0] < 0xe0 ? 2 : s[0] < 0xf0 ? 3 : 4;

	if (n == 1)
		return 1;
	if (s[0] < 0xc2 || s[0] > 0xf4 || n > len)
		return 0;
	for (size_t i = 1; i < n; i++)
		if ((s[i] & 0xc0) != 0x80)
			return 0;
	if ((s[0] == 0xe0 && s[1] < 0xa0) || (s[0] == 0xed && s[1] > 0x9f) ||
	    (s[0] == 0xf0 && s[1] < 0x90) || (s[0] == 0xf4 && s[1] > 0x8f))
		return 0;
	return n;
}

/*
 * cJSON passes any bytes on, but JSON is UTF-8: a name that is not would be accepted here and
 * refused by the state service, each time its user tries.
 */
static bool utf8(const char *s, size_t len)
{
	for (size_t i = ascii_prefix(s, len), n; i < len; i += n) {
		n = utf8_char((const unsigned char *)s + i, len - i);
		if (n == 0)
			return false;
	}
	return true;
}

cJSON *fl_json_parse(const char *text, size_t len)
{
	/* An embedded NUL would end the text early and hide what follows. */
	if (!text || memchr(text, 0, len) || !shallow(text, len) || !utf8(text, len))
		return NULL;
	return cJSON_ParseWithLengthOpts(text, len + 1, NULL, 1);
}

const cJSON *fl_json_get(const cJSON *object, const char *key)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, key);

	return value && !cJSON_IsNull(value) ? value : NULL;
}

enum fl_json_result fl_json_get_string(const cJSON *object, const char *key, char *out, size_t cap)
{
	const cJSON *value = fl_json_get(object, key);

	if (!value)
		return FL_JSON_ABSENT;
	if (!cJSON_IsString(value) || strlen(value->valuestring) >= cap)
		return FL_JSON_INVALID;
	fl_copy_string(out, cap, value->valuestring);
	return FL_JSON_OK;
}

enum fl_json_result fl_json_get_amount(const cJSON *object, const char *key, double *out)
{
	const cJSON *value = fl_json_get(object, key);

	if (!value)
		return FL_JSON_ABSENT;
	if (!cJSON_IsNumber(value) || !isfinite(value->valuedouble) || value->valuedouble < 0 ||
	    value->valuedouble > 1e12)
		return FL_JSON_INVALID;
	*out = value->valuedouble;
	return FL_JSON_OK;
}

static enum fl_json_result whole_number(const cJSON *value, uint64_t most, uint64_t *out)
{
	if (!value)
		return FL_JSON_ABSENT;
	if (!cJSON_IsNumber(value) || !(value->valuedouble >= 0) ||
	    value->valuedouble > (double)most || value->valuedouble != floor(value->valuedouble))
		return FL_JSON_INVALID;
	*out = (uint64_t)value->valuedouble;
	return FL_JSON_OK;
}

enum fl_json_result fl_json_get_count(const cJSON *object, const char *key, uint64_t *out)
{
	return whole_number(fl_json_get(object, key), FL_COUNT_MAX, out);
}

enum fl_json_result fl_json_get_item(const cJSON *array, int at, uint64_t most, uint64_t *out)
{
	return whole_number(cJSON_GetArrayItem(array, at), most, out);
}

enum fl_json_result fl_json_get_choice(const cJSON *object, const char *key,
                                       const char *const *names, int name_count, int *out)
{
	const cJSON *value = fl_json_get(object, key);

	if (!value)
		return FL_JSON_ABSENT;
	if (!cJSON_IsString(value))
		return FL_JSON_INVALID;
	for (int i = 0; i < name_count; i++) {
		if (strcmp(value->valuestring, names[i]) == 0) {
			*out = i;
			return FL_JSON_OK;
		}
	}
	return FL_JSON_INVALID;
}

enum fl_json_result fl_json_get_bool(const cJSON *object, const char *key, bool *out)
{
	const cJSON *value = fl_json_get(object, key);

	if (!value)
		return FL_JSON_ABSENT;
	if (!cJSON_IsBool(value))
		return FL_JSON_INVALID;
	*out = cJSON_IsTrue(value);
	return FL_JSON_OK;
}

char *fl_json_print_and_delete(cJSON *object)
{
	char *s = cJSON_PrintUnformatted(object);

	cJSON_Delete(object);
	return s;
}

char *fl_json_error(const char *fmt, ...)
{
	cJSON *object = cJSON_CreateObject();
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	cJSON_AddStringToObject(object, "error", text);
	return fl_json_print_and_delete(object);
}
