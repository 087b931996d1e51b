/*
 * Internal to coroutine schedulers: the lists that a coroutine can be in, which are the queues of
 * ready coroutines and the waiters of a condition. The lists do not own their coroutines, and the
 * scheduler decides what happens to a coroutine that is removed from a list.
 */
#ifndef FL_TRANSPORT_COROUTINE_QUEUE_H
#define FL_TRANSPORT_COROUTINE_QUEUE_H

#include "transport/coroutine.h"

/*
 * The links of a coroutine in these lists. A scheduler must make them the first member of its
 * struct fl_coroutine, since the functions below rely on it. Zero-initialised links are in no list.
 */
struct fl_coroutine_links {
	struct fl_coroutine *next_ready;
	struct fl_coroutine *condition_prev, *condition_next;
	struct fl_condition *condition; /* the condition that the coroutine waits for, or NULL */
};

/* A FIFO queue of ready coroutines. A zero-initialised queue is empty. */
struct fl_coroutine_queue {
	struct fl_coroutine *head, *tail;
};

/* Appends a coroutine that is in no queue. */
void fl_coroutine_queue_push(struct fl_coroutine_queue *queue, struct fl_coroutine *coroutine);
/* Removes and returns the first coroutine; NULL if the queue is empty. */
struct fl_coroutine *fl_coroutine_queue_pop(struct fl_coroutine_queue *queue);

/* Appends a coroutine that waits for no condition to the waiters of this condition. */
void fl_condition_add_waiter(struct fl_condition *condition, struct fl_coroutine *coroutine);
/* Removes a coroutine from the waiters of its condition, if it waits for one. */
void fl_condition_remove_waiter(struct fl_coroutine *coroutine);

#endif
