/* The interval and the time budget of scheduling cycles, by the controller's share of a core. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "coordination/scheduling/scheduling_cycle.h"

static const double small_core_share = 0.03, period_s = 60;

/* Returns the part of the core share that successive cycles of this processor time use. */
static double used_part_of_core_share(double core_share, double processor_s)
{
	double interval_s = fl_scheduling_cycle_interval_s(core_share, processor_s, processor_s);

	return period_s / interval_s * processor_s / (period_s * core_share);
}

/*
 * Guards against cycles that use up a small core share: a process runs at full speed until its
 * share is used up, so with 3.6% of a core a cycle of 4 ms of real time seemed negligible, but
 * ten of them per second took the whole share.
 */
static void scheduling_cycles_leave_half_of_a_small_core_share(void **state)
{
	(void)state;
	assert_true(used_part_of_core_share(small_core_share, 0.004) < 0.51);
	assert_true(used_part_of_core_share(4 * small_core_share, 0.004) < 0.51);
	assert_true(used_part_of_core_share(1, 0.004) < 0.51);
}

/* A cycle that stopped at its time budget is resumed within a second. */
static void the_next_scheduling_cycle_begins_within_a_second(void **state)
{
	(void)state;
	assert_true(fl_scheduling_cycle_interval_s(small_core_share, 0.5, 0.5) <= 1);
	assert_true(fl_scheduling_cycle_interval_s(small_core_share, 0, 0) <= 0.1);
}

/* A cycle that uses up its budget each second leaves as much of the share to other work. */
static void a_scheduling_cycle_stops_within_its_part_of_the_core_share(void **state)
{
	(void)state;
	assert_true(fl_scheduling_cycle_budget_s(small_core_share) < 0.51 * small_core_share);
	assert_true(fl_scheduling_cycle_budget_s(small_core_share) > 0);
	assert_true(fl_scheduling_cycle_budget_s(1) >=
	            fl_scheduling_cycle_budget_s(small_core_share));
	assert_true(fl_scheduling_cycle_budget_s(64) <= 0.03);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(scheduling_cycles_leave_half_of_a_small_core_share),
		cmocka_unit_test(the_next_scheduling_cycle_begins_within_a_second),
		cmocka_unit_test(a_scheduling_cycle_stops_within_its_part_of_the_core_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
