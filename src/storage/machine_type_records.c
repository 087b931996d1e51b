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

/* Returns the size of a value with these types; with a bound of the fields of its set. */
static size_t encoded_bytes(const struct fl_machine_types_value *value)
{
	const struct fl_machine_types_set largest_set = {.value_count = 99999,
	                                                 .number = UINT64_MAX >> 11};
	char *text = fl_json_print_and_delete(fl_machine_types_value_encode(value, &largest_set));
	size_t bytes = text ? strlen(text) : 0;

	free(text);
	return bytes;
}

int fl_machine_types_split(const struct fl_cloud_machine_type *types, int count, size_t value_bytes,
                           struct fl_machine_types_value *values)
{
	int value_count = 0;

	for (int i = 0; i < count; i++) {
		struct fl_machine_types_value *last = &values[value_count - 1];

		if (value_count > 0) {
			last->count++;
			if (encoded_bytes(last) <= value_bytes)
				continue;
			last->count--;
		}
		values[value_count++] = (struct fl_machine_types_value){&types[i], 1};
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
