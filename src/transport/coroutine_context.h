/*
 * Internal to coroutine schedulers: switches between the stack of a scheduler's loop and the stack
 * of a coroutine. The scheduler decides when a coroutine runs and implements its waits.
 */
#ifndef FL_TRANSPORT_COROUTINE_CONTEXT_H
#define FL_TRANSPORT_COROUTINE_CONTEXT_H

#include <stdbool.h>
#include <stddef.h>

/* The loop's stack, from which coroutines are resumed; zero-initialised before the first resume. */
struct fl_loop_context {
	void *resume_point;
	void *fake_stack; /* for the address sanitizer, like the next two fields */
	const void *stack_bottom;
	size_t stack_size;
};

/* The stack of one coroutine, and the function that runs on it. */
struct fl_coroutine_context {
	void *resume_point;
	/* Lowest byte of the stack, which the coroutine scheduler acquires and releases. */
	char *stack;
	void (*function)(void *);
	void *argument;
	void *fake_stack; /* for the address sanitizer */
};

/* Prepares a context, whose stack, function and argument are set, for its first resume. */
void fl_context_init(struct fl_coroutine_context *context, size_t stack_size);
/*
 * Resumes a coroutine. Returns true when the coroutine has suspended itself, and false when its
 * function has returned, after which its stack may be released. Called on the loop's stack.
 */
bool fl_context_resume(struct fl_loop_context *loop, struct fl_coroutine_context *context,
                       size_t stack_size);
/* Switches to the loop until the next resume. Called on the coroutine's stack. */
void fl_context_suspend(struct fl_loop_context *loop, struct fl_coroutine_context *context);

#endif
