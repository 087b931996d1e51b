/*
 * Internal to the coroutine scheduler: the stacks of coroutines, each above a guard page. Some
 * released stacks are kept for reuse.
 */
#ifndef FL_TRANSPORT_COROUTINE_STACK_H
#define FL_TRANSPORT_COROUTINE_STACK_H

#include <stddef.h>

/* Returns the usable bytes of a stack. */
size_t fl_coroutine_stack_size(void);
/* Returns the lowest usable byte of a stack, which the caller owns; NULL when out of memory. */
char *fl_coroutine_stack_acquire(void);
/* Releases a stack that no coroutine runs on. */
void fl_coroutine_stack_release(char *stack);
/* Frees the stacks that are kept for reuse. */
void fl_coroutine_stacks_free(void);

#endif
