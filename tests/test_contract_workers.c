/*
 * The wire contract with workers, byte for byte. C identifiers may be renamed, but a change of a
 * field, word or path in these texts makes the protocol incompatible with the other side. The texts
 * are written out here and never produced by the code under test.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "contract_fixture.h"
#include "contract_heartbeats.h"
#include "contract_text.h"
#include "protocol/workers.h"

static void a_heartbeat_has_the_name_of_each_task_state_and_exit_reason(void **state)
{
	const struct fl_heartbeat expected = busy_heartbeat();
	struct fl_heartbeat got;

	(void)state;
	assert_int_equal(
		fl_heartbeat_decode(busy_heartbeat_text, strlen(busy_heartbeat_text), &got), 0);
	assert_heartbeat_equal(&got, &expected);
	fl_heartbeat_free(&got);
	assert_text_and_free(fl_heartbeat_encode(&expected), busy_heartbeat_text);
}

/* 2^53 is the largest valid value: a double holds all integers up to it exactly. */
static void the_largest_counters_of_a_heartbeat_are_read_exactly(void **state)
{
	static const char text[] =
		"{\"Host\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
		"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Tenure\":9007199254740990,"
		"\"Serial\":9007199254740991,\"Epoch\":9007199254740992,\"Parts\":[]}";
	struct fl_heartbeat got;

	(void)state;
	assert_int_equal(fl_heartbeat_decode(text, strlen(text), &got), 0);
	assert_int_equal(got.incarnation, 9007199254740990);
	assert_int_equal(got.sequence, 9007199254740991);
	assert_int_equal(got.fencing_token, 9007199254740992);
	fl_heartbeat_free(&got);
}

static void a_heartbeat_without_interruption_notice_has_none_after_decoding(void **state)
{
	static const char with_null[] =
		"{\"Host\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
		"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Tenure\":1,\"Serial\":88,"
		"\"Epoch\":41,\"ReclaimInS\":null,\"Parts\":[]}";
	struct fl_heartbeat got;

	(void)state;
	assert_int_equal(
		fl_heartbeat_decode(idle_heartbeat_text, strlen(idle_heartbeat_text), &got), 0);
	assert_heartbeat_equal(&got, &idle_heartbeat);
	assert_int_equal(fl_heartbeat_decode(with_null, strlen(with_null), &got), 0);
	assert_heartbeat_equal(&got, &idle_heartbeat);
	assert_text_and_free(fl_heartbeat_encode(&idle_heartbeat), idle_heartbeat_text);
}

/* The body of direct commands; Tenure is the incarnation of the worker that they are for. */
static const char command_text[] =
	"{\"Epoch\":41,\"Orders\":["
	"{\"Verb\":\"launch\",\"Part\":\"run-000412/4\",\"Try\":2},"
	"{\"Verb\":\"kill\",\"Part\":\"run-000377/1\",\"Try\":5,\"WindDownS\":10.5},"
	"{\"Verb\":\"forget\",\"Part\":\"run-000398/0\",\"Try\":1}],\"Tenure\":7}";

static void add_one_command_of_each_verb(struct fl_command_list *commands)
{
	fl_command_list_add(commands,
	                    &(struct fl_command){FL_COMMAND_START, "run-000412", 4, 2, 10.5});
	fl_command_list_add(commands,
	                    &(struct fl_command){FL_COMMAND_STOP, "run-000377", 1, 5, 10.5});
	fl_command_list_add(commands,
	                    &(struct fl_command){FL_COMMAND_FORGET, "run-000398", 0, 1, 10.5});
}

static void a_heartbeat_response_has_the_fencing_token_and_each_verb(void **state)
{
	struct fl_command_list commands;

	(void)state;
	fl_command_list_init(&commands, 41);
	add_one_command_of_each_verb(&commands);
	assert_int_equal(commands.count, 3);
	assert_text_and_free(
		fl_command_list_take_body(&commands),
		"{\"Epoch\":41,\"Orders\":["
		"{\"Verb\":\"launch\",\"Part\":\"run-000412/4\",\"Try\":2},"
		"{\"Verb\":\"kill\",\"Part\":\"run-000377/1\",\"Try\":5,\"WindDownS\":10.5},"
		"{\"Verb\":\"forget\",\"Part\":\"run-000398/0\",\"Try\":1}]}");

	fl_command_list_init(&commands, 912345678901234);
	assert_text_and_free(fl_command_list_take_body(&commands),
	                     "{\"Epoch\":912345678901234,\"Orders\":[]}");
}

enum {
	BODY_BYTES_MAX = 64 * 1024, /* the protocol's limits of a request body, and of a line */
	LINE_BYTES_MAX = 64 * 1024,
	/* Spaces that a worker may put between the fields of its tasks, ten for each. */
	SPACES_MAX = 10 * FL_MACHINE_TASKS_MAX
};

/* The longest that the fields can be. */
static const struct fl_task_status longest_status = {.ref = "run-0123456789012345678",
                                                     .index = FL_TASKS_MAX - 1,
                                                     .attempt = UINT32_MAX,
                                                     .state = FL_TASK_STATE_EXITED,
                                                     .exit_reason = FL_EXIT_GANG_PEERS_LOST,
                                                     .checkpoint_saved = true};

