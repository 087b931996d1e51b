/*
 * Internal to coroutine schedulers: the lists that a coroutine can be in, which are queues of the
 * ready ones and the waiters of a condition. The lists own nothing, and the scheduler decides what
 * to do with a coroutine that is removed from one.
 */
#ifndef FL_TRANSPORT_COROUTINE_QUEUE_H
#define FL_TRANSPORT_COROUTINE_QUEUE_H

#include "transport/coroutine.h"

/*
 * The places of a coroutine in these lists. The scheduler that defines struct fl_coroutine makes it
 * its first member, which these functions rely on. Zero-initialised is in none.
 */
struct fl_coroutine_links {
	struct fl_coroutine *next_ready;
	struct fl_coroutine *condition_prev, *condition_next;
	struct fl_condition *condition; /* the one it waits for, or NULL */
};

/* A FIFO of ready coroutines. Zero-initialised is empty. */
struct fl_coroutine_queue {
	struct fl_coroutine *head, *tail;
};

/* Appends a coroutine that is in no queue. */
void fl_coroutine_queue_push(struct fl_coroutine_queue *queue, struct fl_coroutine *coroutine);
/* Takes the first one off; NULL if there is none. */
struct fl_coroutine *fl_coroutine_queue_pop(struct fl_coroutine_queue *queue);

/* Makes a coroutine that waits for no condition the last waiter of this one. */
void fl_condition_add_waiter(struct fl_condition *condition, struct fl_coroutine *coroutine);
/* Takes a coroutine off the waiters of its condition, if it waits for one. */
void fl_condition_remove_waiter(struct fl_coroutine *coroutine);

#endif
