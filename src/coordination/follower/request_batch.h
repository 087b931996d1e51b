/*
 * Requests to another controller that many callers share: those that come while as many requests
 * are in flight as may be go together with the next one. A caller's part never goes into a request
 * that was sent before it came.
 *
 * The callers of one batch hold it jointly; the last one to release it frees it.
 */
#ifndef FL_COORDINATION_FOLLOWER_REQUEST_BATCH_H
#define FL_COORDINATION_FOLLOWER_REQUEST_BATCH_H

#include <stdbool.h>

#include "coordination/follower/forwarding.h"
#include "transport/coroutine.h"

struct fl_node;

/* What callers share: the first member of a struct that holds their parts. */
struct fl_batch {
	int holder_count; /* coroutines that hold it */
	bool done;
	struct fl_condition completed;
	enum fl_forward_result result; /* valid when done */
};

/* The batches of one kind that are on their way from one node. Zero-initialised is empty. */
struct fl_batch_queue {
	struct fl_batch
		*open_batch; /* collects parts until a request may be sent; NULL: none does */
	int in_flight;
	struct fl_condition request_returned; /* a request has returned, with or without a reply */
};

/* How batches of one kind are sent. */
struct fl_batch_policy {
	int max_in_flight;         /* requests at once */
	double send_timeout_s;     /* s for which a batch waits until it may be sent */
	double exchange_timeout_s; /* s that an exchange takes at most */
	/* Sends the request and reads the replies. */
	enum fl_forward_result (*exchange)(struct fl_node *node, struct fl_batch *batch);
};

/*
 * From now on this batch collects parts. Whoever begins it adds the first part and awaits it before
 * waiting for anything else, and is thereby the one that sends it.
 */
void fl_batch_begin(struct fl_batch_queue *queue, struct fl_batch *batch);
/* No more parts go into the batch that collects them now. */
void fl_batch_close(struct fl_batch_queue *queue);
/*
 * For each caller, after it has put its part into the batch; with FL_FORWARD_ANSWERED the replies
 * are there. The first caller, which began the batch, sends it when it may; the others wait.
 */
enum fl_forward_result fl_batch_await(struct fl_node *node, struct fl_batch_queue *queue,
                                      struct fl_batch *batch, const struct fl_batch_policy *policy);
/* The caller needs it no more; true: nobody does, and the caller frees it. */
bool fl_batch_release(struct fl_batch *batch);

#endif
