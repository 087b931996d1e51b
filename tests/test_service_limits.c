/*
 * The service as three controller processes on loopback, whose key-value store lowers its limits
 * twice: first to those that the settings announce, then below them without any announcement. Jobs
 * of one task and of more than a task block must run before and after each of these, after the
 * leader was killed and after all controllers were restarted; no transaction that was refused as
 * too large may be sent again unchanged.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "fake_services.h"
#include "service_fixture.h"

enum { LARGE_JOBS = 3, LARGE_JOB_TASKS = 70, SMALL_JOBS = 20, SERVICE_TASKS = 40 };

static const char next_limits[] =
	"[settings.state.next]\nwrite_rps = 100.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
static const char service_ref[] = "run-000001";

/* The jobs of one round of submissions. */
static int job_count(void) { return LARGE_JOBS + SMALL_JOBS; }

static void format_ref(int round, int index, char ref[24])
{
	snprintf(ref, 24, "run-%06d", 1000 * round + index);
}

/* Submits large and small jobs to all controllers in turn. */
static bool submit_jobs(int round)
{
	char ref[24];

	for (int i = 0; i < job_count(); i++) {
		format_ref(round, i, ref);
		EXPECT(submit_job(ref, "sweep", i < LARGE_JOBS ? LARGE_JOB_TASKS : 1, i));
	}
	return true;
}

static bool jobs_are_done(int round)
{
	char ref[24];

	for (int i = 0; i < job_count(); i++) {
		format_ref(round, i, ref);
		EXPECT(wait_for_job_status(ref, "\"Status\":\"done\"", i));
	}
	return true;
}

/* ---- stages ---- */

static bool a_service_and_jobs_run_within_the_first_limits(void)
{
	fake_services.kv_limits = (struct kv_model_limits){.value_kb = 4, .txn_ops = 8};
	EXPECT(wait_until_ready());
	EXPECT(submit_job(service_ref, "standing", SERVICE_TASKS, 0));
	EXPECT(wait_for_job_status(service_ref, "\"running\":40", 1));
	EXPECT(submit_jobs(1) && jobs_are_done(1));
	EXPECT(fake_services.kv_too_large == 0);
	return true;
}

static bool jobs_run_after_the_limits_fell_to_the_announced_ones(void)
{
	fake_services.kv_limits = (struct kv_model_limits){.value_kb = 2, .txn_ops = 4};
	EXPECT(submit_jobs(2) && jobs_are_done(2));
	EXPECT(fake_services.kv_too_large > 0);
	return true;
}

/* The new leader has the limits of its settings, and learns of the lower ones by a refusal. */
static bool jobs_run_after_the_leader_was_killed(void)
{
	int killed;

	EXPECT(submit_jobs(3));
	killed = kill_leader();
	EXPECT(jobs_are_done(3));
	start_controller(killed);
	return true;
}

static bool jobs_run_after_the_limits_fell_below_the_announced_ones(void)
{
	EXPECT(submit_jobs(4));
	fake_services.kv_limits = (struct kv_model_limits){.value_kb = 1, .txn_ops = 2};
	EXPECT(submit_jobs(5) && jobs_are_done(4) && jobs_are_done(5));
	return true;
}

static bool jobs_run_after_all_controllers_were_restarted(void)
{
	EXPECT(submit_jobs(6));
	restart_all_controllers();
	EXPECT(jobs_are_done(6));
	/* The service has run throughout; its record was stored within the first limits. */
	EXPECT(fake_services_running_task_count(service_ref) == SERVICE_TASKS);
	EXPECT(cancel_job(service_ref));
	EXPECT(wait_until_job_stopped(service_ref));
	return true;
}

static bool no_invariant_was_violated(void)
{
	EXPECT(fake_services.kv_too_large_repeated == 0);
	return no_service_invariant_was_violated();
}

/* ---- the test ---- */

/* Each stage depends on the stages before it, so the first failure ends the run. */
static bool run_stages(void)
{
	return a_service_and_jobs_run_within_the_first_limits() &&
	       jobs_run_after_the_limits_fell_to_the_announced_ones() &&
	       jobs_run_after_the_leader_was_killed() &&
	       jobs_run_after_the_limits_fell_below_the_announced_ones() &&
	       jobs_run_after_all_controllers_were_restarted() && no_invariant_was_violated();
}

static void jobs_run_while_the_key_value_store_lowers_its_limits(void **state)
{
	(void)state;
	service_run_stages(run_stages);
}

static int set_up(void **state)
{
	(void)state;
	return service_set_up_with_next_limits(next_limits);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			jobs_run_while_the_key_value_store_lowers_its_limits, set_up,
			service_tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
