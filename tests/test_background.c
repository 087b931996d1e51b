/*
 * Background work: arrays of classes without a service-level objective (SLO) in the settings. It
 * waits for work of its priority that has an SLO, but begins as early as any other job.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <math.h>
#include <string.h>

#include "coordination/scheduling/schedule.h"

enum { BACKGROUND, WITH_SLO, JOBS };

struct site {
	struct fl_sched_job jobs[JOBS];
	struct fl_sched_machine machine;
	struct fl_team team;
	struct fl_sched_input input;
};

/* Two arrays of one priority and a machine with room for one task; the first has waited longer. */
static void init_site(struct site *site, double background_waited_s, bool background_begun)
{
	memset(site, 0, sizeof(*site));
	for (int i = 0; i < JOBS; i++)
		site->jobs[i] = (struct fl_sched_job){.priority = FL_BEST_EFFORT,
		                                      .waited_s = 10,
		                                      .estimate_s = 60,
		                                      .need.cpus = 6,
		                                      .need.ram_gb = 8,
		                                      .task_count = 10,
		                                      .startable_count = 10,
		                                      .allowed_types = 1,
		                                      .zone = -1,
		                                      .spot_allowed = true,
		                                      .begun = true,
		                                      .window_remaining_s = -1};
	site->jobs[BACKGROUND].waited_s = background_waited_s;
	site->jobs[BACKGROUND].begun = background_begun;
	site->machine =
		(struct fl_sched_machine){.free.cpus = 8, .free.ram_gb = 64, .pull_gb_per_s = 1};
	site->input = (struct fl_sched_input){.params = &fl_sched_default_params,
	                                      .jobs = site->jobs,
	                                      .job_count = JOBS,
	                                      .machines = &site->machine,
	                                      .machine_count = 1,
	                                      .teams = &site->team};
}

/* Runs a cycle; returns the job that gets the only free place. */
static int first_started_job(struct site *site)
{
	struct fl_sched_output output;
	int job;

	assert_int_equal(fl_schedule(&site->input, &output), FL_SCHEDULE_OK);
	assert_int_equal(output.start_count, 1);
	job = output.starts[0].job;
	fl_sched_output_free(&output);
	return job;
}

static void background_work_waits_for_work_with_an_slo(void **state)
{
	struct site site;

	(void)state;
	init_site(&site, 90, true);

	/* By the paper that schedule.h cites, the job that has waited longer starts first. */
	assert_int_equal(first_started_job(&site), BACKGROUND);

	init_site(&site, 90, true);
	site.jobs[BACKGROUND].background = true;
	assert_int_equal(first_started_job(&site), WITH_SLO);
}

/* The weight of a background job's wait grows too, so that other work cannot starve the job. */
static void background_work_starts_when_it_has_waited_long(void **state)
{
	struct site site;

	(void)state;
	init_site(&site, 600, true);
	site.jobs[BACKGROUND].background = true;
	assert_int_equal(first_started_job(&site), BACKGROUND);
}

/* Even the largest job of any class must begin within four minutes. */
static void background_work_begins_as_early_as_any_other(void **state)
{
	struct site site;

	(void)state;
	init_site(&site, fl_sched_default_params.overdue_after_s + 1, false);
	site.jobs[BACKGROUND].background = true;
	assert_int_equal(first_started_job(&site), BACKGROUND);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(background_work_waits_for_work_with_an_slo),
		cmocka_unit_test(background_work_starts_when_it_has_waited_long),
		cmocka_unit_test(background_work_begins_as_early_as_any_other),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
