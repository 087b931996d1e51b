/*
 * Internal to coroutine schedulers: the switch between the stack of a scheduler's loop and that of
 * a coroutine. When a coroutine runs is the scheduler's decision, and so is what its waits mean.
 */
#ifndef FL_TRANSPORT_COROUTINE_CONTEXT_H
#define FL_TRANSPORT_COROUTINE_CONTEXT_H

#include <stdbool.h>
#include <stddef.h>

/* The stack that coroutines are resumed from; all zero before the first resume. */
struct fl_loop_context {
	void *resume_point;
	void *fake_stack; /* of the address sanitizer, as are the next two */
	const void *stack_bottom;
	size_t stack_size;
};

/* The stack of one coroutine, and the function that it was started for. */
struct fl_coroutine_context {
	void *resume_point;
	char *stack; /* its lowest byte; the scheduler acquires and releases it */
	void (*function)(void *);
	void *argument;
	void *fake_stack; /* of the address sanitizer */
};

/* Prepares `context`, whose stack, function and argument are set, for its first resume. */
void fl_context_init(struct fl_coroutine_context *context, size_t stack_size);
/*
 * Runs a coroutine until it suspends itself: true. False: its function has returned, and its stack
 * may be released. Called on the loop's stack.
 */
bool fl_context_resume(struct fl_loop_context *loop, struct fl_coroutine_context *context,
                       size_t stack_size);
/* Back to the loop, until the next resume. Called on the coroutine's stack. */
void fl_context_suspend(struct fl_loop_context *loop, struct fl_coroutine_context *context);

#endif
