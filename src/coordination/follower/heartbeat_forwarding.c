#include "coordination/follower/heartbeat_forwarding.h"

#include <errno.h>
#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/workers/leader_reply.h"
#include "coordination/responses.h"
#include "protocol/peer_heartbeats.h"
#include "transport/log.h"

static const struct {
	double wait_s, patience_s;
	int in_flight;
} tunables = {
	.wait_s = 0.75,    /* s until a message is sent; then the worker is renewed from here */
	.patience_s = 1.5, /* s for the leader's answers; the worker gives up after 4 */
	.in_flight = FL_HEARTBEAT_REQUESTS_MAX, /* one that stalls must not hold up all */
};

/* The reports of one message, and their answers. */
struct heartbeat_batch {
	struct fl_batch batch;
	cJSON *heartbeats;
	size_t bytes;
	int count;
	struct fl_heartbeat_reply replies[FL_PEER_HEARTBEATS_MAX];
};

/* What a message is made of, for fl_forward. */
struct message {
	cJSON *heartbeats;
	const char *entry_node;
};

static char *encode(const void *context, bool last_hop, bool disconnected)
{
	const struct message *message = context;

	return fl_peer_heartbeats_encode(message->heartbeats, message->entry_node, last_hop,
	                                 disconnected);
}

static int exchange(struct fl_node *node, struct fl_batch *batch)
{
	struct heartbeat_batch *b = (struct heartbeat_batch *)batch;
	struct message message = {b->heartbeats, node->config->node};
	struct fl_http_reply reply;
	enum fl_decode_result result;
	int rc = fl_forward(node, FL_PATH_HEARTBEATS, encode, &message, FL_HOP_FIRST,
	                    tunables.patience_s, &reply);

	if (rc)
		return rc;
	if (reply.status != 200) {
		fl_buffer_free(&reply.body);
		return -EHOSTUNREACH;
	}
	result = fl_heartbeat_replies_decode(reply.body.data, reply.body.length, b->replies,
	                                     b->count);
	if (result == FL_DECODE_MALFORMED)
		fl_error("peers", "%s answers reports with what is no answer",
		         node->leader_view.leader);
	fl_buffer_free(&reply.body);
	return result == FL_DECODE_OK ? 0 : -EPROTO;
}

static void free_batch(struct heartbeat_batch *batch)
{
	for (int i = 0; i < batch->count; i++)
		free(batch->replies[i].body);
	cJSON_Delete(batch->heartbeats);
	free(batch);
}

/* The batch that this report goes into: the one being filled, or a new one. NULL: no memory. */
static struct heartbeat_batch *batch_for(struct fl_batch_queue *queue, size_t len, bool *began)
{
	struct heartbeat_batch *batch = (struct heartbeat_batch *)queue->filling;

	if (batch && (batch->count == FL_PEER_HEARTBEATS_MAX ||
	              batch->bytes + len > FL_PEER_HEARTBEATS_BYTES)) {
		fl_batch_close(queue);
		batch = NULL;
	}
	*began = !batch;
	if (batch)
		return batch;
	batch = calloc(1, sizeof(*batch));
	if (!batch)
		return NULL;
	batch->heartbeats = fl_heartbeat_list_begin();
	fl_batch_begin(queue, &batch->batch);
	return batch;
}

static int take_reply(struct fl_heartbeat_reply *answer, struct fl_http_response *response)
{
	if (answer->status != 200)
		return -EHOSTUNREACH;
	response->status = answer->status;
	response->body = answer->body;
	answer->body = NULL;
	return 0;
}

int fl_heartbeat_forward(struct fl_node *node, const char *body, size_t len,
                         struct fl_http_response *response)
{
	const struct fl_batch_policy terms = {tunables.in_flight, tunables.wait_s,
	                                      tunables.patience_s, exchange};
	struct fl_batch_queue *queue = &node->follower.heartbeat_forwards;
	struct heartbeat_batch *batch;
	bool began;
	int at, rc;

	if (len > FL_PEER_HEARTBEATS_BYTES)
		return -EMSGSIZE;
	batch = batch_for(queue, len, &began);
	if (!batch)
		return -ENOMEM;
	at = batch->count++;
	batch->bytes += len;
	fl_heartbeat_list_add(batch->heartbeats, body);
	rc = fl_batch_await(node, queue, &batch->batch, began, &terms);
	if (!rc)
		rc = take_reply(&batch->replies[at], response);
	if (fl_batch_release(&batch->batch))
		free_batch(batch);
	return rc;
}

/* ---- for another controller ---- */

/* No wait from here on: all of them are answered under the lease that was looked at. */
static void answer_all(struct fl_node *node, const struct fl_peer_heartbeats *message,
                       struct fl_http_response *response)
{
	struct fl_heartbeat_reply answers[FL_PEER_HEARTBEATS_MAX] = {0};
	int entry_node = fl_node_index(node, message->entry_node), count = 0;
	const cJSON *item;

	cJSON_ArrayForEach (item, message->list) {
		struct fl_http_response one = {.status = 500};
		struct fl_heartbeat heartbeat;

		if (fl_heartbeat_decode_json(item, &heartbeat) == FL_DECODE_OK) {
			heartbeat.entry_node = entry_node;
			fl_heartbeat_reply_as_leader(node, &heartbeat, &one);
			fl_heartbeat_free(&heartbeat);
		} else {
			fl_error("peers", "what came by %s is no report", message->entry_node);
			fl_respond_error(&one, 400, "not a report");
		}
		answers[count++] = (struct fl_heartbeat_reply){one.status, one.body};
	}
	response->status = 200;
	response->body = fl_heartbeat_replies_encode(answers, count);
	for (int i = 0; i < count; i++)
		free(answers[i].body);
}

/* The sender is cut from the state service too: its reports go with our digest. */
static void cache_all(struct fl_node *node, const struct fl_peer_heartbeats *message)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, message->list) {
		struct fl_heartbeat heartbeat;

		if (fl_heartbeat_decode_json(item, &heartbeat) != FL_DECODE_OK)
			continue;
		fl_heartbeat_cache(node, &heartbeat);
		fl_heartbeat_free(&heartbeat);
	}
}

static void forward_again(struct fl_node *node, const struct fl_peer_heartbeats *message,
                          struct fl_http_response *response)
{
	struct message again = {(cJSON *)message->list, message->entry_node};
	struct fl_http_reply reply;
	int rc = fl_forward(node, FL_PATH_HEARTBEATS, encode, &again, FL_HOP_LAST,
	                    tunables.patience_s, &reply);

	if (rc == 0 && reply.status == 200) {
		response->status = 200;
		response->body = reply.body.data;
		return;
	}
	if (rc == 0)
		fl_buffer_free(&reply.body);
	if (message->disconnected)
		cache_all(node, message);
	fl_respond_error(response, 421, "not the leader");
}

void fl_heartbeat_forward_serve(struct fl_node *node, const char *body, size_t len,
                                struct fl_http_response *response)
{
	struct fl_peer_heartbeats message;

	if (fl_peer_heartbeats_decode(body, len, &message) != FL_DECODE_OK) {
		fl_error("peers", "what came as reports is none");
		fl_respond_error(response, 400, "not reports");
		return;
	}
	if (fl_is_leader(node))
		answer_all(node, &message, response);
	else if (fl_forward_ends_here(node, message.last_hop))
		fl_respond_error(response, 421, "not the leader");
	else
		forward_again(node, &message, response);
	fl_peer_heartbeats_free(&message);
}
