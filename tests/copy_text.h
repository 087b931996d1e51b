/* Copying of strings into arrays of fixed size, for the test programs. */
#ifndef FL_TESTS_COPY_TEXT_H
#define FL_TESTS_COPY_TEXT_H

#include <stdlib.h>
#include <string.h>

/* Copies `from` with its terminator into `size` bytes; aborts the program if it does not fit. */
static inline void copy_text(char *to, size_t size, const char *from)
{
	size_t length = strlen(from);

	if (length >= size)
		abort();
	memcpy(to, from, length + 1);
}

#endif
