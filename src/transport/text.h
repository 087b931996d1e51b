/* Copies of strings into buffers of a fixed size. */
#ifndef FL_TRANSPORT_TEXT_H
#define FL_TRANSPORT_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Copies `from` into the `size` bytes at `to`, always with a terminator, and as much of it as fits.
 * Returns false if it was cut off. A caller that has checked the length before, or copies between
 * buffers of the same size, may ignore the result. The two must not overlap; `size` is at least 1.
 */
bool fl_copy_string(char *to, size_t size, const char *from);

#endif
