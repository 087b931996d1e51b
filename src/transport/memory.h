/* How much memory this process holds. */
#ifndef FL_TRANSPORT_MEMORY_H
#define FL_TRANSPORT_MEMORY_H

#include <stddef.h>

/* Bytes in use: the heap, the routines' stacks, and the program itself by estimate. */
size_t fl_memory_in_use(void);

#endif
