/*
 * Interned names: each distinct name has a dense index from 0, by which it is known everywhere
 * else. An index stays valid until the table is freed.
 */
#ifndef FL_STORAGE_SYMBOL_TABLE_H
#define FL_STORAGE_SYMBOL_TABLE_H

#include "storage/array.h"

struct fl_symbol;

/* A table of names. Zero-initialised is an empty one. */
struct fl_symbol_table {
	struct fl_symbol *by_name;
	struct fl_symbol **by_index;
	int count, capacity;
};

/* Index of the name, which is copied if new; FL_INDEX_NONE without memory. */
int fl_symbol_intern(struct fl_symbol_table *symbols, const char *name);
/* Index of the name, or FL_INDEX_NONE. */
int fl_symbol_find(const struct fl_symbol_table *symbols, const char *name);
/* The name with this index, owned by the table; "" if there is none. */
const char *fl_symbol_name(const struct fl_symbol_table *symbols, int index);
/* Frees the names; the table is empty then. */
void fl_symbol_table_free(struct fl_symbol_table *symbols);

#endif
