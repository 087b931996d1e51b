/*
 * Requests to another controller that many callers share: those that come while as many requests
 * as may be are under way go together with the next one. Nobody's part rests on a request that was
 * sent before it came.
 */
#ifndef FL_COORDINATION_FOLLOWER_REQUEST_BATCH_H
#define FL_COORDINATION_FOLLOWER_REQUEST_BATCH_H

#include <stdbool.h>

#include "transport/coroutine.h"

struct fl_node;

/* What callers share: the first member of a struct that holds their parts. */
struct fl_batch {
	int holder_count; /* routines that hold it */
	bool done;
	struct fl_condition completed;
	int rc; /* of the exchange: 0 or an errno */
};

/* The batches of one kind that are on their way from one node. Zero-initialised is empty. */
struct fl_batch_queue {
	struct fl_batch *filling; /* collects parts until a request may be sent; NULL: none does */
	int in_flight;
	struct fl_condition request_returned; /* a request has come back */
};

/* How batches of one kind are sent. */
struct fl_batch_policy {
	int in_flight;     /* requests at once */
	double wait_s;     /* s for which a batch waits until it may be sent */
	double exchange_s; /* s that an exchange takes at most */
	/* Sends the request and reads the answers: 0 or an errno. */
	int (*exchange)(struct fl_node *node, struct fl_batch *batch);
};

/* From now on this batch collects parts. */
void fl_batch_begin(struct fl_batch_queue *queue, struct fl_batch *batch);
/* No more parts go into the batch that collects them now. */
void fl_batch_close(struct fl_batch_queue *queue);
/*
 * For each caller, after it has put its part into the batch: 0 when the answers are there, or an
 * errno. The caller that began the batch sends it when it may.
 */
int fl_batch_await(struct fl_node *node, struct fl_batch_queue *queue, struct fl_batch *batch,
                   bool began, const struct fl_batch_policy *terms);
/* The caller needs it no more; true: nobody does, and the caller frees it. */
bool fl_batch_release(struct fl_batch *batch);

#endif
