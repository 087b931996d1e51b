/* What the combinations of faults share. */
#include "fault_combinations.h"

#include "sim.h"

void inject_cancel_running(double start_s, int count, double hang_s)
{
	SIM_INJECT(FAULT_CANCEL_RUNNING, .start_s = start_s, .count = count, .hang_s = hang_s);
}

void inject_leader_down(double start_s, double duration_s)
{
	SIM_INJECT(FAULT_NODE_DOWN, .start_s = start_s, .duration_s = duration_s,
	           .target = TARGET_LEADER);
}

void inject_leader_down_within(double start_s, double window_s, double duration_s)
{
	inject_leader_down(sim_random_between(start_s, start_s + window_s), duration_s);
}
