/*
 * Batches: requests to another controller that many callers share. Callers that arrive while the
 * maximum number of requests is in flight join the next one. The reply that a caller gets is always
 * to a request that was sent after the caller arrived.
 *
 * All callers of a batch hold it; the last one to release it frees it.
 */
#ifndef FL_COORDINATION_FOLLOWER_REQUEST_BATCH_H
#define FL_COORDINATION_FOLLOWER_REQUEST_BATCH_H

#include <stdbool.h>

#include "coordination/follower/forwarding.h"
#include "transport/coroutine.h"

struct fl_node;

/* A batch: the first member of a struct that holds the callers' parts of the request. */
struct fl_batch {
	int holder_count; /* coroutines that hold it */
	bool done;
	struct fl_condition completed;
	enum fl_forward_result result; /* valid when done */
};

/* The batches of one kind that a node sends. Zero-initialised is empty. */
struct fl_batch_queue {
	struct fl_batch *open_batch; /* collects parts until a request may be sent; NULL: none */
	int in_flight;
	struct fl_condition request_returned; /* broadcast after each request, replied or not */
};

/* How batches of one kind are sent. */
struct fl_batch_policy {
	int max_in_flight;         /* maximum number of requests in flight */
	double send_timeout_s;     /* maximum wait of a batch until it may be sent */
	double exchange_timeout_s; /* maximum duration of an exchange */
	/* Sends the request and decodes its reply. */
	enum fl_forward_result (*exchange)(struct fl_node *node, struct fl_batch *batch);
};

/*
 * Makes the batch the open one, which collects parts. The caller must add the first part and call
 * fl_batch_await before it waits for anything else, which makes it the sender of the batch.
 */
void fl_batch_begin(struct fl_batch_queue *queue, struct fl_batch *batch);
/* Closes the open batch: later parts go into another one. */
void fl_batch_close(struct fl_batch_queue *queue);
/*
 * To be called by each caller after it has added its part. With FL_FORWARD_ANSWERED, the replies
 * are in the batch. The first caller, which began the batch, sends it as soon as a request may be
 * sent; the others wait for the result.
 */
enum fl_forward_result fl_batch_await(struct fl_node *node, struct fl_batch_queue *queue,
                                      struct fl_batch *batch, const struct fl_batch_policy *policy);
/* Releases the caller's hold; returns true if it was the last, so that the caller frees it. */
bool fl_batch_release(struct fl_batch *batch);

#endif
