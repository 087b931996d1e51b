/*
 * Exited and absent attempts on a busy machine, whose other attempts are started by direct commands
 * all the time: a late copy of a start command must not run an attempt again, and yet each attempt
 * must be forgotten or released before long.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "coordination/workers/command.h"
#include "node_fixture.h"
#include "storage/direct_starts.h"

enum { RAISED_TOKEN = FENCING_TOKEN + 1, MANY_TASKS = 2 * FL_DIRECT_STARTS_MAX };

/* The numbers of commands of each kind in a list. */
struct command_counts {
	int starts, stops, forgets;
};

/* Counts the commands, and deletes the list. */
static struct command_counts count_commands(struct fl_command_list *commands)
{
	struct command_counts counts = {0};
	const cJSON *item;

	cJSON_ArrayForEach (item, commands->list) {
		char verb[16] = "";

		fl_json_get_string(item, "Verb", verb, sizeof(verb));
		counts.starts += strcmp(verb, "launch") == 0;
		counts.stops += strcmp(verb, "kill") == 0;
		counts.forgets += strcmp(verb, "forget") == 0;
	}
	cJSON_Delete(commands->root);
	return counts;
}

/* Delivers the next heartbeat of the worker; returns the commands in its reply. */
static struct command_counts report(struct node_fixture *fixture, uint64_t fencing_token,
                                    struct fl_task_status *tasks, int task_count)
{
	const struct fl_machine *machine = only_machine(fixture);
	struct fl_heartbeat heartbeat = make_heartbeat(
		1, machine ? machine->heartbeat.sequence + 1 : 1, fencing_token, tasks, task_count);
	struct fl_command_list commands;

	fl_command_list_init(&commands, fixture->node.leader_lease.fencing_token);
	assert_int_equal(fl_reconcile_heartbeat(&fixture->node, &heartbeat, &commands,
	                                        FL_HEARTBEAT_FROM_WORKER),
	                 FL_RECONCILE_APPLIED);
	return count_commands(&commands);
}

/* Collects the commands of a direct request, as if it were sent. */
static struct command_counts send_direct_commands(struct node_fixture *fixture)
{
	struct fl_command_list commands;

	fl_command_list_init(&commands, fixture->node.leader_lease.fencing_token);
	fl_reconcile_collect_commands(&fixture->node, only_machine(fixture), &commands);
	return count_commands(&commands);
}

static void start_directly(struct node_fixture *fixture, uint32_t index)
{
	place_task(fixture, index);
	assert_int_equal(send_direct_commands(fixture).starts, 1);
}

static struct fl_task_status exited_status(uint32_t index, enum fl_exit_reason reason)
{
	struct fl_task_status status = running_task_status(index, 1);

	status.state = FL_TASK_STATE_EXITED;
	status.exit_reason = reason;
	return status;
}

static void store_progress(struct node_fixture *fixture)
{
	struct fl_task_block *block = fl_job_task_block(fixture->job, 0);

	block->parts[0].saved_generation = block->generation;
}

static void raise_token(struct node_fixture *fixture)
{
	fixture->node.leader_lease.fencing_token = RAISED_TOKEN;
}

/* Starts task 0 directly, and reports its exit, which is then stored. */
static struct fl_task_status run_first_task(struct node_fixture *fixture,
                                            enum fl_exit_reason reason)
{
	struct fl_task_status exited = exited_status(0, reason);

	report(fixture, FENCING_TOKEN, NULL, 0);
	start_directly(fixture, 0);
	report(fixture, FENCING_TOKEN, &exited, 1);
	store_progress(fixture);
	return exited;
}

/* Guards against a done task that a late copy of its start command runs again. */
static void a_done_attempt_is_kept_until_a_copy_of_its_start_is_rejected(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status exited = run_first_task(fixture, FL_EXIT_DONE);

	assert_int_equal(report(fixture, FENCING_TOKEN, &exited, 1).forgets, 0);
	raise_token(fixture);
	assert_int_equal(report(fixture, FENCING_TOKEN, &exited, 1).forgets, 0);
	assert_int_equal(report(fixture, RAISED_TOKEN, &exited, 1).forgets, 1);
}

/* The same for a task that was stopped, and has its next attempt elsewhere. */
static void a_moved_attempt_is_kept_until_a_copy_of_its_start_is_rejected(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status exited = run_first_task(fixture, FL_EXIT_STOPPED);
	struct fl_machine *other =
		fl_machine_get_or_add(&fixture->node.cluster.machines, "m-000002", 1);

	fl_task_place(&fixture->node.cluster, fixture->job, 0,
	              &(struct fl_new_attempt){other, FENCING_TOKEN}, 1);
	store_progress(fixture);
	assert_int_equal(report(fixture, FENCING_TOKEN, &exited, 1).forgets, 0);
	raise_token(fixture);
	assert_int_equal(report(fixture, RAISED_TOKEN, &exited, 1).forgets, 1);
}

/* The same for a cancelled job, also when it is finished and the leader no longer has it. */
static void a_cancelled_attempt_is_kept_until_a_copy_of_its_start_is_rejected(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status exited = run_first_task(fixture, FL_EXIT_STOPPED);

	fixture->job->cancelled = true;
	assert_int_equal(report(fixture, FENCING_TOKEN, &exited, 1).forgets, 0);
	strcpy(exited.ref, "run-000009");
	strcpy(only_machine(fixture)->outbound.direct_starts.entries[0].ref, "run-000009");
	assert_int_equal(report(fixture, FENCING_TOKEN, &exited, 1).forgets, 0);
	raise_token(fixture);
	assert_int_equal(report(fixture, RAISED_TOKEN, &exited, 1).forgets, 1);
}

