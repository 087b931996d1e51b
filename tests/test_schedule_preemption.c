/*
 * Preemption by the scheduling pass: room that is about to become free is not requested twice, and
 * goes to the job for which a task was stopped.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "schedule_fixture.h"

/* What was stopped and has not ended yet is capacity already reserved: nothing more is stopped. */
static void capacity_about_to_become_free_is_not_requested_twice(void **state)
{
	struct snapshot snapshot = {.n_jobs = 1, .n_machines = 2, .n_runs = 2};
	struct fl_sched_output output;

	(void)state;
	snapshot.jobs[0] = plain_job(4, 1, 0, 1);
	snapshot.jobs[0].service = true;
	snapshot.jobs[0].priority = FL_CRITICAL;
	snapshot.machines[0] = plain_machine(0);
	snapshot.machines[1] = plain_machine(0);
	snapshot.runs[0] = plain_run(0, 4, 50);
	snapshot.runs[1] = plain_run(1, 4, 50);
	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 1);
	fl_sched_output_free(&output);
	snapshot.machines[0] = plain_machine(0);
	snapshot.machines[1] = plain_machine(0);
	snapshot.jobs[0].startable_count = 1;
	snapshot.jobs[0].placed_by_zone[0] = 0;
	assert_true(snapshot.runs[0].stopping != snapshot.runs[1].stopping);
	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 0);
	assert_int_equal(output.unplaced_tasks[0], 0);
	fl_sched_output_free(&output);
}

/*
 * An idle-time array that has waited long goes before one of a higher priority, which may stop it.
 * Each stop must be the higher one's start, in the next pass but one at most: found as 80,000 stops
 * in ten minutes, by which the higher array got nothing either.
 */
static void preempted_capacity_goes_to_the_preempting_job(void **state)
{
	struct snapshot snapshot = {.n_jobs = 2, .n_machines = 2};
	int low = 0, high = 0, stops = 0;

	(void)state;
	snapshot.jobs[0] = plain_job(6, 40, 300, 600);
	snapshot.jobs[0].priority = FL_BEST_EFFORT;
	snapshot.jobs[0].begun = true;
	snapshot.jobs[1] = plain_job(10, 6, 100, 10);
	snapshot.machines[0] = snapshot.machines[1] = plain_machine(32);
	for (int passes = 0; passes < 40; passes++) {
		struct fl_sched_output output;
		int withheld = 0;

		for (int i = 0; i < 2; i++) {
			snapshot.machines[i].reserved = snapshot.machines[i].requested;
			snapshot.machines[i].requested = (struct fl_reservation){0};
		}
		run_schedule(&snapshot, &output);
		stops += output.preemption_count;
		for (int i = 0; i < output.start_count; i++) {
			const struct fl_sched_job *job = &snapshot.jobs[output.starts[i].job];
			struct fl_sched_attempt run = plain_run(output.starts[i].machine,
			                                        job->need.cpus, job->estimate_s);

			run.priority = job->priority;
			snapshot.runs[snapshot.n_runs++] = run;
			*(output.starts[i].job ? &high : &low) += 1;
		}
		/* What is stopped has ended by the next pass; capacity is counted anew. */
		for (int i = 0; i < snapshot.n_runs; i++)
			if (!snapshot.runs[i].stopping)
				snapshot.runs[withheld++] = snapshot.runs[i];
			else
				snapshot.jobs[0].startable_count++;
		snapshot.n_runs = withheld;
		for (int i = 0; i < 2; i++)
			snapshot.machines[i].free.cpus = 32;
		for (int i = 0; i < snapshot.n_runs; i++)
			snapshot.machines[snapshot.runs[i].machine].free.cpus -=
				snapshot.runs[i].used.cpus;
		fl_sched_output_free(&output);
	}
	assert_int_equal(high, 6);
	/* Ten filled the machines; what was stopped for six tasks may have started once more. */
	assert_true(low >= 10 && stops <= 12);
}

/* Each of two jobs could stop the other, one by priority and one by guarantee: only one may. */
static void guaranteed_work_is_not_stopped_for_what_it_could_stop(void **state)
{
	struct snapshot snapshot = {.n_jobs = 1, .n_machines = 1, .n_runs = 1};
	struct fl_sched_output output;

	(void)state;
	snapshot.teams[1].guaranteed_cpus = 8;
	snapshot.teams[0].used_cpus = 4;
	snapshot.jobs[0] = plain_job(4, 1, 60, 10);
	snapshot.jobs[0].priority = FL_STANDARD;
	snapshot.machines[0] = plain_machine(0);
	snapshot.runs[0] = plain_run(0, 4, 50);
	snapshot.runs[0].priority = FL_BEST_EFFORT;
	snapshot.runs[0].team = 1;
	snapshot.runs[0].within_guaranteed = true;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 0);
	fl_sched_output_free(&output);
	/* Beyond the guarantee it gives way to the higher priority. */
	snapshot.machines[0] = plain_machine(0);
	snapshot.jobs[0].startable_count = 1;
	snapshot.runs[0].within_guaranteed = false;
	run_schedule(&snapshot, &output);
	assert_int_equal(output.preemption_count, 1);
	fl_sched_output_free(&output);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(capacity_about_to_become_free_is_not_requested_twice),
		cmocka_unit_test(preempted_capacity_goes_to_the_preempting_job),
		cmocka_unit_test(guaranteed_work_is_not_stopped_for_what_it_could_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
