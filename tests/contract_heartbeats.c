/* The heartbeats of the wire contract, as values and as texts, and their comparison. */
#include "contract_heartbeats.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "contract_text.h"

const char busy_heartbeat_text[] =
	"{\"Host\":\"m-000231\",\"Endpoint\":\"10.1.0.232:9000\",\"HostKind\":\"g8\","
	"\"Site\":\"zone-a\",\"Reclaimable\":true,\"Tenure\":3,\"Serial\":4123456789,"
	"\"Epoch\":912345678901234,\"ReclaimInS\":27.5,\"Parts\":["
	"{\"Part\":\"run-000401/0\",\"Try\":1,\"Status\":\"pulling\"},"
	"{\"Part\":\"run-000402/3\",\"Try\":2,\"Status\":\"running\"},"
	"{\"Part\":\"run-000403/99999\",\"Try\":4294967295,\"Status\":\"flushing\"},"
	"{\"Part\":\"run-000404/5\",\"Try\":4,\"Status\":\"gathering\"},"
	"{\"Part\":\"run-000405/6\",\"Try\":5,\"Status\":\"ended\",\"ExitReason\":\"done\"},"
	"{\"Part\":\"run-000406/7\",\"Try\":6,\"Status\":\"ended\",\"ExitReason\":\"stopped\","
	"\"Saved\":true},"
	"{\"Part\":\"run-000407/8\",\"Try\":7,\"Status\":\"ended\",\"ExitReason\":\"error\"},"
	"{\"Part\":\"run-000408/9\",\"Try\":8,\"Status\":\"ended\",\"ExitReason\":\"no_room\"},"
	"{\"Part\":\"run-000409/10\",\"Try\":9,\"Status\":\"ended\",\"ExitReason\":\"busy\"},"
	"{\"Part\":\"run-000410/11\",\"Try\":10,\"Status\":\"ended\",\"ExitReason\":\"no_such\"},"
	"{\"Part\":\"run-000411/12\",\"Try\":11,\"Status\":\"ended\","
	"\"ExitReason\":\"mates_gone\"},"
	"{\"Part\":\"run-000412/13\",\"Try\":12,\"Status\":\"ended\",\"ExitReason\":\"alone\"},"
	"{\"Part\":\"run-000413/14\",\"Try\":13,\"Status\":\"ended\"}]}";

static const struct fl_task_status busy_tasks[] = {
	{.ref = "run-000401",
         .index = 0,
         .attempt = 1,
         .state = FL_TASK_STATE_PULLING,
         .exit_reason = FL_EXIT_OTHER},
	{.ref = "run-000402",
         .index = 3,
         .attempt = 2,
         .state = FL_TASK_STATE_RUNNING,
         .exit_reason = FL_EXIT_OTHER},
	{.ref = "run-000403",
         .index = 99999,
         .attempt = 4294967295,
         .state = FL_TASK_STATE_CHECKPOINTING,
         .exit_reason = FL_EXIT_OTHER},
	{.ref = "run-000404",
         .index = 5,
         .attempt = 4,
         .state = FL_TASK_STATE_AWAITING_GANG,
         .exit_reason = FL_EXIT_OTHER},
	{.ref = "run-000405",
         .index = 6,
         .attempt = 5,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_DONE},
	{.ref = "run-000406",
         .index = 7,
         .attempt = 6,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_STOPPED,
         .checkpoint_saved = true},
	{.ref = "run-000407",
         .index = 8,
         .attempt = 7,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_ERROR},
	{.ref = "run-000408",
         .index = 9,
         .attempt = 8,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_NO_ROOM},
	{.ref = "run-000409",
         .index = 10,
         .attempt = 9,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_BUSY},
	{.ref = "run-000410",
         .index = 11,
         .attempt = 10,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_UNKNOWN_TASK},
	{.ref = "run-000411",
         .index = 12,
         .attempt = 11,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_GANG_PEERS_LOST},
	{.ref = "run-000412",
         .index = 13,
         .attempt = 12,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_GANG_INCOMPLETE},
	{.ref = "run-000413",
         .index = 14,
         .attempt = 13,
         .state = FL_TASK_STATE_EXITED,
         .exit_reason = FL_EXIT_OTHER},
};

struct fl_heartbeat busy_heartbeat(void)
{
	return (struct fl_heartbeat){.host = "m-000231",
	                             .endpoint = "10.1.0.232:9000",
	                             .type = "g8",
	                             .zone = "zone-a",
	                             .spot = true,
	                             .incarnation = 3,
	                             .sequence = 4123456789,
	                             .fencing_token = 912345678901234,
	                             .interruption_in_s = 27.5,
	                             .tasks = (struct fl_task_status *)busy_tasks,
	                             .task_count = COUNT_OF(busy_tasks)};
}

void assert_heartbeat_tasks_equal(const struct fl_heartbeat *got,
                                  const struct fl_heartbeat *expected)
{
	assert_int_equal(got->task_count, expected->task_count);
	for (int i = 0; i < expected->task_count; i++) {
		assert_string_equal(got->tasks[i].ref, expected->tasks[i].ref);
		assert_int_equal(got->tasks[i].index, expected->tasks[i].index);
		assert_int_equal(got->tasks[i].attempt, expected->tasks[i].attempt);
		assert_int_equal(got->tasks[i].state, expected->tasks[i].state);
		assert_int_equal(got->tasks[i].exit_reason, expected->tasks[i].exit_reason);
	}
}

void assert_heartbeat_equal(const struct fl_heartbeat *got, const struct fl_heartbeat *expected)
{
	assert_string_equal(got->host, expected->host);
	assert_string_equal(got->endpoint, expected->endpoint);
	assert_string_equal(got->type, expected->type);
	assert_string_equal(got->zone, expected->zone);
	assert_int_equal(got->spot, expected->spot);
	assert_int_equal(got->incarnation, expected->incarnation);
	assert_int_equal(got->sequence, expected->sequence);
	assert_int_equal(got->fencing_token, expected->fencing_token);
	assert_true(got->interruption_in_s == expected->interruption_in_s);
	assert_heartbeat_tasks_equal(got, expected);
	for (int i = 0; i < expected->task_count; i++)
		assert_int_equal(got->tasks[i].checkpoint_saved,
		                 expected->tasks[i].checkpoint_saved);
}

const char idle_heartbeat_text[] =
	"{\"Host\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
	"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Tenure\":1,\"Serial\":88,\"Epoch\":41,"
	"\"Parts\":[]}";

const struct fl_heartbeat idle_heartbeat = {.host = "m-000232",
                                            .endpoint = "10.1.0.233:9000",
                                            .type = "c32",
                                            .zone = "zone-b",
                                            .incarnation = 1,
                                            .sequence = 88,
                                            .fencing_token = 41,
                                            .interruption_in_s = -1};