/* A later incarnation of the worker rejects the commands that were sent to the earlier one. */
static void a_new_incarnation_ends_all_direct_starts(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status exited = run_first_task(fixture, FL_EXIT_DONE);

	deliver_heartbeat(fixture, make_heartbeat(2, 1, FENCING_TOKEN, &exited, 1),
	                  FL_HEARTBEAT_FROM_WORKER);
	assert_int_equal(only_machine(fixture)->outbound.direct_starts.count, 0);
}

/*
 * Guards against reports that grow without end (review case 5): on a busy machine the next direct
 * start always had the raised token before the worker reported it, and nothing was forgotten.
 */
static void an_exited_attempt_is_forgotten_while_others_are_started(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status exited = run_first_task(fixture, FL_EXIT_DONE);

	raise_token(fixture);
	start_directly(fixture, 1);
	assert_int_equal(report(fixture, RAISED_TOKEN, &exited, 1).forgets, 1);
}

/* The reply that starts an attempt is executed before the next heartbeat or never. */
static void an_attempt_that_a_reply_started_is_forgotten_at_once(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_task_status tasks[2] = {running_task_status(0, 1), running_task_status(1, 1)};

	report(fixture, FENCING_TOKEN, NULL, 0);
	place_task(fixture, 0);
	assert_int_equal(report(fixture, FENCING_TOKEN, NULL, 0).starts, 1);
	report(fixture, FENCING_TOKEN, tasks, 1);
	start_directly(fixture, 1);
	tasks[0] = exited_status(0, FL_EXIT_DONE);
	report(fixture, FENCING_TOKEN, tasks, 2);
	store_progress(fixture);
	assert_int_equal(report(fixture, FENCING_TOKEN, tasks, 2).forgets, 1);
}

/*
 * Guards against cancelled tasks that count for ever on a busy machine, and against a raise of the
 * token for each of its heartbeats: the same cause as above.
 */
static void an_absent_attempt_is_released_while_others_are_started(void **state)
{
	struct node_fixture *fixture = *state;
	struct fl_leader_lease *lease = &fixture->node.leader_lease;
	struct fl_task *task;

	report(fixture, FENCING_TOKEN, NULL, 0);
	start_directly(fixture, 0);
	task = fl_task_find(fixture->job, 0);
	task->stop_reason = FL_STOP_PREEMPT;
	report(fixture, FENCING_TOKEN, NULL, 0);
	assert_int_equal(task->phase, FL_TASK_PLACED);
	assert_true(lease->token_raise_wanted);

	raise_token(fixture);
	lease->token_raise_wanted = false;
	report(fixture, FENCING_TOKEN, NULL, 0);
	assert_int_equal(task->phase, FL_TASK_PLACED);
	assert_false(lease->token_raise_wanted);
	place_task(fixture, 1);
	send_direct_commands(fixture);
	report(fixture, RAISED_TOKEN, NULL, 0);
	assert_int_equal(task->phase, FL_TASK_WAITING);
}

/* Adds a job of many small tasks, and places all of them. */
static void place_many_tasks(struct node_fixture *fixture)
{
	fixture->job = add_fixture_job(
		fixture, "run-000002",
		(struct fl_job_spec){.task_count = MANY_TASKS, .cpus = 0.01, .ram_gb = 0.01});
	for (uint32_t i = 0; i < MANY_TASKS; i++) {
		const struct fl_new_attempt attempt = {only_machine(fixture), FENCING_TOKEN};
		struct fl_task_block *block;

		fl_task_place(&fixture->node.cluster, fixture->job, i, &attempt, 1);
		block = fl_job_task_block(fixture->job, i / FL_TASK_BLOCK_SIZE);
		block->logged_generation = block->generation;
	}
}

/* The attempts that a worker must keep for late copies are bounded by those started directly. */
static void direct_starts_that_may_arrive_late_are_bounded(void **state)
{
	struct node_fixture *fixture = *state;

	report(fixture, FENCING_TOKEN, NULL, 0);
	place_many_tasks(fixture);
	assert_int_equal(send_direct_commands(fixture).starts, FL_DIRECT_STARTS_MAX);
	/* The same commands once more add none, and the worker's heartbeat starts the others. */
	assert_int_equal(send_direct_commands(fixture).starts, FL_DIRECT_STARTS_MAX);
	assert_int_equal(report(fixture, FENCING_TOKEN, NULL, 0).starts, MANY_TASKS);
	raise_token(fixture);
	report(fixture, RAISED_TOKEN, NULL, 0);
	assert_int_equal(only_machine(fixture)->outbound.direct_starts.count, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		NODE_TEST(a_done_attempt_is_kept_until_a_copy_of_its_start_is_rejected),
		NODE_TEST(a_moved_attempt_is_kept_until_a_copy_of_its_start_is_rejected),
		NODE_TEST(a_cancelled_attempt_is_kept_until_a_copy_of_its_start_is_rejected),
		NODE_TEST(a_new_incarnation_ends_all_direct_starts),
		NODE_TEST(an_exited_attempt_is_forgotten_while_others_are_started),
		NODE_TEST(an_attempt_that_a_reply_started_is_forgotten_at_once),
		NODE_TEST(an_absent_attempt_is_released_while_others_are_started),
		NODE_TEST(direct_starts_that_may_arrive_late_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
