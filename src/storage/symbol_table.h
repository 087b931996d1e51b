/*
 * Interned names: each distinct name has a dense index from 0, which other modules use in its
 * place. An index stays valid until the table is freed.
 */
#ifndef FL_STORAGE_SYMBOL_TABLE_H
#define FL_STORAGE_SYMBOL_TABLE_H

#include "storage/array.h"

struct fl_symbol;

/* A table of names; empty when zero-initialised. */
struct fl_symbol_table {
	struct fl_symbol *by_name;
	struct fl_symbol **by_index;
	int count, capacity;
};

/* Returns the index of the name, which is copied if new; FL_INDEX_NONE if out of memory. */
int fl_symbol_intern(struct fl_symbol_table *symbols, const char *name);
/* Returns the index of the name, or FL_INDEX_NONE. */
int fl_symbol_find(const struct fl_symbol_table *symbols, const char *name);
/* Returns the name with this index, which the table owns; "" if there is none. */
const char *fl_symbol_name(const struct fl_symbol_table *symbols, int index);
/* Frees the names and leaves the table empty. */
void fl_symbol_table_free(struct fl_symbol_table *symbols);

#endif
