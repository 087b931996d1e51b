/*
 * The limit of the tasks on one machine, exited ones included: a worker's heartbeat lists all of
 * them, and no controller accepts one of any size.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "node_fixture.h"

enum { MANY_TASKS = 2 * FL_MACHINE_TASKS_MAX };

/* Adds a job of which a machine could hold all tasks by its resources. */
static struct fl_job *add_job_of_small_tasks(struct node_fixture *fixture)
{
	return add_fixture_job(
		fixture, "run-000002",
		(struct fl_job_spec){
			.task_count = MANY_TASKS, .cpus = 0.001, .ram_gb = 0.001, .expected_s = 4});
}

static void run_cycles(struct node_fixture *fixture)
{
	for (int i = 0; i < MANY_TASKS / FL_TASK_BLOCK_SIZE; i++)
		run_scheduling_cycle(fixture);
}

/* Reports `exited_count` exited tasks of a job that the leader does not know. */
static void report_exited_tasks(struct node_fixture *fixture, uint64_t sequence, int exited_count)
{
	struct fl_task_status *tasks = calloc((size_t)exited_count + 1, sizeof(*tasks));

	for (int i = 0; i < exited_count; i++) {
		tasks[i] = running_task_status((uint32_t)i, 1);
		strcpy(tasks[i].ref, "run-000009");
		tasks[i].state = FL_TASK_STATE_EXITED;
	}
	deliver_heartbeat(fixture, make_heartbeat(1, sequence, FENCING_TOKEN, tasks, exited_count),
	                  FL_HEARTBEAT_FROM_WORKER);
	free(tasks);
}

static void no_more_tasks_are_placed_than_a_heartbeat_can_list(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_job *job = add_job_of_small_tasks(fixture);

	report_exited_tasks(fixture, 1, 0);
	run_cycles(fixture);
	assert_int_equal(job->counts.placed, FL_MACHINE_TASKS_MAX);
}

/* Exited tasks that the worker has not forgotten are in its heartbeat, too. */
static void exited_tasks_count_until_they_are_forgotten(void **state)
{
	const int exited_count = 100;
	struct node_fixture *fixture = *state;
	struct fl_job *job = add_job_of_small_tasks(fixture);

	report_exited_tasks(fixture, 1, exited_count);
	run_cycles(fixture);
	assert_int_equal(job->counts.placed, FL_MACHINE_TASKS_MAX - exited_count);
	report_exited_tasks(fixture, 2, 0);
	run_cycles(fixture);
	assert_int_equal(job->counts.placed, FL_MACHINE_TASKS_MAX);
}

/* A machine that already reports more, for whatever reason, keeps what it has, and gets no more. */
static void a_machine_above_the_limit_gets_no_more_tasks(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_job *job = add_job_of_small_tasks(fixture);

	report_exited_tasks(fixture, 1, MANY_TASKS);
	assert_true(fl_machine_free_task_slots(only_machine(fixture)) < 0);
	run_cycles(fixture);
	assert_int_equal(job->counts.placed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(no_more_tasks_are_placed_than_a_heartbeat_can_list),
		NODE_TEST(exited_tasks_count_until_they_are_forgotten),
		NODE_TEST(a_machine_above_the_limit_gets_no_more_tasks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
