/* An estimate of the memory that this process uses; admission control decides by it. */
#ifndef FL_TRANSPORT_MEMORY_H
#define FL_TRANSPORT_MEMORY_H

#include <stddef.h>

/* Bytes in use: the heap, and by estimate the coroutines' stacks and the program itself. */
size_t fl_memory_in_use(void);

#endif
