/*
 * The backfill window of the scheduling cycle: its length, and that it does not restart with each
 * cycle.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>

#include "schedule_fixture.h"

/* Half of each of two machines becomes free in 10 s, a whole machine only in 100 s. */
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

	/* Computed from the total of the free CPUs, the window would be 4 * 10 s. */
	assert_true(fabs(output.window_s - 4 * 100) < 1e-6);
	assert_int_equal(output.start_count, 1);
	fl_sched_output_free(&output);
}

/* The window spans several scheduling cycles: it may shrink but does not restart. */
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

	snapshot.jobs[0].window_remaining_s = 40; /* rest of a window set in an earlier cycle */
	snapshot.jobs[1] = plain_job(1, 1, 50, 1);
	snapshot.machines[0] = plain_machine(2);
	run_schedule(&snapshot, &output);
	assert_true(output.window_s <= 40);
	assert_int_equal(output.start_count, 0);
	fl_sched_output_free(&output);
}

/* Returns a service that runs on a machine, given by its index: it never ends by itself. */
static struct fl_sched_attempt running_service(int machine, double cpus)
{
	struct fl_sched_attempt attempt = running_attempt(machine, cpus, INFINITY);

	attempt.service = true;
	return attempt;
}

/*
 * Guards against jobs that wait beside free machines for as long as a service runs (review case 4):
 * the window was set while the top job could still expect a place, and was kept when it could not.
 */
static void a_top_job_that_fits_nowhere_holds_no_job_back(void **state)
{
	struct snapshot snapshot = {.job_count = 2, .machine_count = 1, .attempt_count = 1};
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[0] = plain_job(8, 2, 20, 1000);
	snapshot.jobs[0].window_remaining_s = 0;
	snapshot.jobs[1] = plain_job(3, 2, 300, 1);
	snapshot.machines[0] = plain_machine(4);
	snapshot.attempts[0] = running_service(0, 8);
	run_schedule(&snapshot, &output);

	assert_int_equal(output.top_job, 0);
	assert_true(output.window_s >= INFINITY);
	assert_int_equal(output.start_count, 1);
	assert_int_equal(output.starts[0].job, 1);
	fl_sched_output_free(&output);
}

/*
 * Runs a cycle on two machines with 4 free CPUs each: on the first one a task ends in 100 s, on the
 * second one runs a service. Asserts that the lower job starts on the second one only.
 */
static void assert_only_second_machine_is_unlimited(struct fl_sched_job top)
{
	struct snapshot snapshot = {.job_count = 2, .machine_count = 2, .attempt_count = 2};
	struct fl_sched_output output;

	snapshot.jobs[0] = top;
	snapshot.jobs[0].window_remaining_s = 0;
	snapshot.jobs[1] = plain_job(3, 2, 300, 1);
	for (int i = 0; i < snapshot.machine_count; i++)
		snapshot.machines[i] = plain_machine(4);
	snapshot.attempts[0] = running_attempt(0, 8, 100);
	snapshot.attempts[1] = running_service(1, 8);
	run_schedule(&snapshot, &output);

	assert_true(output.window_s <= 0);
	assert_int_equal(output.start_count, 1);
	assert_int_equal(output.starts[0].machine, 1);
	fl_sched_output_free(&output);
}

/* The same where the top job can expect a place on one machine, but not on the other. */
static void a_machine_on_which_the_top_job_cannot_fit_is_not_limited(void **state)
{
	(void)state;
	assert_only_second_machine_is_unlimited(plain_job(8, 2, 20, 1000));
}

/* A gang in the same place: the machine has no room for any of its tasks, whatever ends. */
static void a_machine_on_which_no_task_of_a_gang_can_fit_is_not_limited(void **state)
{
	struct fl_sched_job gang = plain_job(6, 2, 20, 1000);

	(void)state;
	gang.gang = true;
	assert_only_second_machine_is_unlimited(gang);
}

/* A top job that waits for the end of 12 of 16 CPUs, and a job whose tasks fit but end too late. */
static struct snapshot make_holding_site(void)
{
	struct snapshot snapshot = {.job_count = 2, .machine_count = 1, .attempt_count = 1};

	snapshot.jobs[0] = plain_job(8, 2, 20, 1000);
	snapshot.jobs[0].window_remaining_s = 0;
	snapshot.jobs[1] = plain_job(2, 2, 300, 1);
	snapshot.machines[0] = plain_machine(4);
	snapshot.attempts[0] = running_attempt(0, 12, 1);
	return snapshot;
}

/*
 * Guards against jobs that wait for 90 s beside a machine with room: what the top job waits for may
 * run on past its estimate, or new work may take the place.
 */
static void a_job_held_for_long_gets_one_task(void **state)
{
	struct snapshot snapshot = make_holding_site();
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[1].held_s = fl_sched_default_params.max_hold_s - 1;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 0);
	assert_int_equal(output.holds[1], FL_SCHED_HELD);
	fl_sched_output_free(&output);

	snapshot = make_holding_site();
	snapshot.jobs[1].held_s = fl_sched_default_params.max_hold_s;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 1);
	assert_int_equal(output.starts[0].job, 1);
	assert_int_equal(output.holds[1], FL_SCHED_NOT_HELD);
	fl_sched_output_free(&output);
}

/* A job of which a task runs is not left waiting; its other tasks leave the place to the top job.
 */
static void an_array_of_which_a_task_runs_is_not_held(void **state)
{
	struct snapshot snapshot = make_holding_site();
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[1].placed_by_zone[0] = 1;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 0);
	assert_int_equal(output.holds[1], FL_SCHED_NOT_HELD);
	fl_sched_output_free(&output);
}

/* A gang starts as a whole or not at all, also after it was held. */
static void a_gang_held_for_long_starts_as_a_whole(void **state)
{
	struct snapshot snapshot = make_holding_site();
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[1].gang = true;
	snapshot.jobs[1].held_s = fl_sched_default_params.max_hold_s;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 2);
	fl_sched_output_free(&output);

	snapshot = make_holding_site();
	snapshot.jobs[1] = plain_job(2, 3, 300, 1);
	snapshot.jobs[1].gang = true;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 0);
	assert_int_equal(output.holds[1], FL_SCHED_NOT_HELD);
	fl_sched_output_free(&output);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_backfill_window_is_not_shortened_by_fragmented_capacity),
		cmocka_unit_test(a_backfill_window_does_not_restart_with_each_cycle),
		cmocka_unit_test(a_top_job_that_fits_nowhere_holds_no_job_back),
		cmocka_unit_test(a_machine_on_which_the_top_job_cannot_fit_is_not_limited),
		cmocka_unit_test(a_machine_on_which_no_task_of_a_gang_can_fit_is_not_limited),
		cmocka_unit_test(a_job_held_for_long_gets_one_task),
		cmocka_unit_test(an_array_of_which_a_task_runs_is_not_held),
		cmocka_unit_test(a_gang_held_for_long_starts_as_a_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
