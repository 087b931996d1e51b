#include "storage/direct_starts.h"

#include <stdlib.h>
#include <string.h>

#include "storage/array.h"

enum { INITIAL_CAPACITY = 4 };

static struct fl_direct_start *find_entry(const struct fl_direct_starts *starts, const char *ref,
                                          uint32_t index, uint32_t attempt)
{
	for (int i = 0; i < starts->count; i++) {
		struct fl_direct_start *entry = &starts->entries[i];

		if (entry->index == index && entry->attempt == attempt &&
		    strcmp(entry->ref, ref) == 0)
			return entry;
	}
	return NULL;
}

bool fl_direct_starts_add(struct fl_direct_starts *starts, const struct fl_direct_start *start)
{
	struct fl_direct_start *entry =
		find_entry(starts, start->ref, start->index, start->attempt);
	struct fl_direct_start *entries;

	if (entry) {
		entry->fencing_token = start->fencing_token;
		return true;
	}
	if (starts->count == FL_DIRECT_STARTS_MAX)
		return false;
	entries = fl_array_grow(starts->entries, starts->count, &starts->capacity, sizeof(*entries),
	                        INITIAL_CAPACITY);
	if (!entries)
		return false;
	starts->entries = entries;
	starts->entries[starts->count++] = *start;
	return true;
}

const struct fl_direct_start *fl_direct_starts_find(const struct fl_direct_starts *starts,
                                                    const char *ref, uint32_t index,
                                                    uint32_t attempt)
{
	return find_entry(starts, ref, index, attempt);
}

void fl_direct_starts_drop_below(struct fl_direct_starts *starts, uint64_t fencing_token)
{
	int kept = 0;

	for (int i = 0; i < starts->count; i++)
		if (starts->entries[i].fencing_token >= fencing_token)
			starts->entries[kept++] = starts->entries[i];
	starts->count = kept;
}

void fl_direct_starts_clear(struct fl_direct_starts *starts)
{
	free(starts->entries);
	*starts = (struct fl_direct_starts){0};
}
