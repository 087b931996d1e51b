/*
 * Writes of a job's record that get no answer: the key-value store may still execute them, so until
 * the record has changed only the record shows the job's status. The test has one leader in virtual
 * time, and decides which of its writes are refused, delayed or answered.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/api/cancellation.h"
#include "coordination/api/cancellation_retry.h"
#include "coordination/api/status_from_leader.h"
#include "coordination/node.h"
#include "coordination/persistence/final_record_writer.h"
#include "scripted_leader.h"
#include "scripted_store.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

#define REF "run-000001"

enum { TASKS = 2 };

static struct {
	struct fl_node node;
	struct fl_config config;
} scenario;

/* ---- the leader ---- */

static int set_up(void **state)
{
	struct fl_node *node = &scenario.node;
	struct fl_job_spec spec = {.ref = REF,
	                           .job_class = "c",
	                           .team = "t",
	                           .image = "i",
	                           .task_count = TASKS,
	                           .kind = FL_ARRAY,
	                           .cpus = 1,
	                           .ram_gb = 1,
	                           .machine_type_count = FL_ANY_MACHINE_TYPE};

	(void)state;
	memset(&scenario, 0, sizeof(scenario));
	scenario.config.state_rps = scenario.config.state_write_rps = 100;
	scenario.config.txn_ops = 8;
	scripted_leader_begin(node, &scenario.config);
	scripted_leader_add_job(node, &spec);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	scripted_leader_end(&scenario.node);
	return 0;
}

/* ---- users ---- */

/* A request of a user to the leader, and the response. */
struct user_request {
	void (*handle)(struct fl_node *node, const char *ref, struct fl_http_response *response);
	double send_delay_s;
	struct fl_http_response response;
	bool completed;
};

static void send_user_request(void *argument)
{
	struct user_request *request = argument;

	fl_sleep(request->send_delay_s);
	request->handle(&scenario.node, REF, &request->response);
	request->completed = true;
}

static void spawn_user_request(struct user_request *request)
{
	assert_non_null(sim_spawn(0, send_user_request, request));
}

/* Ends the request; it must have this status, and a body with this text unless it is NULL. */
static void expect_response(struct user_request *request, int status, const char *text)
{
	assert_true(request->completed);
	assert_int_equal(request->response.status, status);
	if (text)
		assert_non_null(strstr(request->response.body, text));
	free(request->response.body);
}

static void run_for(double seconds) { sim_time_run(fl_now() + seconds); }

static void expect_cancellation(int status, const char *text)
{
	struct user_request request = {.handle = fl_leader_cancel_job};

	spawn_user_request(&request);
	run_for(5);
	expect_response(&request, status, text);
}

static void expect_status(const char *text)
{
	struct user_request request = {.handle = fl_leader_respond_job_status};

	spawn_user_request(&request);
	run_for(2);
	expect_response(&request, 200, text);
}

static bool memory_shows_status(void)
{
	return fl_job_status_from_memory(&scenario.node.cluster, REF).status_known;
}

/* ---- cancellations ---- */

/*
 * Guards against a job that is reported as cancelled and then as running: after a cancellation
 * without an answer, a read found the record unchanged, and the leader answered from memory again,
 * while the store executed the write seconds later and a follower saw it first.
 */
static void a_status_is_read_until_a_delayed_cancellation_is_executed(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_DELAYED});
	expect_cancellation(503, NULL);
	assert_false(memory_shows_status());
	expect_status("pending");
	assert_false(memory_shows_status());

	assert_int_equal(scripted_store_execute_delayed_write(), 200);
	expect_status("aborted");
}

/* The same if the second cancellation is refused: the first may be executed nevertheless. */
static void a_refused_cancellation_does_not_settle_an_earlier_one(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_DELAYED}, {.fate = WRITE_REFUSED}, {.fate = WRITE_THROTTLED});
	expect_cancellation(503, NULL);
	expect_cancellation(503, NULL);
	expect_cancellation(503, NULL);
	assert_int_equal(scripted_store.write_count, 3);
	assert_false(memory_shows_status());

	assert_int_equal(scripted_store_execute_delayed_write(), 200);
	expect_status("aborted");
}

/* The same if the refused one is the first, and its answer comes while the other is in flight. */
static void a_refused_cancellation_does_not_settle_a_later_one(void **state)
{
	struct user_request first = {.handle = fl_leader_cancel_job};
	struct user_request second = {.handle = fl_leader_cancel_job, .send_delay_s = 0.1};

	(void)state;
	SCRIPT_WRITES({.fate = WRITE_REFUSED, .answer_after_s = 0.5}, {.fate = WRITE_DELAYED});
	spawn_user_request(&first);
	spawn_user_request(&second);
	run_for(0.8);
	assert_true(first.completed);
	assert_false(memory_shows_status());
	run_for(5);
	expect_response(&first, 503, NULL);
	expect_response(&second, 503, NULL);
	assert_false(memory_shows_status());

	assert_int_equal(scripted_store_execute_delayed_write(), 200);
	expect_status("aborted");
}

