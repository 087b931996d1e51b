/*
 * Which jobs are within their team's guaranteed quota: by submission for the order of jobs, and by
 * priority for preemption.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "coordination/scheduling/scheduling_snapshot.h"
#include "node_fixture.h"
#include "transport/clock.h"

/* Adds a job of two tasks with a CPU each to the fixture's team. */
static const struct fl_job *add_job(struct node_fixture *fixture, int number,
                                    enum fl_priority priority, double submitted_wall)
{
	struct fl_job_spec spec = {.job_class = "c",
	                           .team = "team",
	                           .image = "i",
	                           .task_count = 2,
	                           .cpus = 1,
	                           .ram_gb = 1,
	                           .priority = priority,
	                           .machine_type_count = FL_ANY_MACHINE_TYPE,
	                           .due_s = -1};

	snprintf(spec.ref, sizeof(spec.ref), "run-%06d", number);
	return fl_job_add(&fixture->node.cluster, &spec, submitted_wall, 1);
}

static void a_guarantee_belongs_to_the_most_important_jobs_of_its_team(void **state)
{
	struct node_fixture *fixture = *state;
	const struct fl_job *early = add_job(fixture, 2, FL_BEST_EFFORT, 10);
	const struct fl_job *late = add_job(fixture, 3, FL_URGENT, 30);
	struct fl_snapshot snapshot;

	/* Room for the fixture's job of four tasks, submitted at 0, and one of the others. */
	fixture->node.cluster.teams.by_index[0].guaranteed_cpus = 6;
	assert_int_equal(fl_snapshot_take(&fixture->node, &snapshot, fl_now()), FL_SCHEDULE_OK);
	assert_true(fixture->job->within_guaranteed_quota && fixture->job->holds_guarantee);
	assert_true(early->within_guaranteed_quota && !early->holds_guarantee);
	assert_true(!late->within_guaranteed_quota && late->holds_guarantee);
	fl_snapshot_free(&snapshot);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_guarantee_belongs_to_the_most_important_jobs_of_its_team),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
