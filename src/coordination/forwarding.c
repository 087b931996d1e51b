#include "coordination/forwarding.h"

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

struct fl_peer *fl_peer_find(struct fl_node *n, const char *name)
{
	for (int i = 0; i < n->peer_count; i++)
		if (strcmp(n->peers[i].name, name) == 0)
			return &n->peers[i];
	return NULL;
}

int fl_node_index(struct fl_node *n, const char *name)
{
	const struct fl_peer *peer;

	if (!name[0])
		return 0;
	if (strcmp(name, n->config->node) == 0)
		return 1;
	peer = fl_peer_find(n, name);
	return peer ? 2 + (int)(peer - n->peers) : 0;
}

bool fl_forward_ends_here(const struct fl_node *n, bool last_hop)
{
	return last_hop || strcmp(n->leader_name, n->config->node) == 0;
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

int fl_forward(struct fl_node *n, const char *path, fl_forward_encoder encode, const void *context,
               enum fl_forward_hop hop, double patience_s, struct fl_http_reply *out)
{
	struct fl_peer *leader = fl_peer_find(n, n->leader_name);
	double until = fl_now() + patience_s;
	int rc = -EHOSTUNREACH;
	char *text;

	if (!leader)
		return rc;
	if (leader->up || n->peer_count == 1) {
		text = encode(context, true, false);
		rc = forward_via(leader, path, text,
		                 hop ? patience_s : fmin(tunables.direct_s, patience_s), out);
		free(text);
	}
	if (rc == 0 || hop)
		return rc;
	text = encode(context, false, fl_kv_is_unavailable(&n->kv_store));
	for (int i = 0; i < n->peer_count && rc != 0; i++) {
		struct fl_peer *peer = &n->peers[i];

		if (peer != leader && peer->up)
			rc = forward_via(peer, path, text, until - fl_now(), out);
	}
	free(text);
	return rc;
}
