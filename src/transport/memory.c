#include "transport/memory.h"

#include <malloc.h>

#include "transport/coroutine.h"

static const struct {
	size_t program, stack;
} tunables = {
	.program = (size_t)4 * 1024 * 1024, /* bytes of code and data that are touched */
	.stack = (size_t)8 * 1024, /* bytes of a stack that are; test_message_costs holds it */
};

size_t fl_memory_in_use(void)
{
	struct mallinfo2 heap = mallinfo2();

	return tunables.program + (size_t)fl_coroutines_count() * tunables.stack + heap.uordblks +
	       heap.hblkhd;
}
