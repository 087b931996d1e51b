#include "storage/symbol_table.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "storage/array.h"

enum { INITIAL_CAPACITY = 16 };

struct fl_symbol {
	UT_hash_handle hh;
	int index;
	char text[];
};

int fl_symbol_find(const struct fl_symbol_table *symbols, const char *name)
{
	struct fl_symbol *symbol;

	HASH_FIND_STR(symbols->by_name, name, symbol);
	return symbol ? symbol->index : FL_INDEX_NONE;
}

int fl_symbol_intern(struct fl_symbol_table *symbols, const char *name)
{
	int index = fl_symbol_find(symbols, name);
	struct fl_symbol *symbol, **by_index;
	size_t length = strlen(name);

	if (index != FL_INDEX_NONE)
		return index;
	by_index = fl_array_grow(symbols->by_index, symbols->count, &symbols->capacity,
	                         sizeof(*by_index), INITIAL_CAPACITY);
	if (!by_index)
		return FL_INDEX_NONE;
	symbols->by_index = by_index;
	symbol = calloc(1, sizeof(*symbol) + length + 1);
	if (!symbol)
		return FL_INDEX_NONE;
	memcpy(symbol->text, name, length + 1);
	symbol->index = symbols->count;
	symbols->by_index[symbols->count++] = symbol;
	HASH_ADD_KEYPTR(hh, symbols->by_name, symbol->text, length, symbol);
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
