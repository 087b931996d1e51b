/*
 * The record of the machine types: one value or, if that would be too large for the key-value
 * store, several under FL_KEY_MACHINE_TYPES and FL_KEY_MACHINE_TYPES "/<n>". All values of one
 * write have the same set number, by which a reader sees that it has not mixed two writes.
 */
#ifndef FL_STORAGE_MACHINE_TYPE_RECORDS_H
#define FL_STORAGE_MACHINE_TYPE_RECORDS_H

#include "protocol/cloud.h"
#include "protocol/kv_store.h"

/* Maximum number of values in the record; the cloud offers at most 32 machine types. */
enum { FL_MACHINE_TYPE_VALUES_MAX = 1024 };

/* Consecutive machine types that share a value. */
struct fl_machine_types_value {
	const struct fl_cloud_machine_type *types; /* borrowed */
	int count;
};

/* How many values the record has, and the number that they share. */
struct fl_machine_types_set {
	int value_count;
	uint64_t number; /* not used if there is one value */
};

/* Writes the key of a value; `index` counts from 0. */
void fl_key_machine_types(char key[FL_KEY_MAX], int index);
/*
 * Distributes the types over values of at most `value_bytes`, or with one type each if that is
 * larger; `values` has room for one value for each type. Returns the number of values.
 */
int fl_machine_types_split(const struct fl_cloud_machine_type *types, int count, size_t value_bytes,
                           struct fl_machine_types_value *values);
/* Encodes a value of the record; the caller owns the tree. */
cJSON *fl_machine_types_value_encode(const struct fl_machine_types_value *value,
                                     const struct fl_machine_types_set *set);
/* Decodes the set that a value belongs to; a value without one is the only one of its record. */
enum fl_decode_result fl_machine_types_set_decode(const cJSON *value,
                                                  struct fl_machine_types_set *out);

#endif
