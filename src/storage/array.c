#include "storage/array.h"

#include <stdlib.h>

void *fl_array_grow(void *items, int count, int *capacity, size_t item_size, int initial_capacity)
{
	int new_capacity = *capacity ? 2 * *capacity : initial_capacity;
	void *grown;

	if (count < *capacity)
		return items;
	grown = realloc(items, (size_t)new_capacity * item_size);
	if (grown)
		*capacity = new_capacity;
	return grown;
}
