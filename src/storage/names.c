#include "storage/names.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct fl_name {
	UT_hash_handle hh;
	int index;
	char text[];
};

int fl_names_find(const struct fl_names *names, const char *name)
{
	struct fl_name *e;

	HASH_FIND_STR(names->table, name, e);
	return e ? e->index : -1;
}

int fl_names_add(struct fl_names *names, const char *name)
{
	int index = fl_names_find(names, name);
	size_t len = strlen(name);
	struct fl_name *e;

	if (index >= 0)
		return index;
	if (names->n == names->cap) {
		int cap = names->cap ? names->cap * 2 : 16;
		struct fl_name **at = realloc(names->at, (size_t)cap * sizeof(*at));

		if (!at)
			return -1;
		names->at = at;
		names->cap = cap;
	}
	e = calloc(1, sizeof(*e) + len + 1);
	if (!e)
		return -1;
	memcpy(e->text, name, len + 1);
	e->index = names->n;
	names->at[names->n++] = e;
	HASH_ADD_KEYPTR(hh, names->table, e->text, len, e);
	return e->index;
}

const char *fl_names_at(const struct fl_names *names, int index)
{
	return index >= 0 && index < names->n ? names->at[index]->text : "";
}

void fl_names_free(struct fl_names *names)
{
	HASH_CLEAR(hh, names->table);
	for (int i = 0; i < names->n; i++)
		free(names->at[i]);
	free(names->at);
	memset(names, 0, sizeof(*names));
}
