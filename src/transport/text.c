#include "transport/text.h"

#include <string.h>

bool fl_copy_string(char *to, size_t size, const char *from)
{
	size_t len = strnlen(from, size);
	bool whole = len < size;

	if (!whole)
		len = size - 1;
	memcpy(to, from, len);
	to[len] = 0;
	return whole;
}
