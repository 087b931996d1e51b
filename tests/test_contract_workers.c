/*
 * The wire contract of the workers, byte for byte. The names in the C code are its own and may
 * change; a field, word or path here that changes is another protocol, which the other side does
 * not speak. The texts are written out and never produced by the code under test.
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

/* The largest count there is. */
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

/* The body of a direct command, with its incarnation. */
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
		cmocka_unit_test(a_redirect_names_the_node_to_send_heartbeats_to),
		cmocka_unit_test(a_direct_command_is_posted_and_its_response_is_a_heartbeat),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
