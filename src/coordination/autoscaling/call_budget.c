/* The budget of calls to the cloud. */
#include "coordination/autoscaling/autoscaler_internal.h"

#include "transport/clock.h"

enum fl_cloud_result fl_autoscaler_await_call_budget(struct fl_node *node)
{
	double wait;

	while ((wait = fl_token_bucket_take(&node->autoscaler.call_budget, 1, fl_now())) > 0)
		if (fl_sleep(wait) != 0)
			return FL_CLOUD_CANCELLED;
	return fl_leader_lease_is_valid(node) ? FL_CLOUD_OK : FL_CLOUD_UNAVAILABLE;
}
