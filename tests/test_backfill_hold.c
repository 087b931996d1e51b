/*
 * The backfill window over several scheduling cycles of a leader: what it remembers of the top job,
 * and for how long it may keep other jobs from starting.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/scheduling/schedule.h"
#include "node_fixture.h"
#include "transport/clock.h"

/* Adds a job; a service if `estimate_s` is 0. */
static struct fl_job *add_job(struct node_fixture *fixture, const char *ref, uint32_t task_count,
                              double cpus, double estimate_s)
{
	return add_fixture_job(fixture, ref,
	                       (struct fl_job_spec){.task_count = task_count,
	                                            .kind = estimate_s > 0 ? FL_ARRAY : FL_SERVICE,
	                                            .cpus = cpus,
	                                            .ram_gb = 1,
	                                            .expected_s = estimate_s});
}

static void place_first_task(struct node_fixture *fixture, struct fl_job *job)
{
	const struct fl_new_attempt attempt = {only_machine(fixture), FENCING_TOKEN};

	assert_int_equal(fl_task_place(&fixture->node.cluster, job, 0, &attempt, fl_now()),
	                 FL_PLACE_OK);
}

/* Adds a machine of 8 CPUs, of which a service uses 5. */
static void add_machine_with_service(struct node_fixture *fixture)
{
	deliver_idle_heartbeat(fixture, 1, 1);
	place_first_task(fixture, add_job(fixture, "run-000002", 1, 5, 0));
}

/*
 * Guards against a window that outlives its reason: the top job's window ended, a service took the
 * place that it waited for, and the jobs below waited for as long as the service ran. When the top
 * job can expect a place again, its window is a new one.
 */
static void the_window_of_a_top_job_that_fits_nowhere_is_forgotten(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_job *top, *lower;

	add_machine_with_service(fixture);
	top = add_job(fixture, "run-000003", 1, 5, 20);
	top->submitted_wall -= 1000;
	top->placement.backfill_window_until = fl_now() - 1;
	lower = add_job(fixture, "run-000004", 2, 3, 300);

	assert_int_equal(run_scheduling_cycle(fixture), 1);
	assert_int_equal(lower->counts.placed, 1);
	assert_true(top->placement.backfill_window_until <= 0);
}

/*
 * Guards against a job that waits without end beside a machine with room, because the task that the
 * top job waits for runs on past its estimate.
 */
static void a_job_is_held_for_a_bounded_time(void **state)
{
	const double max_hold_s = fl_sched_default_params.max_hold_s;
	struct node_fixture *fixture = *state;
	struct fl_job *top, *running, *lower;

	add_machine_with_service(fixture);
	running = add_job(fixture, "run-000003", 1, 2, 1);
	place_first_task(fixture, running);
	top = add_job(fixture, "run-000004", 1, 3, 1);
	top->submitted_wall -= 1000;
	top->placement.backfill_window_until = fl_now() - 1;
	lower = add_job(fixture, "run-000005", 2, 1, 300);

	assert_int_equal(run_scheduling_cycle(fixture), 0);
	assert_true(lower->placement.held_since > 0);
	lower->placement.held_since -= max_hold_s / 2;
	assert_int_equal(run_scheduling_cycle(fixture), 0);
	lower->placement.held_since -= max_hold_s / 2;
	assert_int_equal(run_scheduling_cycle(fixture), 1);
	assert_int_equal(lower->counts.placed, 1);
	assert_true(lower->placement.held_since <= 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(the_window_of_a_top_job_that_fits_nowhere_is_forgotten),
		NODE_TEST(a_job_is_held_for_a_bounded_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
