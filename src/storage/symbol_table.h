/* Interned names: each distinct name has a dense index, by which it is known everywhere else. */
#ifndef FL_STORAGE_SYMBOL_TABLE_H
#define FL_STORAGE_SYMBOL_TABLE_H

struct fl_symbol;

/* A set of names. Zero-initialised is an empty one. */
struct fl_symbol_table {
	struct fl_symbol *by_name;
	struct fl_symbol **by_index;
	int count, capacity;
};

/* Index of the name, added if new; -1 without memory. */
int fl_symbol_intern(struct fl_symbol_table *symbols, const char *name);
/* Index of the name; -1: unknown. */
int fl_symbol_find(const struct fl_symbol_table *symbols, const char *name);
/* The name with this index; "" if there is none. */
const char *fl_symbol_name(const struct fl_symbol_table *symbols, int index);
/* Frees the names; the set is empty then. */
void fl_symbol_table_free(struct fl_symbol_table *symbols);

#endif
