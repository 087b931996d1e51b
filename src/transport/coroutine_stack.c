#include "transport/coroutine_stack.h"

#include <sys/mman.h>

static const struct {
	size_t stack_bytes, guard_bytes;
	int spare_max;
} tunables = {
	.stack_bytes = (size_t)256 * 1024, /* for deeply nested JSON and a signal handler's frame */
	.guard_bytes = 4096,               /* an overrun faults instead of corrupting memory */
	.spare_max = 32, /* stacks kept for reuse, each with a few resident pages */
};

/* Length of the array of spare stacks, of which `spare_max` elements are used. */
enum { SPARE_CAPACITY = 64 };

static struct {
	char *stacks[SPARE_CAPACITY];
	int count;
} spare;

static void unmap_stack(char *stack)
{
	munmap(stack - tunables.guard_bytes, tunables.guard_bytes + tunables.stack_bytes);
}

size_t fl_coroutine_stack_size(void) { return tunables.stack_bytes; }

char *fl_coroutine_stack_acquire(void)
{
	char *mapping;

	if (spare.count > 0)
		return spare.stacks[--spare.count];
	mapping = mmap(NULL, tunables.guard_bytes + tunables.stack_bytes, PROT_READ | PROT_WRITE,
	               MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
	if (mapping == MAP_FAILED)
		return NULL;
	if (mprotect(mapping, tunables.guard_bytes, PROT_NONE) != 0) {
		unmap_stack(mapping + tunables.guard_bytes);
		return NULL;
	}
	return mapping + tunables.guard_bytes;
}

void fl_coroutine_stack_release(char *stack)
{
	if (spare.count < tunables.spare_max)
		spare.stacks[spare.count++] = stack;
	else
		unmap_stack(stack);
}

void fl_coroutine_stacks_free(void)
{
	while (spare.count > 0)
		unmap_stack(spare.stacks[--spare.count]);
}
