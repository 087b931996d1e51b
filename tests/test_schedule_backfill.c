/*
 * The backfill window of the scheduling cycle: how long it is, and that it does not begin anew with
 * each scheduling cycle.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>

#include "schedule_fixture.h"

/* Half of each of two machines is free in 10 s, a whole machine only in 100 s. */
static void a_backfill_window_is_not_shortened_by_fragmented_capacity(void **state)
{
	struct snapshot snapshot = {.job_count = 2, .machine_count = 2, .attempt_count = 4};
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[0] = plain_job(8, 1, 60, 1000);
	snapshot.jobs[1] = plain_job(1, 1, 300, 1);
	snapshot.machines[0] = plain_machine(1);
	snapshot.machines[1] = plain_machine(0);
	for (int i = 0; i < 2; i++) {
		struct fl_sched_attempt *pair =
			i == 0 ? &snapshot.attempts[0] : &snapshot.attempts[2];

		pair[0] = running_attempt(i, 4, 10);
		pair[1] = running_attempt(i, 4, 100);
	}
	run_schedule(&snapshot, &output);
	assert_int_equal(output.top_job, 0);

	/* Judged by cores in total, it would be 4 * 10. */
	assert_true(fabs(output.window_s - 4 * 100) < 1e-6);
	assert_int_equal(output.start_count, 1);
	fl_sched_output_free(&output);
}

/* The window lasts over scheduling cycles: it may shrink but does not begin anew. */
static void a_backfill_window_does_not_restart_with_each_cycle(void **state)
{
	struct snapshot snapshot = {.job_count = 2, .machine_count = 1, .attempt_count = 1};
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[0] = plain_job(8, 1, 60, 1000);
	snapshot.jobs[1] = plain_job(1, 1, 50, 1);
	snapshot.machines[0] = plain_machine(2);
	snapshot.attempts[0] = running_attempt(0, 6, 100);
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 1);
	fl_sched_output_free(&output);

	snapshot.jobs[0].window_remaining_s =
		40; /* what is left of the window that was set long ago */
	snapshot.jobs[1] = plain_job(1, 1, 50, 1);
	snapshot.machines[0] = plain_machine(2);
	run_schedule(&snapshot, &output);
	assert_true(output.window_s <= 40);
	assert_int_equal(output.start_count, 0);
	fl_sched_output_free(&output);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_backfill_window_is_not_shortened_by_fragmented_capacity),
		cmocka_unit_test(a_backfill_window_does_not_restart_with_each_cycle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
