#include "coordination/follower/heartbeat_forwarding.h"

#include <stdlib.h>

#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/workers/leader_reply.h"
#include "protocol/peer_heartbeats.h"
#include "transport/log.h"

static const struct {
	double send_timeout_s, exchange_timeout_s;
	int max_in_flight;
} tunables = {
	/* Maximum wait of a batch until it is sent; after that, this node renews the leases. */
	.send_timeout_s = 0.75,
	.exchange_timeout_s = 1.5, /* for the leader's reply; the worker times out after 4 s */
	/* More than one, so that a stalled request does not block the rest. */
	.max_in_flight = FL_HEARTBEAT_REQUESTS_MAX,
};

/* The heartbeats of one request, and the replies to them. */
struct heartbeat_batch {
	struct fl_batch base;
	cJSON *heartbeats;
	size_t bytes;
	int count;
	struct fl_heartbeat_reply replies[FL_PEER_HEARTBEATS_MAX];
};

/* The contents of a request, passed to encode_request as its context. */
struct heartbeat_request {
	cJSON *heartbeats;
	const char *entry_node;
};

static char *encode_request(const void *context, const struct fl_forward_flags *flags)
{
	const struct heartbeat_request *request = context;

	return fl_peer_heartbeats_encode(request->heartbeats, request->entry_node, flags->last_hop,
	                                 flags->kv_store_unavailable);
}

static struct fl_forward_request make_forward_request(const struct heartbeat_request *request,
                                                      enum fl_forward_hop hop)
{
	return (struct fl_forward_request){.path = FL_PATH_HEARTBEATS,
	                                   .encode = encode_request,
	                                   .context = request,
	                                   .hop = hop,
	                                   .timeout_s = tunables.exchange_timeout_s};
}

static enum fl_decode_result decode_replies(void *decode_context, const char *body, size_t len)
{
	struct heartbeat_batch *batch = decode_context;

	return fl_heartbeat_replies_decode(body, len, batch->replies, batch->count);
}

static enum fl_forward_result exchange_batch(struct fl_node *node, struct fl_batch *base)
{
	struct heartbeat_batch *batch = (struct heartbeat_batch *)base;
	struct heartbeat_request heartbeats = {batch->heartbeats, node->config->node};
	struct fl_forward_request request = make_forward_request(&heartbeats, FL_HOP_FIRST);

	return fl_forward_and_decode(node, &request, decode_replies, batch);
}

static void free_batch(struct heartbeat_batch *batch)
{
	for (int i = 0; i < batch->count; i++)
		free(batch->replies[i].body);
	cJSON_Delete(batch->heartbeats);
	free(batch);
}

/*
 * Returns the open batch if it has room for the heartbeat, else a new one, which also a heartbeat
 * above the limit of a batch begins; NULL: no memory.
 */
static struct heartbeat_batch *find_or_begin_batch(struct fl_batch_queue *queue, size_t len)
{
	struct heartbeat_batch *batch = (struct heartbeat_batch *)queue->open_batch;

	if (batch && (batch->count == FL_PEER_HEARTBEATS_MAX ||
	              batch->bytes + len > FL_PEER_HEARTBEATS_BYTES_MAX)) {
		fl_batch_close(queue);
		batch = NULL;
	}
	if (batch)
		return batch;
	batch = calloc(1, sizeof(*batch));
	if (!batch)
		return NULL;
	batch->heartbeats = fl_heartbeat_list_create();
	fl_batch_begin(queue, &batch->base);
	return batch;
}

static enum fl_forward_result respond_with_reply(struct fl_heartbeat_reply *reply,
                                                 struct fl_http_response *response)
{
	if (reply->status != 200)
		return FL_FORWARD_REJECTED;
	response->status = reply->status;
	response->body = reply->body;
	reply->body = NULL;
	return FL_FORWARD_ANSWERED;
}

enum fl_forward_result fl_heartbeat_forward(struct fl_node *node, const char *body, size_t len,
                                            struct fl_http_response *response)
{
	const struct fl_batch_policy policy = {tunables.max_in_flight, tunables.send_timeout_s,
	                                       tunables.exchange_timeout_s, exchange_batch};
	struct fl_batch_queue *queue = &node->follower.heartbeat_batches;
	enum fl_forward_result result;
	struct heartbeat_batch *batch;
	int index;

