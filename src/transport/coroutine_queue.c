#include "transport/coroutine_queue.h"

static struct fl_coroutine_links *links_of(struct fl_coroutine *coroutine)
{
	return (struct fl_coroutine_links *)coroutine;
}

void fl_coroutine_queue_push(struct fl_coroutine_queue *queue, struct fl_coroutine *coroutine)
{
	links_of(coroutine)->next_ready = NULL;
	if (queue->tail)
		links_of(queue->tail)->next_ready = coroutine;
	else
		queue->head = coroutine;
	queue->tail = coroutine;
}

struct fl_coroutine *fl_coroutine_queue_pop(struct fl_coroutine_queue *queue)
{
	struct fl_coroutine *coroutine = queue->head;

	if (!coroutine)
		return NULL;
	queue->head = links_of(coroutine)->next_ready;
	if (!queue->head)
		queue->tail = NULL;
	return coroutine;
}

void fl_condition_add_waiter(struct fl_condition *condition, struct fl_coroutine *coroutine)
{
	struct fl_coroutine_links *links = links_of(coroutine);

	links->condition = condition;
	links->condition_prev = condition->last;
	links->condition_next = NULL;
	if (condition->last)
		links_of(condition->last)->condition_next = coroutine;
	else
		condition->first = coroutine;
	condition->last = coroutine;
}

void fl_condition_remove_waiter(struct fl_coroutine *coroutine)
{
	struct fl_coroutine_links *links = links_of(coroutine);

	if (!links->condition)
		return;
	if (links->condition_prev)
		links_of(links->condition_prev)->condition_next = links->condition_next;
	else
		links->condition->first = links->condition_next;
	if (links->condition_next)
		links_of(links->condition_next)->condition_prev = links->condition_prev;
	else
		links->condition->last = links->condition_prev;
	links->condition = NULL;
	links->condition_prev = links->condition_next = NULL;
}
