#include "coordination/follower/request_batch.h"

#include <errno.h>

#include "transport/clock.h"

void fl_batch_begin(struct fl_batch_queue *queue, struct fl_batch *batch)
{
	queue->filling = batch;
}

void fl_batch_close(struct fl_batch_queue *queue) { queue->filling = NULL; }

/* Sends the batch when a request may be sent; who comes later is in the next one. */
static void send_batch(struct fl_node *node, struct fl_batch_queue *queue, struct fl_batch *batch,
                       const struct fl_batch_policy *terms)
{
	double until = fl_now() + terms->wait_s;

	while (queue->in_flight >= terms->in_flight && fl_now() < until)
		if (fl_condition_wait(&queue->request_returned, until - fl_now()) == -ECANCELED)
			break;
	if (queue->filling == batch)
		fl_batch_close(queue);
	batch->rc = -EBUSY;
	if (queue->in_flight < terms->in_flight) {
		queue->in_flight++;
		batch->rc = terms->exchange(node, batch);
		queue->in_flight--;
		fl_condition_broadcast(&queue->request_returned);
	}
	batch->done = true;
	fl_condition_broadcast(&batch->completed);
}

static int await_batch(struct fl_batch *batch, double patience_s)
{
	double until = fl_now() + patience_s;

	while (!batch->done && fl_now() < until)
		if (fl_condition_wait(&batch->completed, until - fl_now()) == -ECANCELED)
			return -ECANCELED;
	return batch->done ? batch->rc : -ETIMEDOUT;
}

int fl_batch_await(struct fl_node *node, struct fl_batch_queue *queue, struct fl_batch *batch,
                   bool began, const struct fl_batch_policy *terms)
{
	batch->holder_count++;
	if (!began)
		return await_batch(batch, terms->wait_s + terms->exchange_s);
	send_batch(node, queue, batch, terms);
	return batch->rc;
}

bool fl_batch_release(struct fl_batch *batch) { return --batch->holder_count == 0; }
