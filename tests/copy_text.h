/* Copies of text between fields of fixed size, as the test programs need them. */
#ifndef FL_TESTS_COPY_TEXT_H
#define FL_TESTS_COPY_TEXT_H

#include <stdlib.h>
#include <string.h>

/* Copies `from` with its end into `size` bytes; a text that does not fit ends the test program. */
static inline void copy_text(char *to, size_t size, const char *from)
{
	size_t length = strlen(from);

	if (length >= size)
		abort();
	memcpy(to, from, length + 1);
}

#endif
