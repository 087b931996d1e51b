/* Interned names: each distinct name has a dense index, by which it is known everywhere else. */
#ifndef FL_STORAGE_NAMES_H
#define FL_STORAGE_NAMES_H

struct fl_name;

/* A set of names. Zero-initialised is an empty one. */
struct fl_names {
	struct fl_name *table;
	struct fl_name **at;
	int n, cap;
};

/* Index of the name, added if new; -1 without memory. */
int fl_names_add(struct fl_names *names, const char *name);
/* Index of the name; -1: unknown. */
int fl_names_find(const struct fl_names *names, const char *name);
/* The name with this index; "" if there is none. */
const char *fl_names_at(const struct fl_names *names, int index);
/* Frees the names; the set is empty then. */
void fl_names_free(struct fl_names *names);

#endif
