/* Arrays that grow by doubling, and the index of nothing. */
#ifndef FL_STORAGE_ARRAY_H
#define FL_STORAGE_ARRAY_H

#include <stddef.h>

/* What a search for an index returns if there is none; all others are 0 or more. */
enum { FL_INDEX_NONE = -1 };

/*
 * Makes room for one more item in an array that holds `count`. Returns the array, which may have
 * moved, and updates `*capacity`; NULL without memory: the array stays as it is.
 */
void *fl_array_grow(void *items, int count, int *capacity, size_t item_size, int first_capacity);

#endif
