#include "coordination/election/leader_lease.h"

#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/log.h"

bool fl_leader_lease_is_valid(const struct fl_leader_lease *lease)
{
	return lease->held && fl_now() < lease->valid_until;
}

bool fl_is_leader(const struct fl_node *node)
{
	return node->leadership.active && fl_leader_lease_is_valid(&node->leader_lease);
}

void fl_leader_lease_step_down(struct fl_node *node, const char *reason)
{
	struct fl_leader_lease *lease = &node->leader_lease;

	if (!lease->held)
		return;
	fl_info("election", "leader stepped down node=%s reason=\"%s\" fencing_token=%llu",
	        node->config->node, reason, (unsigned long long)lease->fencing_token);
	lease->held = false;
	lease->valid_until = 0;
	fl_condition_broadcast(&node->leader_view.changed);
}
