#include "storage/symbol_table.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct fl_symbol {
	UT_hash_handle hh;
	int index;
	char text[];
};

int fl_symbol_find(const struct fl_symbol_table *symbols, const char *name)
{
	struct fl_symbol *symbol;

	HASH_FIND_STR(symbols->by_name, name, symbol);
	return symbol ? symbol->index : -1;
}

int fl_symbol_intern(struct fl_symbol_table *symbols, const char *name)
{
	int index = fl_symbol_find(symbols, name);
	size_t len = strlen(name);
	struct fl_symbol *symbol;

	if (index >= 0)
		return index;
	if (symbols->count == symbols->capacity) {
		int cap = symbols->capacity ? symbols->capacity * 2 : 16;
		struct fl_symbol **at = realloc(symbols->by_index, (size_t)cap * sizeof(*at));

		if (!at)
			return -1;
		symbols->by_index = at;
		symbols->capacity = cap;
	}
	symbol = calloc(1, sizeof(*symbol) + len + 1);
	if (!symbol)
		return -1;
	memcpy(symbol->text, name, len + 1);
	symbol->index = symbols->count;
	symbols->by_index[symbols->count++] = symbol;
	HASH_ADD_KEYPTR(hh, symbols->by_name, symbol->text, len, symbol);
	return symbol->index;
}

const char *fl_symbol_name(const struct fl_symbol_table *symbols, int index)
{
	return index >= 0 && index < symbols->count ? symbols->by_index[index]->text : "";
}

void fl_symbol_table_free(struct fl_symbol_table *symbols)
{
	HASH_CLEAR(hh, symbols->by_name);
	for (int i = 0; i < symbols->count; i++)
		free(symbols->by_index[i]);
	free(symbols->by_index);
	memset(symbols, 0, sizeof(*symbols));
}
