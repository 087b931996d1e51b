#include "coordination/request_batch.h"

#include <errno.h>

#include "transport/clock.h"

void fl_batch_begin(struct fl_batch_queue *q, struct fl_batch *b) { q->filling = b; }

void fl_batch_close(struct fl_batch_queue *q) { q->filling = NULL; }

/* Sends the batch when a request may be sent; who comes later is in the next one. */
static void send_batch(struct fl_node *n, struct fl_batch_queue *q, struct fl_batch *b,
                       const struct fl_batch_policy *terms)
{
	double until = fl_now() + terms->wait_s;

	while (q->in_flight >= terms->in_flight && fl_now() < until)
		if (fl_condition_wait(&q->request_returned, until - fl_now()) == -ECANCELED)
			break;
	if (q->filling == b)
		fl_batch_close(q);
	b->rc = -EBUSY;
	if (q->in_flight < terms->in_flight) {
		q->in_flight++;
		b->rc = terms->exchange(n, b);
		q->in_flight--;
		fl_condition_broadcast(&q->request_returned);
	}
	b->done = true;
	fl_condition_broadcast(&b->completed);
}

static int await_batch(struct fl_batch *b, double patience_s)
{
	double until = fl_now() + patience_s;

	while (!b->done && fl_now() < until)
		if (fl_condition_wait(&b->completed, until - fl_now()) == -ECANCELED)
			return -ECANCELED;
	return b->done ? b->rc : -ETIMEDOUT;
}

int fl_batch_await(struct fl_node *n, struct fl_batch_queue *q, struct fl_batch *b, bool began,
                   const struct fl_batch_policy *terms)
{
	b->holder_count++;
	if (!began)
		return await_batch(b, terms->wait_s + terms->exchange_s);
	send_batch(n, q, b, terms);
	return b->rc;
}

bool fl_batch_release(struct fl_batch *b) { return --b->holder_count == 0; }