/* Guards against heartbeats that no controller accepts: the leader places no more on a machine. */
static void a_heartbeat_with_the_most_tasks_is_within_the_limit_of_a_body(void **state)
{
	struct fl_task_status tasks[FL_MACHINE_TASKS_MAX];
	struct fl_heartbeat heartbeat = {.incarnation = UINT32_MAX,
	                                 .sequence = UINT32_MAX,
	                                 .fencing_token = UINT32_MAX,
	                                 .interruption_in_s = 12345.678901,
	                                 .tasks = tasks,
	                                 .task_count = FL_MACHINE_TASKS_MAX};
	char *text;

	(void)state;
	for (int i = 0; i < FL_MACHINE_TASKS_MAX; i++)
		tasks[i] = longest_status;
	memset(heartbeat.host, 'm', sizeof(heartbeat.host) - 1);
	memset(heartbeat.endpoint, 'e', sizeof(heartbeat.endpoint) - 1);
	memset(heartbeat.type, 't', sizeof(heartbeat.type) - 1);
	memset(heartbeat.zone, 'z', sizeof(heartbeat.zone) - 1);
	text = fl_heartbeat_encode(&heartbeat);
	assert_true(strlen(text) + SPACES_MAX <= BODY_BYTES_MAX);
	free(text);
}

/* However many commands are due, the reply stays within a line; stops keep room beside forgets. */
static void a_command_list_is_within_the_limit_of_a_line(void **state)
{
	const struct fl_task_status *status = &longest_status;
	struct fl_command_list commands;
	char *text;

	(void)state;
	fl_command_list_init(&commands, UINT32_MAX);
	for (int i = 0; i < 2 * FL_COMMANDS_MAX; i++)
		fl_command_list_add(&commands,
		                    &(struct fl_command){FL_COMMAND_FORGET, status->ref,
		                                         status->index, status->attempt, 0});
	assert_int_equal(commands.count, FL_FORGET_COMMANDS_MAX);
	assert_false(fl_command_list_has_room(&commands, FL_COMMAND_FORGET));
	for (int i = 0; i < 2 * FL_COMMANDS_MAX; i++)
		fl_command_list_add(&commands, &(struct fl_command){FL_COMMAND_STOP, status->ref,
		                                                    status->index, status->attempt,
		                                                    12345.678901});
	assert_int_equal(commands.count, FL_COMMANDS_MAX);
	assert_false(fl_command_list_has_room(&commands, FL_COMMAND_START));
	text = fl_command_list_take_body(&commands);
	assert_true(strlen(text) <= LINE_BYTES_MAX);
	free(text);
}

static void a_redirect_names_the_node_to_send_heartbeats_to(void **state)
{
	(void)state;
	assert_text_and_free(fl_redirect_encode("host-2"), "{\"Steward\":\"host-2\"}");
	assert_text_and_free(fl_redirect_encode(NULL), "{}");
}

struct command_results {
	char *body;
	enum fl_worker_result result[3];
	struct fl_heartbeat heartbeats[3];
};

static void send_commands(const char *address, void *results)
{
	struct command_results *got = results;

	for (int i = 0; i < 3; i++)
		got->result[i] =
			fl_worker_send_commands(address, got->body, 5, &got->heartbeats[i]);
}

static void a_direct_command_is_posted_and_its_response_is_a_heartbeat(void **state)
{
	static const char request[] =
		"POST /commands\n"
		"{\"Epoch\":41,\"Orders\":["
		"{\"Verb\":\"launch\",\"Part\":\"run-000412/4\",\"Try\":2},"
		"{\"Verb\":\"kill\",\"Part\":\"run-000377/1\",\"Try\":5,\"WindDownS\":10.5},"
		"{\"Verb\":\"forget\",\"Part\":\"run-000398/0\",\"Try\":1}],\"Tenure\":7}";
	static const struct contract_exchange script[] = {
		{request, 200, busy_heartbeat_text},
		{request, 409, idle_heartbeat_text},
		{request, 400, "{\"error\":\"no Tenure\"}"},
	};
	const struct fl_heartbeat busy = busy_heartbeat();
	struct command_results got = {0};
	struct fl_command_list commands;

	(void)state;
	fl_command_list_init(&commands, 41);
	add_one_command_of_each_verb(&commands);
	fl_command_list_bind_incarnation(&commands, 7);
	got.body = fl_command_list_take_body(&commands);
	assert_string_equal(got.body, command_text);

	contract_run_exchanges(send_commands, &got, script, COUNT_OF(script));
	free(got.body);
	assert_int_equal(got.result[0], FL_WORKER_ACCEPTED);
	assert_heartbeat_equal(&got.heartbeats[0], &busy);
	assert_int_equal(got.result[1], FL_WORKER_REJECTED);
	assert_heartbeat_equal(&got.heartbeats[1], &idle_heartbeat);
	assert_int_equal(got.result[2], FL_WORKER_INVALID);
	assert_int_equal(got.heartbeats[2].task_count, 0);

	for (int i = 0; i < 3; i++)
		fl_heartbeat_free(&got.heartbeats[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_heartbeat_has_the_name_of_each_task_state_and_exit_reason),
		cmocka_unit_test(the_largest_counters_of_a_heartbeat_are_read_exactly),
		cmocka_unit_test(a_heartbeat_without_interruption_notice_has_none_after_decoding),
		cmocka_unit_test(a_heartbeat_response_has_the_fencing_token_and_each_verb),
		cmocka_unit_test(a_heartbeat_with_the_most_tasks_is_within_the_limit_of_a_body),
		cmocka_unit_test(a_command_list_is_within_the_limit_of_a_line),
		cmocka_unit_test(a_redirect_names_the_node_to_send_heartbeats_to),
		cmocka_unit_test(a_direct_command_is_posted_and_its_response_is_a_heartbeat),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