/* The cancellation that is answered changes the record, so that the delayed one has no effect. */
static void a_second_cancellation_settles_a_delayed_one(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_DELAYED}, {.fate = WRITE_ANSWERED});
	expect_cancellation(503, NULL);
	expect_cancellation(200, "aborted");
	assert_int_equal(scripted_store_execute_delayed_write(), 409);
	assert_true(memory_shows_status());
	expect_status("aborted");
}

static void a_second_cancellation_finds_a_delayed_one_executed(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_DELAYED}, {.fate = WRITE_ANSWERED});
	expect_cancellation(503, NULL);
	assert_int_equal(scripted_store_execute_delayed_write(), 200);
	expect_cancellation(200, "aborted");
	assert_true(memory_shows_status());
}

/* A refused write is never executed, so memory is as good as before. */
static void a_refused_cancellation_alone_leaves_the_status_known(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_REFUSED});
	expect_cancellation(503, NULL);
	assert_true(memory_shows_status());
}

static void run_retries(void *argument)
{
	(void)argument;
	fl_cancellation_retry_run(&scenario.node);
}

/*
 * Guards against a job that never starts a task again and whose status is read from its record for
 * each query: its user gave up after a cancellation without an answer.
 */
static void the_leader_repeats_a_cancellation_without_an_answer(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_DELAYED}, {.fate = WRITE_REFUSED}, {.fate = WRITE_ANSWERED});
	expect_cancellation(503, NULL);
	assert_non_null(sim_spawn(0, run_retries, NULL));
	run_for(5);
	assert_int_equal(scripted_store.write_count, 3);
	assert_true(memory_shows_status());
	expect_status("aborted");
	assert_int_equal(scripted_store_execute_delayed_write(), 409);
}

/* A cancellation that is refused is not executed, and its user was told so. */
static void the_leader_does_not_repeat_a_refused_cancellation(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_REFUSED});
	assert_non_null(sim_spawn(0, run_retries, NULL));
	expect_cancellation(503, NULL);
	run_for(5);
	assert_int_equal(scripted_store.write_count, 1);
	expect_status("pending");
}

/* ---- final records ---- */

static void write_final_record(void *argument)
{
	(void)argument;
	fl_final_record_write_one(&scenario.node);
}

static void finish_all_tasks(void)
{
	struct fl_job *job = fl_job_find(&scenario.node.cluster, REF);

	for (uint32_t i = 0; i < TASKS; i++)
		fl_task_mark_done(&scenario.node.cluster, job, i);
}

/* Ends all tasks; then the record writer tries to write the final record, and tries once more. */
static void try_final_write_twice(void)
{
	finish_all_tasks();
	for (int i = 0; i < 2; i++) {
		assert_non_null(sim_spawn(0, write_final_record, NULL));
		run_for(3);
	}
}

/*
 * Guards against a job that is reported as done and then as pending: the final write got no answer,
 * its repetition was refused, and the leader answered from memory although the first write could
 * still be executed.
 */
static void a_refused_final_write_does_not_settle_an_earlier_one(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_DELAYED}, {.fate = WRITE_REFUSED});
	try_final_write_twice();
	assert_int_equal(scripted_store.write_count, 2);
	assert_false(memory_shows_status());

	assert_int_equal(scripted_store_execute_delayed_write(), 200);
	expect_status("done");
}

static void a_repeated_final_write_settles_a_delayed_one(void **state)
{
	(void)state;
	SCRIPT_WRITES({.fate = WRITE_DELAYED}, {.fate = WRITE_ANSWERED});
	try_final_write_twice();
	assert_int_equal(scripted_store_execute_delayed_write(), 409);
	assert_true(memory_shows_status());
	expect_status("done");
}

int main(void)
{
#define WRITE_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		WRITE_TEST(a_status_is_read_until_a_delayed_cancellation_is_executed),
		WRITE_TEST(a_refused_cancellation_does_not_settle_an_earlier_one),
		WRITE_TEST(a_refused_cancellation_does_not_settle_a_later_one),
		WRITE_TEST(a_second_cancellation_settles_a_delayed_one),
		WRITE_TEST(a_second_cancellation_finds_a_delayed_one_executed),
		WRITE_TEST(a_refused_cancellation_alone_leaves_the_status_known),
		WRITE_TEST(the_leader_repeats_a_cancellation_without_an_answer),
		WRITE_TEST(the_leader_does_not_repeat_a_refused_cancellation),
		WRITE_TEST(a_refused_final_write_does_not_settle_an_earlier_one),
		WRITE_TEST(a_repeated_final_write_settles_a_delayed_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
