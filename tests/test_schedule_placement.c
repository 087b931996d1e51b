/* Placement by the scheduling cycle: gangs as a whole, and services where their image is cached. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
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
 * A service of two tasks, a free machine without its image, and two full ones that have it: on the
 * first a stop loses little, on the second too much.
 */
struct cached_image_site {
	int cached_images[FL_IMAGE_CACHE_MAX];
	struct fl_sched_job job;
	struct fl_sched_machine machines[3];
	struct fl_sched_attempt attempts[2];
	struct fl_team team;
	struct fl_sched_input input;
	struct fl_sched_output output;
};

static int set_up(void **state)
{
	struct cached_image_site *site = calloc(1, sizeof(*site));

	if (!site)
		return 1;
	for (int i = 0; i < FL_IMAGE_CACHE_MAX; i++)
		site->cached_images[i] = i == 3 ? 5 : -1;
	site->job = plain_job(4, 2, 0, 1);
	site->job.priority = FL_CRITICAL;
	site->job.service = true;
	site->job.image = 5;
	site->job.image_gb = 10;
	site->machines[0] = plain_machine(4);
	site->machines[1] = site->machines[2] = plain_machine(0);
	site->machines[1].cached_images = site->machines[2].cached_images = site->cached_images;
	site->attempts[0] = running_attempt(1, 4, 60);
	site->attempts[1] = running_attempt(2, 4, 60);
	site->attempts[0].priority = site->attempts[1].priority = FL_BEST_EFFORT;
	site->attempts[0].stop_loss_s = 5;
	site->attempts[1].stop_loss_s = 500;
	site->input = (struct fl_sched_input){.params = &fl_sched_default_params,
	                                      .jobs = &site->job,
	                                      .job_count = 1,
	                                      .machines = site->machines,
	                                      .machine_count = 3,
	                                      .attempts = site->attempts,
	                                      .attempt_count = 2,
	                                      .teams = &site->team};
	*state = site;
	return 0;
}

static int tear_down(void **state)
{
	free(*state);
	return 0;
}

static void run_cycle(struct cached_image_site *site)
{
	assert_int_equal(fl_schedule(&site->input, &site->output), FL_SCHEDULE_OK);
}

/* After a cycle: one task waits, and capacity is counted anew while the first victim stops. */
static void prepare_next_cycle(struct cached_image_site *site)
{
	fl_sched_output_free(&site->output);
	site->job.startable_count = 1;
	memset(site->job.placed_by_zone, 0, sizeof(site->job.placed_by_zone));
	site->machines[0].free.cpus = 4;
	site->machines[1].free.cpus = 0;
	site->attempts[0].stopping = true;
}

/*
 * Found at a thousand machines: a quarter of the services' tasks were late by their fetch alone,
 * on free machines, while others that held the image ran arrays begun a moment ago.
 */
static void a_service_preempts_where_its_image_is_cached_if_little_is_lost(void **state)
{
	struct cached_image_site *site = *state;
	struct fl_sched_output *output = &site->output;

	run_cycle(site);

	assert_int_equal(output->preemption_count, 1);
	assert_int_equal(output->preemptions[0], 0);
	assert_int_equal(output->start_count, 1);
	assert_int_equal(output->starts[0].machine, 0);
	assert_int_equal(output->unplaced_tasks[0], 0);
	fl_sched_output_free(output);
}

/* Capacity about to become free is not requested again, and no other is used. */
static void a_service_waits_for_the_machine_with_its_image_while_it_becomes_free(void **state)
{
	struct cached_image_site *site = *state;
	struct fl_sched_output *output = &site->output;

	run_cycle(site);
	prepare_next_cycle(site);

	run_cycle(site);

	assert_int_equal(output->preemption_count + output->start_count, 0);
	fl_sched_output_free(output);
}

static void a_service_starts_elsewhere_when_it_has_waited_as_long_as_a_fetch(void **state)
{
	struct cached_image_site *site = *state;
	struct fl_sched_output *output = &site->output;

	run_cycle(site);
	prepare_next_cycle(site);
	run_cycle(site);
	prepare_next_cycle(site);
	site->job.waited_s = 11;

	run_cycle(site);

	assert_int_equal(output->start_count, 1);
	assert_int_equal(output->starts[0].machine, 0);
	fl_sched_output_free(output);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_gang_starts_whole_or_not_at_all),
		cmocka_unit_test_setup_teardown(
			a_service_preempts_where_its_image_is_cached_if_little_is_lost, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_service_waits_for_the_machine_with_its_image_while_it_becomes_free,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_service_starts_elsewhere_when_it_has_waited_as_long_as_a_fetch, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
