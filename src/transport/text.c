#include "transport/text.h"

#include <string.h>

bool fl_copy_string(char *to, size_t size, const char *from)
{
	size_t length = strnlen(from, size);
	bool complete = length < size;

	if (!complete)
		length = size - 1;
	memcpy(to, from, length);
	to[length] = 0;
	return complete;
}
