#include "coordination/autoscaling/call_budget.h"

#include "coordination/node.h"
#include "storage/token_bucket.h"
#include "transport/clock.h"

enum fl_call_permission fl_autoscaler_await_call_budget(struct fl_node *node)
{
	double wait_s;

	while ((wait_s = fl_token_bucket_take(&node->autoscaler.call_budget, 1, fl_now())) > 0)
		if (fl_sleep(wait_s) != 0)
			return FL_CALL_CANCELLED;
	return fl_leader_lease_is_valid(&node->leader_lease) ? FL_CALL_ALLOWED
	                                                     : FL_CALL_LEADERSHIP_LOST;
}
