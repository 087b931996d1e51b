#include "storage/machine_type_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "storage/keys.h"

void fl_key_machine_types(char key[FL_KEY_MAX], int index)
{
	if (index == 0)
		snprintf(key, FL_KEY_MAX, "%s", FL_KEY_MACHINE_TYPES);
	else
		snprintf(key, FL_KEY_MAX, FL_KEY_MACHINE_TYPES "/%d", index);
}

/* Returns the size of a value with `count` of the types, and with a bound of its set's fields. */
static size_t encoded_bytes(const struct fl_cloud_machine_type *types, int count)
{
	const struct fl_machine_types_value value = {types, count};
	const struct fl_machine_types_set largest_set = {.value_count = FL_MACHINE_TYPE_VALUES_MAX,
	                                                 .number = FL_JSON_UINT_MAX};
	char *text = fl_json_print_and_delete(fl_machine_types_value_encode(&value, &largest_set));
	size_t bytes = text ? strlen(text) : 0;

	free(text);
	return bytes;
}

int fl_machine_types_split(const struct fl_cloud_machine_type *types, int count, size_t value_bytes,
                           struct fl_machine_types_value *values)
{
	size_t empty_bytes = encoded_bytes(types, 0), used = 0;
	int value_count = 0;

	for (int i = 0; i < count; i++) {
		size_t type_bytes = encoded_bytes(&types[i], 1) - empty_bytes + strlen(",");

		if (value_count == 0 || used + type_bytes > value_bytes) {
			values[value_count++] = (struct fl_machine_types_value){&types[i], 0};
			used = empty_bytes;
		}
		values[value_count - 1].count++;
		used += type_bytes;
	}
	return value_count;
}

cJSON *fl_machine_types_value_encode(const struct fl_machine_types_value *value,
                                     const struct fl_machine_types_set *set)
{
	cJSON *object = fl_machine_types_encode(value->types, value->count);

	if (set->value_count > 1) {
		cJSON_AddNumberToObject(object, "values", set->value_count);
		cJSON_AddNumberToObject(object, "set", (double)set->number);
	}
	return object;
}

enum fl_decode_result fl_machine_types_set_decode(const cJSON *value,
                                                  struct fl_machine_types_set *out)
{
	uint64_t value_count = 1;

	out->number = 0;
	if (fl_json_get_uint(value, "values", &value_count) == FL_JSON_INVALID ||
	    fl_json_get_uint(value, "set", &out->number) == FL_JSON_INVALID || value_count < 1 ||
	    value_count > FL_MACHINE_TYPE_VALUES_MAX)
		return FL_DECODE_MALFORMED;
	out->value_count = (int)value_count;
	return FL_DECODE_OK;
}
