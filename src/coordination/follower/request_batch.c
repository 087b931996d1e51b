#include "coordination/follower/request_batch.h"

#include <errno.h>

#include "transport/clock.h"

void fl_batch_begin(struct fl_batch_queue *queue, struct fl_batch *batch)
{
	queue->open_batch = batch;
}

void fl_batch_close(struct fl_batch_queue *queue) { queue->open_batch = NULL; }

/* Sends the batch when a request may be sent; what comes later goes into the next one. */
static void send_batch(struct fl_node *node, struct fl_batch_queue *queue, struct fl_batch *batch,
                       const struct fl_batch_policy *policy)
{
	double deadline = fl_now() + policy->send_timeout_s;

	while (queue->in_flight >= policy->max_in_flight && fl_now() < deadline)
		if (fl_condition_wait(&queue->request_returned, deadline - fl_now()) == -ECANCELED)
			break;
	if (queue->open_batch == batch)
		fl_batch_close(queue);
	batch->result = FL_FORWARD_OVERLOADED;
	if (queue->in_flight < policy->max_in_flight) {
		queue->in_flight++;
		batch->result = policy->exchange(node, batch);
		queue->in_flight--;
		fl_condition_broadcast(&queue->request_returned);
	}
	batch->done = true;
	fl_condition_broadcast(&batch->completed);
}

static enum fl_forward_result await_completion(struct fl_batch *batch, double timeout_s)
{
	double deadline = fl_now() + timeout_s;

	while (!batch->done && fl_now() < deadline)
		if (fl_condition_wait(&batch->completed, deadline - fl_now()) == -ECANCELED)
			return FL_FORWARD_CANCELLED;
	return batch->done ? batch->result : FL_FORWARD_TIMED_OUT;
}

enum fl_forward_result fl_batch_await(struct fl_node *node, struct fl_batch_queue *queue,
                                      struct fl_batch *batch, const struct fl_batch_policy *policy)
{
	if (batch->holder_count++ > 0)
		return await_completion(batch, policy->send_timeout_s + policy->exchange_timeout_s);
	send_batch(node, queue, batch, policy);
	return batch->result;
}

bool fl_batch_release(struct fl_batch *batch) { return --batch->holder_count == 0; }
