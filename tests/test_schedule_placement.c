/* Placement by the scheduling cycle: gangs as a whole, and services where their image is cached. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "schedule_fixture.h"

static void a_gang_starts_whole_or_not_at_all(void **state)
{
	struct snapshot snapshot = {.job_count = 1, .machine_count = 2};
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[0] = plain_job(4, 4, 60, 10);
	snapshot.jobs[0].gang = true;
	snapshot.machines[0] = plain_machine(8);
	snapshot.machines[1] = plain_machine(7);
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 0);
	assert_true(snapshot.machines[0].free.cpus == 8 && snapshot.machines[1].free.cpus == 7);
	fl_sched_output_free(&output);
	snapshot.jobs[0].startable_count = 4;
	snapshot.machines[1] = plain_machine(8);
	run_schedule(&snapshot, &output);
	assert_int_equal(output.start_count, 4);
	fl_sched_output_free(&output);
}

/*
 * Found at a thousand machines: a quarter of the services' tasks were late by their fetch alone,
 * on free machines, while others that held the image ran arrays begun a moment ago.
 */
static void a_service_is_placed_where_its_image_is_cached(void **state)
{
	int cached_images[FL_IMAGE_CACHE_MAX];
	struct fl_sched_job job = plain_job(4, 2, 0, 1);
	struct fl_sched_machine machine[3] = {plain_machine(4), plain_machine(0), plain_machine(0)};
	struct fl_sched_attempt attempts[2] = {running_attempt(1, 4, 60),
	                                       running_attempt(2, 4, 60)};
	struct fl_sched_input input = {.params = &fl_sched_defaults,
	                               .jobs = &job,
	                               .job_count = 1,
	                               .machines = machine,
	                               .machine_count = 3,
	                               .attempts = attempts,
	                               .attempt_count = 2};
	struct fl_team team = {.name = "t"};
	struct fl_sched_output output;

	(void)state;
	input.teams = &team;
	for (int i = 0; i < FL_IMAGE_CACHE_MAX; i++)
		cached_images[i] = i == 3 ? 5 : -1;
	job.priority = FL_CRITICAL;
	job.service = true;
	job.image = 5;
	job.image_gb = 10;
	machine[1].cached_images = machine[2].cached_images = cached_images;
	attempts[0].priority = attempts[1].priority = FL_BEST_EFFORT;
	attempts[0].lost_s = 5;
	attempts[1].lost_s = 500;
	/* One stop that loses little; the other loses too much, so the free machine is taken. */
	assert_int_equal(fl_schedule(&input, &output), FL_SCHEDULE_OK);
	assert_int_equal(output.preemption_count, 1);
	assert_int_equal(output.preemptions[0], 0);
	assert_int_equal(output.start_count, 1);
	assert_int_equal(output.starts[0].machine, 0);
	assert_int_equal(output.unplaced_tasks[0], 0);
	fl_sched_output_free(&output);
	/* Capacity about to become free is not requested again, and no other is used. */
	job.startable_count = 1;
	memset(job.placed_by_zone, 0, sizeof(job.placed_by_zone));
	machine[0].free.cpus = 4;
	machine[1].free.cpus = 0;
	attempts[0].stopping = true;
	assert_int_equal(fl_schedule(&input, &output), FL_SCHEDULE_OK);
	assert_int_equal(output.preemption_count + output.start_count, 0);
	fl_sched_output_free(&output);
	/* It has not become free in the time that a fetch takes. */
	job.waited_s = 11;
	machine[0].free.cpus = 4;
	machine[1].free.cpus = 0;
	assert_int_equal(fl_schedule(&input, &output), FL_SCHEDULE_OK);
	assert_int_equal(output.start_count, 1);
	assert_int_equal(output.starts[0].machine, 0);
	fl_sched_output_free(&output);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_gang_starts_whole_or_not_at_all),
		cmocka_unit_test(a_service_is_placed_where_its_image_is_cached),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
