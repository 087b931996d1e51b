/*
 * Growth of dynamic arrays by doubling, and the index that a search returns if it finds nothing.
 * The caller owns the array and frees it; this module keeps no state.
 */
#ifndef FL_STORAGE_ARRAY_H
#define FL_STORAGE_ARRAY_H

#include <stddef.h>

/* Returned by a search for an index that finds nothing; valid indexes are 0 or greater. */
enum { FL_INDEX_NONE = -1 };

/*
 * Ensures that an array of `count` items has room for one more; the first allocation holds
 * `initial_capacity` items. Returns the array, which may have moved, and updates `*capacity`.
 * Returns NULL if out of memory; the array and its capacity are then unchanged, and the caller
 * still owns the array.
 */
void *fl_array_grow(void *items, int count, int *capacity, size_t item_size, int initial_capacity);

#endif
