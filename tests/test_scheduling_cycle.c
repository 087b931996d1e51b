/* How often scheduling cycles run, and how long they may take, by the controller's share of a core.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "coordination/scheduling/scheduling_cycle.h"

static const double small_core_share = 0.03, period_s = 60;

/* The part of the processor that scheduling cycles of this length use, one after the other. */
static double used_part_of_core_share(double core_share, double processor_s)
{
	double interval_s = fl_scheduling_cycle_interval_s(core_share, processor_s, processor_s);

	return period_s / interval_s * processor_s / (period_s * core_share);
}

/*
 * Found with 3.6% of a core: a process runs at full speed until its share is used up, so that by
 * the clock a scheduling cycle of 4 ms was nothing, and ten of them a second took the whole share.
 */
static void scheduling_cycles_leave_half_of_a_small_core_share(void **state)
{
	(void)state;
	assert_true(used_part_of_core_share(small_core_share, 0.004) < 0.51);
	assert_true(used_part_of_core_share(4 * small_core_share, 0.004) < 0.51);
	assert_true(used_part_of_core_share(1, 0.004) < 0.51);
}

/* Work that was stopped at its budget goes on within a second. */
static void the_next_scheduling_cycle_begins_within_a_second(void **state)
{
	(void)state;
	assert_true(fl_scheduling_cycle_interval_s(small_core_share, 0.5, 0.5) <= 1);
	assert_true(fl_scheduling_cycle_interval_s(small_core_share, 0, 0) <= 0.1);
}

/* A scheduling cycle that uses up its budget each second leaves as much to other work, too. */
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
