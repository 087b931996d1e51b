/*
 * Arrays that grow by doubling, and the index that stands for none. The caller owns the array and
 * frees it; the helper keeps no state.
 */
#ifndef FL_STORAGE_ARRAY_H
#define FL_STORAGE_ARRAY_H

#include <stddef.h>

/* The result of a search for an index that finds none; valid indexes are 0 or more. */
enum { FL_INDEX_NONE = -1 };

/*
 * Ensures that an array of `count` items can hold one more; the first allocation is of
 * `initial_capacity` items. Returns the array, which may have moved, and updates `*capacity`. NULL
 * without memory: the array and its capacity stay as they are, and the caller still owns it.
 */
void *fl_array_grow(void *items, int count, int *capacity, size_t item_size, int initial_capacity);

#endif
