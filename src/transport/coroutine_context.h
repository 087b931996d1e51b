/*
 * Internal to coroutine schedulers: the switch from one stack to another. The switch is boost's,
 * whose own headers are C++; address sanitizer needs a call at each one, or it reports a
 * frame of another stack as an overrun.
 */
#ifndef FL_TRANSPORT_COROUTINE_CONTEXT_H
#define FL_TRANSPORT_COROUTINE_CONTEXT_H

#include <stddef.h>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#define FIBER_START(save, bottom, size) __sanitizer_start_switch_fiber(save, bottom, size)
#define FIBER_FINISH(save, bottom, size) __sanitizer_finish_switch_fiber(save, bottom, size)
#else
#define FIBER_START(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#define FIBER_FINISH(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#endif

/* A suspended stack, to be continued once. */
typedef void *fcontext_t;
/* What a switch brings: the stack that was left, and the value that was passed. */
struct transfer {
	fcontext_t fctx;
	void *data;
};
extern struct transfer jump_fcontext(fcontext_t target, void *argument);
/* `stack_end` is the upper end of the stack. */
extern fcontext_t make_fcontext(void *stack_end, size_t size, void (*function)(struct transfer));

#endif
