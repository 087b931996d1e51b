/* How often passes are made, and how long they may be, by the controller's share of a core. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "coordination/scheduling/scheduling_cycle.h"

static const double lean_share = 0.03, seconds = 60;

/* The part of the processor that passes use which take this long, one after the other. */
static double part_used(double core_share, double processor_s)
{
	double gap = fl_scheduling_cycle_gap_s(core_share, processor_s, processor_s);

	return seconds / gap * processor_s / (seconds * core_share);
}

/*
 * Found with 3.6% of a core: a process runs at full speed until its share is used up, so that by
 * the clock a pass of 4 ms was nothing, and ten of them a second took the whole share.
 */
static void passes_leave_half_of_a_small_share(void **state)
{
	(void)state;
	assert_true(part_used(lean_share, 0.004) < 0.51);
	assert_true(part_used(4 * lean_share, 0.004) < 0.51);
	assert_true(part_used(1, 0.004) < 0.51);
}

/* Work that was stopped at its budget goes on within a second. */
static void no_pass_waits_for_more_than_a_second(void **state)
{
	(void)state;
	assert_true(fl_scheduling_cycle_gap_s(lean_share, 0.5, 0.5) <= 1);
	assert_true(fl_scheduling_cycle_gap_s(lean_share, 0, 0) <= 0.1);
}

/* A pass that uses up its budget each second leaves as much to other work, too. */
static void a_pass_stops_within_its_part_of_the_share(void **state)
{
	(void)state;
	assert_true(fl_scheduling_cycle_budget_s(lean_share) < 0.51 * lean_share);
	assert_true(fl_scheduling_cycle_budget_s(lean_share) > 0);
	assert_true(fl_scheduling_cycle_budget_s(1) >= fl_scheduling_cycle_budget_s(lean_share));
	assert_true(fl_scheduling_cycle_budget_s(64) <= 0.03);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(passes_leave_half_of_a_small_share),
		cmocka_unit_test(no_pass_waits_for_more_than_a_second),
		cmocka_unit_test(a_pass_stops_within_its_part_of_the_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
