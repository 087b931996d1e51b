/* Copies of strings into buffers of a fixed size. */
#ifndef FL_TRANSPORT_TEXT_H
#define FL_TRANSPORT_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Copies as much of `from` as fits into the `size` bytes at `to`, always with a terminator. Returns
 * false if the copy was truncated. A caller that has checked the length, or copies between buffers
 * of the same size, may ignore the result. `from` and `to` must not overlap; `size` is at least 1.
 */
bool fl_copy_string(char *to, size_t size, const char *from);

#endif
