#include "coordination/follower/forwarding.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double direct_timeout_s;
} tunables = {
	.direct_timeout_s = 0.7, /* s for a direct request to the leader, if there is another way */
};

/* The other controller of this name, or NULL. */
static struct fl_peer *find_peer(struct fl_node *node, const char *name)
{
	for (int i = 0; i < node->peer_count; i++)
		if (strcmp(node->peers[i].name, name) == 0)
			return &node->peers[i];
	return NULL;
}

int fl_node_index(struct fl_node *node, const char *name)
{
	const struct fl_peer *peer;

	if (!name[0])
		return 0;
	if (strcmp(name, node->config->node) == 0)
		return 1;
	peer = find_peer(node, name);
	return peer ? 2 + (int)(peer - node->peers) : 0;
}

/* Without a third controller nothing is lost by trying one whose last exchange failed. */
static bool may_be_reachable(const struct fl_node *node, const struct fl_peer *peer)
{
	return peer->up || node->peer_count == 1;
}

bool fl_forward_leader_is_reachable(struct fl_node *node)
{
	const struct fl_peer *leader = find_peer(node, node->leader_view.leader);

	return leader && may_be_reachable(node, leader);
}

bool fl_forward_is_forbidden(const struct fl_node *node, bool last_hop)
{
	return last_hop || strcmp(node->leader_view.leader, node->config->node) == 0;
}

static enum fl_forward_result result_of_request(int rc)
{
	switch (rc) {
	case 0:
		return FL_FORWARD_ANSWERED;
	case -ETIMEDOUT:
		return FL_FORWARD_TIMED_OUT;
	case -ECANCELED:
		return FL_FORWARD_CANCELLED;
	default:
		return FL_FORWARD_CONNECTION_LOST;
	}
}

/* Sends a request to one peer; its reply is 421 if it neither leads nor reaches the leader. */
static enum fl_forward_result forward_via(struct fl_peer *peer, const char *path, const char *text,
                                          double timeout_s, struct fl_http_reply *reply)
{
	enum fl_forward_result result;

	if (!text)
		return FL_FORWARD_OUT_OF_MEMORY;
	if (timeout_s <= 0)
		return FL_FORWARD_TIMED_OUT;
	result = result_of_request(fl_http_call(&peer->http, "POST", path, text, timeout_s, reply));
	if (result == FL_FORWARD_ANSWERED && reply->status == 421) {
		fl_buffer_free(&reply->body);
		return FL_FORWARD_NO_LEADER;
	}
	return result;
}

static enum fl_forward_result forward_directly(struct fl_peer *leader,
                                               const struct fl_forward_request *request,
                                               struct fl_http_reply *reply)
{
	double timeout_s = request->hop == FL_HOP_LAST
	                           ? request->timeout_s
	                           : fmin(tunables.direct_timeout_s, request->timeout_s);
	const struct fl_forward_flags flags = {.last_hop = true};
	char *text = request->encode(request->context, &flags);
	enum fl_forward_result result = forward_via(leader, request->path, text, timeout_s, reply);

	free(text);
	return result;
}

enum fl_forward_result fl_forward_to_leader(struct fl_node *node,
                                            const struct fl_forward_request *request,
                                            struct fl_http_reply *reply)
{
	struct fl_peer *leader = find_peer(node, node->leader_view.leader);
	double deadline = fl_now() + request->timeout_s;
	enum fl_forward_result result = FL_FORWARD_NO_LEADER;
	struct fl_forward_flags flags = {.last_hop = false};
	char *text;

	if (!leader)
		return result;
	if (may_be_reachable(node, leader))
		result = forward_directly(leader, request, reply);
	if (result == FL_FORWARD_ANSWERED || request->hop == FL_HOP_LAST)
		return result;
	flags.kv_store_unavailable = fl_kv_is_unavailable(&node->kv_store);
	text = request->encode(request->context, &flags);
	for (int i = 0; i < node->peer_count && result != FL_FORWARD_ANSWERED; i++) {
		struct fl_peer *peer = &node->peers[i];

		if (peer != leader && peer->up)
			result = forward_via(peer, request->path, text, deadline - fl_now(), reply);
	}
	free(text);
	return result;
}

static enum fl_forward_result result_of_decoding(enum fl_decode_result result)
{
	switch (result) {
	case FL_DECODE_OK:
		return FL_FORWARD_ANSWERED;
	case FL_DECODE_MALFORMED:
		return FL_FORWARD_MALFORMED_REPLY;
	case FL_DECODE_NO_MEMORY:
		break;
	}
	return FL_FORWARD_OUT_OF_MEMORY;
}

enum fl_forward_result fl_forward_and_decode(struct fl_node *node,
                                             const struct fl_forward_request *request,
                                             fl_forward_decoder decode, void *decode_context)
{
	struct fl_http_reply reply;
	enum fl_forward_result result = fl_forward_to_leader(node, request, &reply);

	if (result != FL_FORWARD_ANSWERED)
		return result;
	result = reply.status == 200 ? result_of_decoding(decode(decode_context, reply.body.data,
	                                                         reply.body.length))
	                             : FL_FORWARD_REJECTED;
	if (result == FL_FORWARD_MALFORMED_REPLY)
		fl_error("peers", "malformed reply: path=%s leader=%s", request->path,
		         node->leader_view.leader);
	fl_buffer_free(&reply.body);
	return result;
}