	batch = find_or_begin_batch(queue, len);
	if (!batch)
		return FL_FORWARD_OUT_OF_MEMORY;
	index = batch->count++;
	batch->bytes += len;
	fl_heartbeat_list_add(batch->heartbeats, body);
	result = fl_batch_await(node, queue, &batch->base, &policy);
	if (result == FL_FORWARD_ANSWERED)
		result = respond_with_reply(&batch->replies[index], response);
	if (fl_batch_release(&batch->base))
		free_batch(batch);
	return result;
}

/* ---- requests of other controllers ---- */

static struct fl_heartbeat_reply answer_heartbeat(struct fl_node *node, const char *entry_node,
                                                  const cJSON *item)
{
	struct fl_http_response response = {.status = 500};
	struct fl_heartbeat heartbeat;

	if (fl_heartbeat_decode_json(item, &heartbeat) == FL_DECODE_OK) {
		heartbeat.entry_node_index = fl_node_index(node, entry_node);
		fl_leader_reply_respond(node, &heartbeat, &response);
		fl_heartbeat_free(&heartbeat);
	} else {
		fl_error("peers", "forwarded heartbeat malformed; rejected entry_node=%s",
		         entry_node);
		fl_respond_error(&response, 400, "malformed heartbeat");
	}
	return (struct fl_heartbeat_reply){response.status, response.body};
}

/* Does not wait, so that the lease that the caller has checked covers all replies. */
static void answer_heartbeats(struct fl_node *node, const struct fl_peer_heartbeats *message,
                              struct fl_http_response *response)
{
	struct fl_heartbeat_reply replies[FL_PEER_HEARTBEATS_MAX] = {0};
	int count = 0;
	const cJSON *item;

	cJSON_ArrayForEach (item, message->heartbeat_list)
		replies[count++] = answer_heartbeat(node, message->entry_node, item);
	response->status = 200;
	response->body = fl_heartbeat_replies_encode(replies, count);
	for (int i = 0; i < count; i++)
		free(replies[i].body);
}

/* The sender cannot reach the key-value store, so this node adds the heartbeats to its digest. */
static void cache_heartbeats(struct fl_node *node, const struct fl_peer_heartbeats *message)
{
	const cJSON *item;

	cJSON_ArrayForEach (item, message->heartbeat_list) {
		struct fl_heartbeat heartbeat;

		if (fl_heartbeat_decode_json(item, &heartbeat) != FL_DECODE_OK)
			continue;
		fl_heartbeat_cache(node, &heartbeat);
		fl_heartbeat_free(&heartbeat);
	}
}

static void forward_last_hop(struct fl_node *node, const struct fl_peer_heartbeats *message,
                             struct fl_http_response *response)
{
	struct heartbeat_request heartbeats = {(cJSON *)message->heartbeat_list,
	                                       message->entry_node};
	struct fl_forward_request request = make_forward_request(&heartbeats, FL_HOP_LAST);
	struct fl_http_reply reply;
	enum fl_forward_result result = fl_forward_to_leader(node, &request, &reply);

	if (result == FL_FORWARD_ANSWERED && reply.status == 200) {
		response->status = 200;
		response->body = reply.body.data;
		return;
	}
	if (result == FL_FORWARD_ANSWERED)
		fl_buffer_free(&reply.body);
	if (message->sender_kv_unavailable)
		cache_heartbeats(node, message);
	fl_respond_error(response, 421, "not the leader");
}

void fl_heartbeat_forward_serve(struct fl_node *node, const char *body, size_t len,
                                struct fl_http_response *response)
{
	struct fl_peer_heartbeats message;

	if (fl_peer_heartbeats_decode(body, len, &message) != FL_DECODE_OK) {
		fl_error("peers", "forwarded heartbeats malformed; request rejected path=%s",
		         FL_PATH_HEARTBEATS);
		fl_respond_error(response, 400, "malformed heartbeats");
		return;
	}
	if (fl_is_leader(node))
		answer_heartbeats(node, &message, response);
	else if (fl_forward_is_forbidden(node, message.last_hop))
		fl_respond_error(response, 421, "not the leader");
	else
		forward_last_hop(node, &message, response);
	fl_peer_heartbeats_free(&message);
}
