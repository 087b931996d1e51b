#include "protocol/json.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "transport/text.h"

static const struct {
	int max_depth;
} tunables = {
	.max_depth = 32, /* levels; the cJSON parser recurses, and a coroutine's stack is small */
};

static const double amount_max = 1e12;

/*
 * Returns the position after the closing quote of the string whose opening quote is just before
 * `position`, or `length` if it has no closing quote. Returns 0 if the string contains an escaped
 * NUL, at which cJSON would truncate it.
 */
static size_t find_string_end(const char *text, size_t position, size_t length)
{
	while (position < length) {
		const char *quote = memchr(text + position, '"', length - position);
		size_t end = quote ? (size_t)(quote - text) : length;
		const char *escape = memchr(text + position, '\\', end - position);

		if (!escape)
			return quote ? end + 1 : length;
		position = (size_t)(escape - text);
		if (length - position >= 6 && memcmp(escape, "\\u0000", 6) == 0)
			return 0;
		position += 2;
	}
	return length;
}

/* Returns whether the nesting is within the limit and no string contains an escaped NUL. */
static bool is_safe_for_cjson(const char *text, size_t length)
{
	int depth = 0;

	for (size_t i = 0; i < length;) {
		char next = text[i++];

		if (next == '"') {
			i = find_string_end(text, i, length);
			if (i == 0)
				return false;
		} else if (next == '[' || next == '{') {
			if (++depth > tunables.max_depth)
				return false;
		} else if (next == ']' || next == '}') {
			depth--;
		}
	}
	return true;
}

/* Returns how many leading bytes are known to be ASCII, tested in words of 8 bytes. */
static size_t ascii_prefix_length(const char *text, size_t length)
{
	const uint64_t high_bits = 0x8080808080808080;
	size_t i = 0;

	for (; i + sizeof(uint64_t) <= length; i += sizeof(uint64_t)) {
		uint64_t word;

		memcpy(&word, text + i, sizeof(word));
		if (word & high_bits)
			break;
	}
	return i;
}

/* Returns the length of the UTF-8 character that begins with this byte, if the byte is valid. */
static size_t utf8_length_from_lead_byte(unsigned char lead)
{
	if (lead < 0x80)
		return 1;
	if (lead < 0xe0)
		return 2;
	return lead < 0xf0 ? 3 : 4;
}

/* Returns whether the bytes are an overlong encoding, a surrogate, or above U+10FFFF. */
static bool is_utf8_out_of_range(const unsigned char *bytes)
{
	switch (bytes[0]) {
	case 0xe0:
		return bytes[1] < 0xa0;
	case 0xed:
		return bytes[1] > 0x9f;
	case 0xf0:
		return bytes[1] < 0x90;
	case 0xf4:
		return bytes[1] > 0x8f;
	default:
		return false;
	}
}

/* Returns the length of the character at `bytes`; 0 if it is invalid or overlong. */
static size_t utf8_length(const unsigned char *bytes, size_t available)
{
	size_t length = utf8_length_from_lead_byte(bytes[0]);

	if (length == 1)
		return 1;
	if (bytes[0] < 0xc2 || bytes[0] > 0xf4 || length > available)
		return 0;
	for (size_t i = 1; i < length; i++)
		if ((bytes[i] & 0xc0) != 0x80)
			return 0;
	return is_utf8_out_of_range(bytes) ? 0 : length;
}

/*
 * Returns whether the text is valid UTF-8. cJSON accepts any bytes, but JSON must be UTF-8: a name
 * in another encoding would be accepted here and rejected by the key-value store, on every retry by
 * its user.
 */
static bool is_utf8(const char *text, size_t length)
{
	size_t i = ascii_prefix_length(text, length);

	while (i < length) {
		size_t step = utf8_length((const unsigned char *)text + i, length - i);

		if (step == 0)
			return false;
		i += step;
	}
	return true;
}

cJSON *fl_json_parse(const char *text, size_t length)
{
	/* An embedded NUL would truncate the text, and the rest would be ignored. */
	if (!text || memchr(text, 0, length) || !is_safe_for_cjson(text, length) ||
	    !is_utf8(text, length))
		return NULL;
	return cJSON_ParseWithLengthOpts(text, length + 1, NULL, 1);
}

const cJSON *fl_json_get(const cJSON *object, const char *key)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, key);

	return value && !cJSON_IsNull(value) ? value : NULL;
}

enum fl_json_result fl_json_read_string(const cJSON *value, char *out, size_t capacity)
{
	if (!value || cJSON_IsNull(value))
		return FL_JSON_ABSENT;
	if (!cJSON_IsString(value) || strlen(value->valuestring) >= capacity)
		return FL_JSON_INVALID;
	fl_copy_string(out, capacity, value->valuestring);
	return FL_JSON_OK;
}

enum fl_json_result fl_json_get_string(const cJSON *object, const char *key, char *out,
                                       size_t capacity)
{
	return fl_json_read_string(fl_json_get(object, key), out, capacity);
}

enum fl_json_result fl_json_get_amount(const cJSON *object, const char *key, double *out)
{
	const cJSON *value = fl_json_get(object, key);

	if (!value)
		return FL_JSON_ABSENT;
	if (!cJSON_IsNumber(value) || !isfinite(value->valuedouble) || value->valuedouble < 0 ||
	    value->valuedouble > amount_max)
		return FL_JSON_INVALID;
	*out = value->valuedouble;
	return FL_JSON_OK;
}

static enum fl_json_result read_uint(const cJSON *value, uint64_t max, uint64_t *out)
{
	if (!value)
		return FL_JSON_ABSENT;
	if (!cJSON_IsNumber(value) || !(value->valuedouble >= 0) ||
	    value->valuedouble > (double)max || value->valuedouble != floor(value->valuedouble))
		return FL_JSON_INVALID;
	*out = (uint64_t)value->valuedouble;
	return FL_JSON_OK;
}

enum fl_json_result fl_json_get_uint(const cJSON *object, const char *key, uint64_t *out)
{
	return read_uint(fl_json_get(object, key), FL_JSON_UINT_MAX, out);
}

enum fl_json_result fl_json_get_uint_at(const cJSON *array, int index, uint64_t max, uint64_t *out)
{
	return read_uint(cJSON_GetArrayItem(array, index), max, out);
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
	char *text = cJSON_PrintUnformatted(object);

	cJSON_Delete(object);
	return text;
}

char *fl_json_error(const char *fmt, ...)
{
	cJSON *object = cJSON_CreateObject();
	char text[256];
	va_list arguments;

	va_start(arguments, fmt);
	vsnprintf(text, sizeof(text), fmt, arguments);
	va_end(arguments);
	cJSON_AddStringToObject(object, "error", text);
	return fl_json_print_and_delete(object);
}
