/*
 * Internal to the coroutine scheduler: the stacks of coroutines, each below a guard page. Some that
 * are no longer used are kept for the next coroutines.
 */
#ifndef FL_TRANSPORT_COROUTINE_STACK_H
#define FL_TRANSPORT_COROUTINE_STACK_H

#include <stddef.h>

/* Usable bytes of a stack. */
size_t fl_coroutine_stack_size(void);
/* The lowest usable byte of a stack, which the caller owns; NULL: out of memory. */
char *fl_coroutine_stack_acquire(void);
/* Takes a stack back that no coroutine runs on. */
void fl_coroutine_stack_release(char *stack);
/* Frees the stacks that are kept. */
void fl_coroutine_stacks_free(void);

#endif
