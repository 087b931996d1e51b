#include "coordination/follower/forwarding.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "transport/clock.h"

static const struct {
	double direct_s;
} tunables = {
	.direct_s = 0.7, /* s for the straight way to the leader, if there is another */
};

struct fl_peer *fl_peer_find(struct fl_node *node, const char *name)
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
	peer = fl_peer_find(node, name);
	return peer ? 2 + (int)(peer - node->peers) : 0;
}

bool fl_forward_ends_here(const struct fl_node *node, bool last_hop)
{
	return last_hop || strcmp(node->leader_view.leader, node->config->node) == 0;
}

static int forward_via(struct fl_peer *peer, const char *path, const char *text, double timeout_s,
                       struct fl_http_reply *out)
{
	int rc;

	if (timeout_s <= 0)
		return -ETIMEDOUT;
	rc = fl_http_call(&peer->http, "POST", path, text, timeout_s, out);
	if (rc == 0 && out->status == 421) {
		fl_buffer_free(&out->body);
		return -EHOSTUNREACH;
	}
	return rc;
}

int fl_forward(struct fl_node *node, const char *path, fl_forward_encoder encode,
               const void *context, enum fl_forward_hop hop, double patience_s,
               struct fl_http_reply *out)
{
	struct fl_peer *leader = fl_peer_find(node, node->leader_view.leader);
	double until = fl_now() + patience_s;
	int rc = -EHOSTUNREACH;
	char *text;

	if (!leader)
		return rc;
	if (leader->up || node->peer_count == 1) {
		text = encode(context, true, false);
		rc = forward_via(leader, path, text,
		                 hop ? patience_s : fmin(tunables.direct_s, patience_s), out);
		free(text);
	}
	if (rc == 0 || hop)
		return rc;
	text = encode(context, false, fl_kv_is_unavailable(&node->kv_store));
	for (int i = 0; i < node->peer_count && rc != 0; i++) {
		struct fl_peer *peer = &node->peers[i];

		if (peer != leader && peer->up)
			rc = forward_via(peer, path, text, until - fl_now(), out);
	}
	free(text);
	return rc;
}
