#include "transport/coroutine_context.h"

#include <stdlib.h>

/*
 * The address sanitizer needs a call before and after each switch of stacks; without the calls it
 * reports a frame of the other stack as an overrun.
 */
#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#define FIBER_START(save, bottom, size) __sanitizer_start_switch_fiber(save, bottom, size)
#define FIBER_FINISH(save, bottom, size) __sanitizer_finish_switch_fiber(save, bottom, size)
#else
#define FIBER_START(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#define FIBER_FINISH(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#endif

/* Boost's context switch, declared here because Boost's own headers are C++. */
typedef void *fcontext_t;
/* The result of a switch: the context that was left, and the value that it passed. */
struct transfer {
	fcontext_t fctx;
	void *data;
};
extern struct transfer jump_fcontext(fcontext_t target, void *argument);
/* `stack_end` is the upper end of the stack. */
extern fcontext_t make_fcontext(void *stack_end, size_t size, void (*function)(struct transfer));

/* The value passed with each switch to a coroutine; only the first one is read. */
struct resumption {
	struct fl_loop_context *loop;
	struct fl_coroutine_context *context;
};

static void run_function(struct transfer transfer)
{
	const struct resumption *resumption = transfer.data;
	struct fl_loop_context *loop = resumption->loop;
	struct fl_coroutine_context *context = resumption->context;

	FIBER_FINISH(NULL, &loop->stack_bottom, &loop->stack_size);
	loop->resume_point = transfer.fctx;
	context->function(context->argument);
	FIBER_START(NULL, loop->stack_bottom, loop->stack_size);
	jump_fcontext(loop->resume_point, context);
	abort();
}

void fl_context_init(struct fl_coroutine_context *context, size_t stack_size)
{
	context->resume_point =
		make_fcontext(context->stack + stack_size, stack_size, run_function);
}

bool fl_context_resume(struct fl_loop_context *loop, struct fl_coroutine_context *context,
                       size_t stack_size)
{
	struct resumption resumption = {loop, context};
	struct transfer transfer;

	FIBER_START(&loop->fake_stack, context->stack, stack_size);
	transfer = jump_fcontext(context->resume_point, &resumption);
	FIBER_FINISH(loop->fake_stack, NULL, NULL);
	context->resume_point = transfer.fctx;
	/* A coroutine passes a value only when its function has returned. */
	return transfer.data == NULL;
}

void fl_context_suspend(struct fl_loop_context *loop, struct fl_coroutine_context *context)
{
	struct transfer transfer;

	FIBER_START(&context->fake_stack, loop->stack_bottom, loop->stack_size);
	transfer = jump_fcontext(loop->resume_point, NULL);
	FIBER_FINISH(context->fake_stack, &loop->stack_bottom, &loop->stack_size);
	loop->resume_point = transfer.fctx;
}
