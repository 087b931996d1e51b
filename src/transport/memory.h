/* Estimates the memory that this process uses, for admission control. */
#ifndef FL_TRANSPORT_MEMORY_H
#define FL_TRANSPORT_MEMORY_H

#include <stddef.h>

/* Returns the bytes in use: the heap, and estimates of the coroutines' stacks and the program. */
size_t fl_memory_in_use(void);

#endif
