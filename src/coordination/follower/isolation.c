#include "coordination/follower/isolation.h"

#include <math.h>

#include "coordination/follower/gossip.h"
#include "coordination/node.h"
#include "transport/clock.h"

static const struct {
	double isolation_delay_s;
} tunables = {
	.isolation_delay_s = 1.5, /* without any reply, until a node counts as isolated */
};

bool fl_node_is_isolated(const struct fl_node *node)
{
	double last_reply_at;

	if (node->peer_count == 0 || !fl_kv_is_unavailable(&node->kv_store))
		return false;
	for (int i = 0; i < node->peer_count; i++)
		if (node->peers[i].up)
			return false;
	last_reply_at = fmax(fl_gossip_last_response_at(node), node->kv_store.last_success_sent_at);
	return fl_now() > last_reply_at + tunables.isolation_delay_s;
}
