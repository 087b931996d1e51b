#include "transport/memory.h"

#include <malloc.h>

#include "transport/coroutine.h"

static const struct {
	size_t program_bytes, stack_bytes;
} tunables = {
	.program_bytes = (size_t)4 * 1024 * 1024, /* resident code and data */
	/* resident part of a coroutine's stack; test_message_costs checks it */
	.stack_bytes = (size_t)8 * 1024,
};

size_t fl_memory_in_use(void)
{
	struct mallinfo2 heap = mallinfo2();

	return tunables.program_bytes + (size_t)fl_coroutines_count() * tunables.stack_bytes +
	       heap.uordblks + heap.hblkhd;
}
