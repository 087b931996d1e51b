#include "coordination/follower/isolation.h"

#include "coordination/follower/gossip.h"
#include "coordination/node.h"
#include "transport/clock.h"

static const struct {
	double silence_s;
} tunables = {
	.silence_s = 1.5, /* s without any word before a node counts as isolated */
};

bool fl_node_is_isolated(const struct fl_node *node)
{
	double last = fl_gossip_last_heard(node);

	if (node->peer_count == 0 || !fl_kv_is_unavailable(&node->kv_store))
		return false;
	for (int i = 0; i < node->peer_count; i++)
		if (node->peers[i].up)
			return false;
	if (node->kv_store.last_success_at > last)
		last = node->kv_store.last_success_at;
	return fl_now() > last + tunables.silence_s;
}
