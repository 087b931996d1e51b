/* Names become dense indices at the door; inside, only the indices travel. */
#ifndef FL_STORAGE_NAMES_H
#define FL_STORAGE_NAMES_H

struct fl_name;

struct fl_names {
	struct fl_name *table;
	struct fl_name **at;
	int n, cap;
};

/* Index of the name, added if new; -1 without memory. */
int fl_names_add(struct fl_names *names, const char *name);
/* -1: unknown. */
int fl_names_find(const struct fl_names *names, const char *name);
const char *fl_names_at(const struct fl_names *names, int index);
void fl_names_free(struct fl_names *names);

#endif
