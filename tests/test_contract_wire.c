/*
 * The wire contract, byte for byte: one message of each kind that users, workers, the cloud, the
 * state service and other controllers exchange with this one. The names in the C code are its own
 * and may change; a field, word or path here that changes is another protocol, which the other
 * side does not speak. The texts are written out and never produced by the code under test.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "contract_fixture.h"
#include "protocol/cloud.h"
#include "protocol/status_messages.h"
#include "protocol/peer_heartbeats.h"
#include "protocol/heartbeat_digests.h"
#include "protocol/peers.h"
#include "protocol/kv_store.h"
#include "protocol/users.h"
#include "protocol/workers.h"

#define COUNT_OF(array) ((int)(sizeof(array) / sizeof((array)[0])))

/* The text is as expected; it is freed. */
static void expect_text(char *text, const char *expected)
{
	assert_non_null(text);
	assert_string_equal(text, expected);
	free(text);
}

static cJSON *parse(const char *text)
{
	cJSON *tree = fl_json_parse(text, strlen(text));

	assert_non_null(tree);
	return tree;
}

/* ---- users: job descriptions ---- */

static const char array_job_text[] =
	"{\"Ref\":\"run-000412\",\"JobClass\":\"train\",\"Owner\":\"vision\","
	"\"JobKind\":\"sweep\",\"Tier\":\"best_effort\",\"Parts\":16,\"Vcpus\":8.5,"
	"\"Accelerators\":2,\"RamGb\":64.25,\"Bundle\":\"img-07\",\"ImageGb\":6.2,"
	"\"HostKinds\":[\"g8\",\"c32\"],\"Site\":\"zone-b\",\"Together\":true,\"Apart\":false,"
	"\"Reclaimable\":false,\"ExpectedS\":240.5,\"SnapshotEveryS\":30,\"SnapshotCostS\":4,"
	"\"DueS\":900}";
static const struct fl_job_spec array_job = {.ref = "run-000412",
                                             .job_class = "train",
                                             .team = "vision",
                                             .kind = FL_ARRAY,
                                             .priority = FL_BEST_EFFORT,
                                             .task_count = 16,
                                             .cpus = 8.5,
                                             .gpus = 2,
                                             .ram_gb = 64.25,
                                             .image = "img-07",
                                             .image_gb = 6.2,
                                             .machine_types = {"g8", "c32"},
                                             .machine_type_count = 2,
                                             .zone = "zone-b",
                                             .has_zone = true,
                                             .same_zone = true,
                                             .expected_s = 240.5,
                                             .checkpoint_every_s = 30,
                                             .checkpoint_cost_s = 4,
                                             .due_s = 900};

static const char service_job_text[] =
	"{\"Ref\":\"run-000413\",\"JobClass\":\"serve\",\"Owner\":\"search\","
	"\"JobKind\":\"standing\",\"Tier\":\"standard\",\"Parts\":3,\"Vcpus\":1.5,"
	"\"Accelerators\":0,\"RamGb\":2.5,\"Bundle\":\"img-08\",\"ImageGb\":0.75,"
	"\"Together\":false,\"Apart\":true,\"Reclaimable\":false,\"ExpectedS\":0,"
	"\"SnapshotEveryS\":0,\"SnapshotCostS\":0.5}";
static const struct fl_job_spec service_job = {.ref = "run-000413",
                                               .job_class = "serve",
                                               .team = "search",
                                               .kind = FL_SERVICE,
                                               .priority = FL_STANDARD,
                                               .task_count = 3,
                                               .cpus = 1.5,
                                               .ram_gb = 2.5,
                                               .image = "img-08",
                                               .image_gb = 0.75,
                                               .machine_type_count = -1,
                                               .spread_zones = true,
                                               .checkpoint_cost_s = 0.5,
                                               .due_s = -1};

static const char gang_job_text[] =
	"{\"Ref\":\"run-000000000414\",\"JobClass\":\"mesh\",\"Owner\":\"physics\","
	"\"JobKind\":\"ensemble\",\"Tier\":\"urgent\",\"Parts\":100000,\"Vcpus\":4,"
	"\"Accelerators\":1.5,\"RamGb\":12,\"Bundle\":\"img-09\",\"ImageGb\":3,"
	"\"HostKinds\":[],\"Together\":false,\"Apart\":false,\"Reclaimable\":true,"
	"\"ExpectedS\":61,\"SnapshotEveryS\":11,\"SnapshotCostS\":7,\"DueS\":0}";
static const struct fl_job_spec gang_job = {.ref = "run-000000000414",
                                            .job_class = "mesh",
                                            .team = "physics",
                                            .kind = FL_GANG,
                                            .priority = FL_URGENT,
                                            .task_count = 100000,
                                            .cpus = 4,
                                            .gpus = 1.5,
                                            .ram_gb = 12,
                                            .image = "img-09",
                                            .image_gb = 3,
                                            .spot_allowed = true,
                                            .expected_s = 61,
                                            .checkpoint_every_s = 11,
                                            .checkpoint_cost_s = 7};

static void expect_job_spec(const struct fl_job_spec *got, const struct fl_job_spec *expected)
{
	assert_string_equal(got->ref, expected->ref);
	assert_string_equal(got->job_class, expected->job_class);
	assert_string_equal(got->team, expected->team);
	assert_string_equal(got->image, expected->image);
	assert_string_equal(got->zone, expected->zone);
	assert_int_equal(got->machine_type_count, expected->machine_type_count);
	for (int i = 0; i < expected->machine_type_count; i++)
		assert_string_equal(got->machine_types[i], expected->machine_types[i]);
	assert_int_equal(got->kind, expected->kind);
	assert_int_equal(got->priority, expected->priority);
	assert_int_equal(got->task_count, expected->task_count);
	assert_true(got->cpus == expected->cpus);
	assert_true(got->gpus == expected->gpus);
	assert_true(got->ram_gb == expected->ram_gb);
	assert_true(got->image_gb == expected->image_gb);
	assert_true(got->expected_s == expected->expected_s);
	assert_true(got->checkpoint_every_s == expected->checkpoint_every_s);
	assert_true(got->checkpoint_cost_s == expected->checkpoint_cost_s);
	assert_true(got->due_s == expected->due_s);
	assert_int_equal(got->has_zone, expected->has_zone);
	assert_int_equal(got->same_zone, expected->same_zone);
	assert_int_equal(got->spread_zones, expected->spread_zones);
	assert_int_equal(got->spot_allowed, expected->spot_allowed);
}

/* Decoded from the text, and the text again encoded from what was expected. */
static void expect_both_ways(const char *text, const struct fl_job_spec *expected)
{
	cJSON *tree = parse(text);
	struct fl_job_spec got;

	assert_null(fl_job_spec_decode(tree, &got));
	cJSON_Delete(tree);
	expect_job_spec(&got, expected);
	expect_text(fl_json_print_and_delete(fl_job_spec_encode(expected)), text);
}

static void a_job_description_has_the_agreed_fields_for_each_kind(void **state)
{
	(void)state;
	expect_both_ways(array_job_text, &array_job);
	expect_both_ways(service_job_text, &service_job);
	expect_both_ways(gang_job_text, &gang_job);
}

static const char critical_job_text[] =
	"{\"Ref\":\"run-000415\",\"JobClass\":\"train\",\"Owner\":\"vision\","
	"\"JobKind\":\"sweep\",\"Tier\":\"critical\",\"Parts\":2,\"Vcpus\":8.0,"
	"\"Accelerators\":1.0,\"RamGb\":64.0,\"Bundle\":\"img-07\",\"ImageGb\":6.5,"
	"\"HostKinds\":null,\"Site\":null,\"Together\":false,\"Apart\":false,"
	"\"Reclaimable\":true,\"ExpectedS\":240.0,\"SnapshotEveryS\":30.0,"
	"\"SnapshotCostS\":4.0,\"DueS\":null}";
static const char critical_job_encoded[] =
	"{\"Ref\":\"run-000415\",\"JobClass\":\"train\",\"Owner\":\"vision\","
	"\"JobKind\":\"sweep\",\"Tier\":\"critical\",\"Parts\":2,\"Vcpus\":8,"
	"\"Accelerators\":1,\"RamGb\":64,\"Bundle\":\"img-07\",\"ImageGb\":6.5,"
	"\"Together\":false,\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":240,"
	"\"SnapshotEveryS\":30,\"SnapshotCostS\":4}";

/* As users write it: decimal amounts, and null for each constraint that is not set. */
static void a_job_description_with_nulls_has_no_constraints(void **state)
{
	static const struct fl_job_spec expected = {.ref = "run-000415",
	                                            .job_class = "train",
	                                            .team = "vision",
	                                            .kind = FL_ARRAY,
	                                            .priority = FL_CRITICAL,
	                                            .task_count = 2,
	                                            .cpus = 8,
	                                            .gpus = 1,
	                                            .ram_gb = 64,
	                                            .image = "img-07",
	                                            .image_gb = 6.5,
	                                            .machine_type_count = -1,
	                                            .spot_allowed = true,
	                                            .expected_s = 240,
	                                            .checkpoint_every_s = 30,
	                                            .checkpoint_cost_s = 4,
	                                            .due_s = -1};
	cJSON *tree = parse(critical_job_text);
	struct fl_job_spec got;

	(void)state;
	assert_null(fl_job_spec_decode(tree, &got));
	cJSON_Delete(tree);
	expect_job_spec(&got, &expected);
	expect_text(fl_json_print_and_delete(fl_job_spec_encode(&expected)), critical_job_encoded);
}

/* The user is told the name of the field. */
static void a_missing_field_of_a_job_description_is_named(void **state)
{
	static const char *const required[] = {
		"Ref",    "JobClass", "Owner",     "JobKind",        "Tier",         "Parts",
		"Bundle", "Together", "Apart",     "Reclaimable",    "Vcpus",        "Accelerators",
		"RamGb",  "ImageGb",  "ExpectedS", "SnapshotEveryS", "SnapshotCostS"};
	static const char *const optional[] = {"HostKinds", "Site", "DueS"};
	struct fl_job_spec got;

	(void)state;
	for (int i = 0; i < COUNT_OF(required); i++) {
		cJSON *tree = parse(array_job_text);

		cJSON_DeleteItemFromObjectCaseSensitive(tree, required[i]);
		assert_string_equal(fl_job_spec_decode(tree, &got), required[i]);
		cJSON_Delete(tree);
	}
	for (int i = 0; i < COUNT_OF(optional); i++) {
		cJSON *tree = parse(array_job_text);

		cJSON_ReplaceItemInObjectCaseSensitive(tree, optional[i], cJSON_CreateTrue());
		assert_string_equal(fl_job_spec_decode(tree, &got), optional[i]);
		cJSON_Delete(tree);
	}
}

/* ---- users: answers and paths ---- */

static void a_status_answer_has_the_word_of_each_status(void **state)
{
	(void)state;
	expect_text(fl_status_encode("run-000412", FL_PENDING, 0, 0),
	            "{\"Ref\":\"run-000412\",\"Status\":\"pending\",\"done\":0,\"running\":0}");
	expect_text(fl_status_encode("run-000412", FL_RUNNING, 3, 13),
	            "{\"Ref\":\"run-000412\",\"Status\":\"running\",\"done\":3,\"running\":13}");
	expect_text(fl_status_encode("run-000413", FL_DONE, 16, 0),
	            "{\"Ref\":\"run-000413\",\"Status\":\"done\",\"done\":16,\"running\":0}");
	expect_text(fl_status_encode("run-000414", FL_CANCELLED, 2, 1),
	            "{\"Ref\":\"run-000414\",\"Status\":\"aborted\",\"done\":2,\"running\":1}");
}

static void an_answer_to_a_submission_or_cancellation_has_no_task_counts(void **state)
{
	(void)state;
	expect_text(fl_status_encode("run-000412", FL_PENDING, -1, -1),
	            "{\"Ref\":\"run-000412\",\"Status\":\"pending\"}");
	expect_text(fl_status_encode("run-000412", FL_CANCELLED, -1, -1),
	            "{\"Ref\":\"run-000412\",\"Status\":\"aborted\"}");
	expect_text(fl_status_encode("run-000412", FL_DONE, -1, -1),
	            "{\"Ref\":\"run-000412\",\"Status\":\"done\"}");
}

static void each_status_has_its_word(void **state)
{
	(void)state;
	assert_string_equal(fl_status_name(FL_PENDING), "pending");
	assert_string_equal(fl_status_name(FL_RUNNING), "running");
	assert_string_equal(fl_status_name(FL_DONE), "done");
	assert_string_equal(fl_status_name(FL_CANCELLED), "aborted");
}

static void each_path_leads_to_its_call(void **state)
{
	static const struct {
		const char *path;
		enum fl_user_request call;
		const char *ref;
	} paths[] = {
		{"/v2/runs", FL_USER_REQUEST_SUBMIT, ""},
		{"/v2/runs/run-000412", FL_USER_REQUEST_STATUS, "run-000412"},
		{"/v2/runs/run-000412/cancel", FL_USER_REQUEST_CANCEL, "run-000412"},
		{"/ready", FL_USER_REQUEST_READY, ""},
		{"/hello", FL_USER_REQUEST_HEARTBEAT, ""},
		{"/v2/runs/task-000412", FL_USER_REQUEST_STATUS, ""},
		{"/v2/runs/task-000412/cancel", FL_USER_REQUEST_CANCEL, ""},
		{"/v2/runs/run-000412/abort", FL_USER_REQUEST_UNKNOWN, ""},
		{"/v2/runsrun-000412", FL_USER_REQUEST_UNKNOWN, ""},
		{"/v1/runs", FL_USER_REQUEST_UNKNOWN, ""},
		{"/v2/jobs", FL_USER_REQUEST_UNKNOWN, ""},
		{"/", FL_USER_REQUEST_UNKNOWN, ""},
	};
	char ref[FL_REF_MAX];

	(void)state;
	for (int i = 0; i < COUNT_OF(paths); i++) {
		assert_int_equal(fl_user_route(paths[i].path, ref), paths[i].call);
		assert_string_equal(ref, paths[i].ref);
	}
}

static void a_job_id_is_run_and_six_to_twelve_digits(void **state)
{
	(void)state;
	assert_string_equal(FL_REF_BEGIN, "run-");
	assert_true(fl_job_ref_is_valid("run-000412"));
	assert_true(fl_job_ref_is_valid("run-000000000412"));
	assert_false(fl_job_ref_is_valid("run-00412"));
	assert_false(fl_job_ref_is_valid("run-0000000000412"));
	assert_false(fl_job_ref_is_valid("job-000412"));
	assert_false(fl_job_ref_is_valid("run-00041x"));
	assert_false(fl_job_ref_is_valid("RUN-000412"));
}

static void an_error_answer_has_the_field_error(void **state)
{
	(void)state;
	expect_text(fl_json_error("bad field: %s", "Tier"), "{\"error\":\"bad field: Tier\"}");
	expect_text(fl_json_error("the \"owner\""), "{\"error\":\"the \\\"owner\\\"\"}");
}

/* ---- workers ---- */

static const char report_text[] =
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

static const struct fl_task_status reported_tasks[] = {
	{.ref = "run-000401",
         .index = 0,
         .attempt = 1,
         .state = FL_TASK_STATE_PULLING,
         .exit = FL_EXIT_OTHER},
	{.ref = "run-000402",
         .index = 3,
         .attempt = 2,
         .state = FL_TASK_STATE_RUNNING,
         .exit = FL_EXIT_OTHER},
	{.ref = "run-000403",
         .index = 99999,
         .attempt = 4294967295,
         .state = FL_TASK_STATE_CHECKPOINTING,
         .exit = FL_EXIT_OTHER},
	{.ref = "run-000404",
         .index = 5,
         .attempt = 4,
         .state = FL_TASK_STATE_AWAITING_GANG,
         .exit = FL_EXIT_OTHER},
	{.ref = "run-000405",
         .index = 6,
         .attempt = 5,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_DONE},
	{.ref = "run-000406",
         .index = 7,
         .attempt = 6,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_STOPPED,
         .saved = true},
	{.ref = "run-000407",
         .index = 8,
         .attempt = 7,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_ERROR},
	{.ref = "run-000408",
         .index = 9,
         .attempt = 8,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_NO_ROOM},
	{.ref = "run-000409",
         .index = 10,
         .attempt = 9,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_BUSY},
	{.ref = "run-000410",
         .index = 11,
         .attempt = 10,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_UNKNOWN_TASK},
	{.ref = "run-000411",
         .index = 12,
         .attempt = 11,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_GANG_PEERS_LOST},
	{.ref = "run-000412",
         .index = 13,
         .attempt = 12,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_GANG_INCOMPLETE},
	{.ref = "run-000413",
         .index = 14,
         .attempt = 13,
         .state = FL_TASK_STATE_EXITED,
         .exit = FL_EXIT_OTHER},
};

/* The report of the text; its tasks must not be freed or changed. */
static struct fl_heartbeat expected_report(void)
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
	                             .tasks = (struct fl_task_status *)reported_tasks,
	                             .task_count = COUNT_OF(reported_tasks)};
}

static void expect_tasks(const struct fl_heartbeat *got, const struct fl_heartbeat *expected)
{
	assert_int_equal(got->task_count, expected->task_count);
	for (int i = 0; i < expected->task_count; i++) {
		assert_string_equal(got->tasks[i].ref, expected->tasks[i].ref);
		assert_int_equal(got->tasks[i].index, expected->tasks[i].index);
		assert_int_equal(got->tasks[i].attempt, expected->tasks[i].attempt);
		assert_int_equal(got->tasks[i].state, expected->tasks[i].state);
		assert_int_equal(got->tasks[i].exit, expected->tasks[i].exit);
	}
}

static void expect_report(const struct fl_heartbeat *got, const struct fl_heartbeat *expected)
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
	expect_tasks(got, expected);
	for (int i = 0; i < expected->task_count; i++)
		assert_int_equal(got->tasks[i].saved, expected->tasks[i].saved);
}

static void a_heartbeat_has_each_task_state_and_each_exit_word(void **state)
{
	const struct fl_heartbeat expected = expected_report();
	struct fl_heartbeat got;

	(void)state;
	assert_int_equal(fl_heartbeat_decode(report_text, strlen(report_text), &got), 0);
	expect_report(&got, &expected);
	fl_heartbeat_free(&got);
	expect_text(fl_heartbeat_encode(&expected), report_text);
}

/* The largest count there is. */
static void the_fencing_token_of_a_heartbeat_is_read_exactly(void **state)
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

static const char idle_report_text[] =
	"{\"Host\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
	"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Tenure\":1,\"Serial\":88,\"Epoch\":41,"
	"\"Parts\":[]}";

/* The report of that text. */
static const struct fl_heartbeat idle_report = {.host = "m-000232",
                                                .endpoint = "10.1.0.233:9000",
                                                .type = "c32",
                                                .zone = "zone-b",
                                                .incarnation = 1,
                                                .sequence = 88,
                                                .fencing_token = 41,
                                                .interruption_in_s = -1};

static void a_heartbeat_without_spot_notice_and_tasks_has_neither(void **state)
{
	static const char with_null[] =
		"{\"Host\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
		"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Tenure\":1,\"Serial\":88,"
		"\"Epoch\":41,\"ReclaimInS\":null,\"Parts\":[]}";
	struct fl_heartbeat got;

	(void)state;
	assert_int_equal(fl_heartbeat_decode(idle_report_text, strlen(idle_report_text), &got), 0);
	expect_report(&got, &idle_report);
	assert_int_equal(fl_heartbeat_decode(with_null, strlen(with_null), &got), 0);
	expect_report(&got, &idle_report);
	expect_text(fl_heartbeat_encode(&idle_report), idle_report_text);
}

/* The body of a direct command, with its session. */
static const char command_text[] =
	"{\"Epoch\":41,\"Orders\":["
	"{\"Verb\":\"launch\",\"Part\":\"run-000412/4\",\"Try\":2},"
	"{\"Verb\":\"kill\",\"Part\":\"run-000377/1\",\"Try\":5,\"WindDownS\":10.5},"
	"{\"Verb\":\"forget\",\"Part\":\"run-000398/0\",\"Try\":1}],\"Tenure\":7}";

static void add_one_order_of_each_verb(struct fl_command_list *commands)
{
	fl_command_list_add(commands,
	                    &(struct fl_command){FL_COMMAND_START, "run-000412", 4, 2, 10.5});
	fl_command_list_add(commands,
	                    &(struct fl_command){FL_COMMAND_STOP, "run-000377", 1, 5, 10.5});
	fl_command_list_add(commands,
	                    &(struct fl_command){FL_COMMAND_FORGET, "run-000398", 0, 1, 10.5});
}

static void a_heartbeat_answer_has_the_fencing_token_and_each_verb(void **state)
{
	struct fl_command_list commands;

	(void)state;
	fl_command_list_init(&commands, 41);
	add_one_order_of_each_verb(&commands);
	assert_int_equal(commands.count, 3);
	expect_text(fl_command_list_take(&commands),
	            "{\"Epoch\":41,\"Orders\":["
	            "{\"Verb\":\"launch\",\"Part\":\"run-000412/4\",\"Try\":2},"
	            "{\"Verb\":\"kill\",\"Part\":\"run-000377/1\",\"Try\":5,\"WindDownS\":10.5},"
	            "{\"Verb\":\"forget\",\"Part\":\"run-000398/0\",\"Try\":1}]}");
	fl_command_list_init(&commands, 912345678901234);
	expect_text(fl_command_list_take(&commands), "{\"Epoch\":912345678901234,\"Orders\":[]}");
}

static void a_redirect_names_the_node_to_report_to(void **state)
{
	(void)state;
	expect_text(fl_redirect_encode("host-2"), "{\"Steward\":\"host-2\"}");
	expect_text(fl_redirect_encode(NULL), "{}");
}

struct command_results {
	char *body;
	enum fl_worker_result result[3];
	struct fl_heartbeat reports[3];
};

static void send_commands(const char *address, void *results)
{
	struct command_results *got = results;

	for (int i = 0; i < 3; i++)
		got->result[i] = fl_worker_send_commands(address, got->body, 5, &got->reports[i]);
}

static void a_direct_command_is_posted_and_answered_with_a_report(void **state)
{
	static const char request[] =
		"POST /commands\n"
		"{\"Epoch\":41,\"Orders\":["
		"{\"Verb\":\"launch\",\"Part\":\"run-000412/4\",\"Try\":2},"
		"{\"Verb\":\"kill\",\"Part\":\"run-000377/1\",\"Try\":5,\"WindDownS\":10.5},"
		"{\"Verb\":\"forget\",\"Part\":\"run-000398/0\",\"Try\":1}],\"Tenure\":7}";
	static const struct contract_exchange script[] = {
		{request, 200, report_text},
		{request, 409, idle_report_text},
		{request, 400, "{\"error\":\"no Tenure\"}"},
	};
	const struct fl_heartbeat busy = expected_report();
	struct command_results got = {0};
	struct fl_command_list commands;

	(void)state;
	fl_command_list_init(&commands, 41);
	add_one_order_of_each_verb(&commands);
	fl_command_list_bind_incarnation(&commands, 7);
	got.body = fl_command_list_take(&commands);
	assert_string_equal(got.body, command_text);
	contract_run(send_commands, &got, script, COUNT_OF(script));
	free(got.body);
	assert_int_equal(got.result[0], FL_WORKER_ACCEPTED);
	expect_report(&got.reports[0], &busy);
	assert_int_equal(got.result[1], FL_WORKER_REJECTED);
	expect_report(&got.reports[1], &idle_report);
	assert_int_equal(got.result[2], FL_WORKER_INVALID);
	assert_int_equal(got.reports[2].task_count, 0);
	for (int i = 0; i < 3; i++)
		fl_heartbeat_free(&got.reports[i]);
}

/* ---- cloud ---- */

static const char types_text[] =
	"{\"HostKinds\":[{\"Name\":\"g8\",\"Vcpus\":96,\"Accelerators\":8,\"RamGb\":768,"
	"\"LocalGb\":200.5,\"PullGbPerS\":1.25,\"Price\":12.5,\"SpotPrice\":4.5,\"ReadyS\":45,"
	"\"Sites\":[\"zone-a\",\"zone-b\"]},"
	"{\"Name\":\"c32\",\"Vcpus\":32,\"Accelerators\":0,\"RamGb\":128,\"LocalGb\":0,"
	"\"PullGbPerS\":0.5,\"Price\":2,\"SpotPrice\":0.75,\"ReadyS\":20,\"Sites\":[]}]}";
static const struct fl_cloud_machine_type offered_types[] = {
	{.name = "g8",
         .cpus = 96,
         .gpus = 8,
         .ram_gb = 768,
         .cache_gb = 200.5,
         .pull_gb_s = 1.25,
         .price = 12.5,
         .spot_price = 4.5,
         .ready_s = 45,
         .zones = {"zone-a", "zone-b"},
         .zone_count = 2},
	{.name = "c32",
         .cpus = 32,
         .ram_gb = 128,
         .pull_gb_s = 0.5,
         .price = 2,
         .spot_price = 0.75,
         .ready_s = 20},
};

static void expect_types(const struct fl_cloud_machine_type *got, int count)
{
	assert_int_equal(count, COUNT_OF(offered_types));
	for (int i = 0; i < count; i++) {
		const struct fl_cloud_machine_type *expected = &offered_types[i];

		assert_string_equal(got[i].name, expected->name);
		assert_true(got[i].cpus == expected->cpus);
		assert_true(got[i].gpus == expected->gpus);
		assert_true(got[i].ram_gb == expected->ram_gb);
		assert_true(got[i].cache_gb == expected->cache_gb);
		assert_true(got[i].pull_gb_s == expected->pull_gb_s);
		assert_true(got[i].price == expected->price);
		assert_true(got[i].spot_price == expected->spot_price);
		assert_true(got[i].ready_s == expected->ready_s);
		assert_int_equal(got[i].zone_count, expected->zone_count);
		for (int zone = 0; zone < expected->zone_count; zone++)
			assert_string_equal(got[i].zones[zone], expected->zones[zone]);
	}
}

static void machine_types_have_the_agreed_fields(void **state)
{
	cJSON *tree = parse(types_text);
	struct fl_cloud_machine_type *got;
	int count;

	(void)state;
	assert_int_equal(fl_machine_types_decode(tree, &got, &count), 0);
	cJSON_Delete(tree);
	expect_types(got, count);
	free(got);
	expect_text(fl_json_print_and_delete(
			    fl_machine_types_encode(offered_types, COUNT_OF(offered_types))),
	            types_text);
}

struct types_results {
	enum fl_cloud_result result[3];
	struct fl_cloud_machine_type *types;
	int count;
};

static void ask_for_types(const char *address, void *results)
{
	struct types_results *got = results;
	struct fl_cloud_machine_type *none;
	struct fl_cloud cloud;
	int none_count;

	fl_http_client_init(&cloud.http, address, 1);
	got->result[0] = fl_cloud_machine_types(&cloud, &got->types, &got->count);
	got->result[1] = fl_cloud_machine_types(&cloud, &none, &none_count);
	got->result[2] = fl_cloud_machine_types(&cloud, &none, &none_count);
	fl_http_client_close(&cloud.http);
}

static void machine_types_are_asked_of_the_cloud(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /machine_types\n", 200, types_text},
		{"GET /machine_types\n", 429, "{}"},
		{"GET /machine_types\n", 503, "{\"error\":\"trouble\"}"},
	};
	struct types_results got = {0};

	(void)state;
	contract_run(ask_for_types, &got, script, COUNT_OF(script));
	assert_int_equal(got.result[0], FL_CLOUD_OK);
	expect_types(got.types, got.count);
	free(got.types);
	assert_int_equal(got.result[1], FL_CLOUD_UNAVAILABLE);
	assert_int_equal(got.result[2], FL_CLOUD_UNAVAILABLE);
}

struct rental_results {
	enum fl_cloud_result result[4];
	char (*hosts[3])[FL_NAME_MAX];
	int count[3];
};

static void rent_and_delete(const char *address, void *results)
{
	static const char *const returned[] = {"m-000231", "m-000232"};
	static const struct fl_cloud_rental rentals[] = {
		{"r-17", "g8", "zone-a", true, 12},
		{"r-18", "c32", "zone-b", false, 1},
		{"r-18", "c32", "zone-b", false, 1},
	};
	struct rental_results *got = results;
	struct fl_cloud cloud;

	fl_http_client_init(&cloud.http, address, 1);
	for (int i = 0; i < 3; i++)
		got->result[i] = fl_cloud_rent(&cloud, &rentals[i], &got->hosts[i], &got->count[i]);
	got->result[3] = fl_cloud_delete(&cloud, returned, COUNT_OF(returned));
	fl_http_client_close(&cloud.http);
}

static void machines_are_rented_and_deleted(void **state)
{
	static const struct contract_exchange script[] = {
		{"POST /rentals\n"
	         "{\"Rental\":\"r-17\",\"HostKind\":\"g8\",\"Site\":\"zone-a\","
	         "\"Reclaimable\":true,\"Count\":12}",
	         200, "{\"Hosts\":[\"m-000231\",\"m-000232\"]}"},
		{"POST /rentals\n"
	         "{\"Rental\":\"r-18\",\"HostKind\":\"c32\",\"Site\":\"zone-b\","
	         "\"Reclaimable\":false,\"Count\":1}",
	         503, "{\"error\":\"no capacity\"}"},
		{"POST /rentals\n"
	         "{\"Rental\":\"r-18\",\"HostKind\":\"c32\",\"Site\":\"zone-b\","
	         "\"Reclaimable\":false,\"Count\":1}",
	         503, "{\"error\":\"trouble\"}"},
		{"POST /rentals/delete\n{\"Hosts\":[\"m-000231\",\"m-000232\"]}", 200, "{}"},
	};
	struct rental_results got = {0};

	(void)state;
	contract_run(rent_and_delete, &got, script, COUNT_OF(script));
	assert_int_equal(got.result[0], FL_CLOUD_OK);
	assert_int_equal(got.count[0], 2);
	assert_string_equal(got.hosts[0][0], "m-000231");
	assert_string_equal(got.hosts[0][1], "m-000232");
	free(got.hosts[0]);
	assert_int_equal(got.result[1], FL_CLOUD_NO_CAPACITY);
	assert_int_equal(got.result[2], FL_CLOUD_UNAVAILABLE);
	assert_int_equal(got.result[3], FL_CLOUD_OK);
}

static const char first_listed_text[] =
	"{\"Hosts\":[{\"Ref\":\"m-000231\",\"Endpoint\":\"10.1.0.232:9000\",\"HostKind\":\"g8\","
	"\"Site\":\"zone-a\",\"Reclaimable\":true,\"Status\":\"running\",\"AgeS\":61.5},"
	"{\"Ref\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
	"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Status\":\"booting\",\"AgeS\":4}],"
	"\"More\":true}";
static const char last_listed_text[] =
	"{\"Hosts\":[{\"Ref\":\"m-000240\",\"Endpoint\":\"10.1.0.241:9000\",\"HostKind\":\"g4\","
	"\"Site\":\"zone-c\",\"Reclaimable\":false,\"Status\":\"failed\",\"AgeS\":300}],"
	"\"More\":false}";

struct list_results {
	enum fl_cloud_result result[2];
	int count[2];
	struct fl_cloud_machine *hosts[2];
	bool more[2];
};

static void list_machines(const char *address, void *results)
{
	static const char *const from[] = {NULL, "m-000232"};
	struct list_results *got = results;
	struct fl_cloud cloud;

	fl_http_client_init(&cloud.http, address, 1);
	for (int i = 0; i < 2; i++)
		got->result[i] = fl_cloud_list(&cloud, from[i], &got->hosts[i], &got->count[i],
		                               &got->more[i]);
	fl_http_client_close(&cloud.http);
}

static void expect_listed(const struct fl_cloud_machine *got,
                          const struct fl_cloud_machine *expected)
{
	assert_string_equal(got->host, expected->host);
	assert_string_equal(got->endpoint, expected->endpoint);
	assert_string_equal(got->type, expected->type);
	assert_string_equal(got->zone, expected->zone);
	assert_int_equal(got->spot, expected->spot);
	assert_int_equal(got->status, expected->status);
	assert_true(got->age_s == expected->age_s);
}

static void rented_machines_are_listed_page_by_page(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /rentals?Page=500\n", 200, first_listed_text},
		{"GET /rentals?From=m-000232&Page=500\n", 200, last_listed_text},
	};
	static const struct fl_cloud_machine expected[] = {
		{"m-000231", "10.1.0.232:9000", "g8", "zone-a", true, FL_CLOUD_MACHINE_RUNNING,
	         61.5},
		{"m-000232", "10.1.0.233:9000", "c32", "zone-b", false, FL_CLOUD_MACHINE_BOOTING,
	         4},
		{"m-000240", "10.1.0.241:9000", "g4", "zone-c", false, FL_CLOUD_MACHINE_FAILED,
	         300},
	};
	struct list_results got = {0};

	(void)state;
	contract_run(list_machines, &got, script, COUNT_OF(script));
	assert_int_equal(got.result[0], FL_CLOUD_OK);
	assert_int_equal(got.count[0], 2);
	assert_true(got.more[0]);
	expect_listed(&got.hosts[0][0], &expected[0]);
	expect_listed(&got.hosts[0][1], &expected[1]);
	assert_int_equal(got.result[1], FL_CLOUD_OK);
	assert_int_equal(got.count[1], 1);
	assert_false(got.more[1]);
	expect_listed(&got.hosts[1][0], &expected[2]);
	free(got.hosts[0]);
	free(got.hosts[1]);
}

/* ---- state service ---- */

/* Changes as text, one a line: key, revision, value. */
struct change_text {
	char text[512];
};

static void note_change(void *context, const struct fl_kv_event *event)
{
	struct change_text *changes = context;
	char *value = event->value ? cJSON_PrintUnformatted(event->value) : NULL;
	size_t used = strlen(changes->text);

	snprintf(changes->text + used, sizeof(changes->text) - used, "%s %llu %s\n", event->key,
	         (unsigned long long)event->mod_revision, value ? value : "deleted");
	free(value);
}

struct get_results {
	int rc[3];
	cJSON *value[3];
	uint64_t rev[3], grant[3];
};

static void read_keys(const char *address, void *results)
{
	static const char *const keys[] = {"a/b", "a/c", "a/none"};
	struct get_results *got = results;
	struct fl_kv_store service;

	fl_kv_init(&service, address);
	for (int i = 0; i < 3; i++)
		got->rc[i] =
			fl_kv_get(&service, keys[i], &got->value[i], &got->rev[i], &got->grant[i]);
	fl_http_client_close(&service.client);
	fl_http_client_close(&service.watch_client);
}

static void a_key_is_read_with_its_revision_and_lease(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /keys/a/b\n", 200,
	         "{\"Key\":\"a/b\",\"V\":{\"n\":5},\"KeyRev\":412,\"Grant\":7}"},
		{"GET /keys/a/c\n", 200, "{\"Key\":\"a/c\",\"V\":[6],\"KeyRev\":413}"},
		{"GET /keys/a/none\n", 404, "{\"LedgerRev\":431}"},
	};
	struct get_results got = {.grant = {99, 99, 99}};

	(void)state;
	contract_run(read_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.rev[0], 412);
	assert_int_equal(got.grant[0], 7);
	expect_text(fl_json_print_and_delete(got.value[0]), "{\"n\":5}");
	assert_int_equal(got.rc[1], FL_KV_OK);
	assert_int_equal(got.rev[1], 413);
	assert_int_equal(got.grant[1], 0);
	expect_text(fl_json_print_and_delete(got.value[1]), "[6]");
	assert_int_equal(got.rc[2], FL_KV_NOT_FOUND);
	assert_null(got.value[2]);
}

struct read_results {
	int rc[2];
	uint64_t rev[2];
	struct change_text changes[2];
};

static void list_keys(const char *address, void *results)
{
	struct read_results *got = results;
	struct fl_kv_store service;

	fl_kv_init(&service, address);
	got->rc[0] = fl_kv_list(&service, "c/", note_change, &got->changes[0], &got->rev[0]);
	fl_http_client_close(&service.client);
	fl_http_client_close(&service.watch_client);
}

static void keys_are_listed_page_by_page(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /keys?Prefix=c/&Page=1000\n", 200,
	         "{\"Items\":[{\"Key\":\"c/6\",\"V\":{\"n\":1},\"KeyRev\":401},"
	         "{\"Key\":\"c/7\",\"V\":\"two\",\"KeyRev\":402}],\"More\":true,"
	         "\"LedgerRev\":431}"},
		{"GET /keys?Prefix=c/&From=c/7&Page=1000\n", 200,
	         "{\"Items\":[{\"Key\":\"c/8\",\"V\":3,\"KeyRev\":403}],\"More\":false,"
	         "\"LedgerRev\":432}"},
	};
	struct read_results got = {0};

	(void)state;
	contract_run(list_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.rev[0], 431);
	assert_string_equal(got.changes[0].text, "c/6 401 {\"n\":1}\nc/7 402 \"two\"\nc/8 403 3\n");
}

static void watch_keys(const char *address, void *results)
{
	struct read_results *got = results;
	struct fl_kv_store service;

	fl_kv_init(&service, address);
	for (int i = 0; i < 2; i++)
		got->rc[i] = fl_kv_watch(
			&service,
			&(struct fl_kv_watch_request){"c/", 2.5, note_change, &got->changes[i]},
			&got->rev[i]);
	fl_http_client_close(&service.client);
	fl_http_client_close(&service.watch_client);
}

static void a_watch_brings_writes_and_deletions(void **state)
{
	static const struct contract_exchange script[] = {
		{"GET /follow?Prefix=c/&From=431&HoldMs=2500\n", 200,
	         "{\"LedgerRev\":434,\"Log\":[{\"Put\":\"c/9\",\"V\":{\"n\":9},\"KeyRev\":433},"
	         "{\"Delete\":\"c/d\",\"KeyRev\":432}]}"},
		{"GET /follow?Prefix=c/&From=17&HoldMs=2500\n", 410, "{\"LedgerRev\":434}"},
	};
	struct read_results got = {.rev = {431, 17}};

	(void)state;
	contract_run(watch_keys, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.rev[0], 434);
	assert_string_equal(got.changes[0].text, "c/9 433 {\"n\":9}\nc/d 432 deleted\n");
	assert_int_equal(got.rc[1], FL_KV_COMPACTED);
	assert_int_equal(got.rev[1], 17);
}

struct multi_results {
	int rc[3];
	uint64_t rev[3];
	char failed[3][FL_KEY_MAX];
};

static void send_transactions(const char *address, void *results)
{
	struct multi_results *got = results;
	struct fl_kv_store service;
	struct fl_kv_txn multi;

	fl_kv_init(&service, address);
	fl_kv_txn_init(&multi);
	fl_kv_txn_expect_revision(&multi, "a/b", 0);
	fl_kv_txn_expect_revision(&multi, "c/d", 412);
	fl_kv_txn_put(&multi, "a/b", cJSON_CreateString("leased"), 7);
	fl_kv_txn_put(&multi, "a/c", cJSON_CreateNumber(8.5), 0);
	fl_kv_txn_delete(&multi, "c/d");
	got->rc[0] = fl_kv_txn_commit(&service, &multi, &got->rev[0], got->failed[0]);
	fl_kv_txn_init(&multi);
	fl_kv_txn_expect_revision(&multi, "c/d", 412);
	got->rc[1] = fl_kv_txn_commit(&service, &multi, &got->rev[1], got->failed[1]);
	fl_kv_txn_init(&multi);
	fl_kv_txn_put(&multi, "a/b", cJSON_CreateTrue(), 6);
	got->rc[2] = fl_kv_txn_commit(&service, &multi, &got->rev[2], got->failed[2]);
	fl_http_client_close(&service.client);
	fl_http_client_close(&service.watch_client);
}

static void a_transaction_has_conditions_writes_deletions_and_leases(void **state)
{
	static const struct contract_exchange script[] = {
		{"POST /multi\n"
	         "{\"When\":[{\"Key\":\"a/b\",\"KeyRev\":0},{\"Key\":\"c/d\",\"KeyRev\":412}],"
	         "\"Apply\":[{\"Put\":\"a/b\",\"V\":\"leased\",\"Grant\":7},"
	         "{\"Put\":\"a/c\",\"V\":8.5},{\"Delete\":\"c/d\"}]}",
	         200, "{\"LedgerRev\":432}"},
		{"POST /multi\n{\"When\":[{\"Key\":\"c/d\",\"KeyRev\":412}],\"Apply\":[]}", 409,
	         "{\"failed\":[\"c/d\",\"a/b\"],\"LedgerRev\":431}"},
		{"POST /multi\n"
	         "{\"When\":[],\"Apply\":[{\"Put\":\"a/b\",\"V\":true,\"Grant\":6}]}",
	         400, "{\"error\":\"no such lease\"}"},
	};
	struct multi_results got = {0};

	(void)state;
	contract_run(send_transactions, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.rev[0], 432);
	assert_int_equal(got.rc[1], FL_KV_COMPARE_FAILED);
	assert_string_equal(got.failed[1], "c/d");
	assert_int_equal(got.rc[2], FL_KV_INVALID);
}

struct lease_results {
	int rc[8];
	uint64_t grant;
};

static void use_leases(const char *address, void *results)
{
	struct lease_results *got = results;
	struct fl_kv_store service;
	uint64_t none;

	fl_kv_init(&service, address);
	got->rc[0] = fl_kv_lease_grant(&service, 5.25, &got->grant);
	got->rc[1] = fl_kv_lease_grant(&service, 5, &none);
	got->rc[2] = fl_kv_lease_keep_alive(&service, 7, 5);
	got->rc[3] = fl_kv_lease_keep_alive(&service, 8, 5);
	got->rc[4] = fl_kv_lease_keep_alive(&service, 7, 5);
	got->rc[5] = fl_kv_lease_revoke(&service, 7);
	got->rc[6] = fl_kv_lease_revoke(&service, 8);
	fl_http_client_close(&service.client);
	fl_http_client_close(&service.watch_client);
}

static void a_lease_is_taken_out_renewed_and_ended(void **state)
{
	static const struct contract_exchange script[] = {
		{"POST /holds\n{\"TtlMs\":5250}", 200, "{\"Grant\":7}"},
		{"POST /holds\n{\"TtlMs\":5000}", 429, "{}"},
		{"POST /holds/7/extend\n{}", 200, "{}"},
		{"POST /holds/8/extend\n{}", 404, "{}"},
		{"POST /holds/7/extend\n{}", 503, "{}"},
		{"DELETE /holds/7\n", 200, "{}"},
		{"DELETE /holds/8\n", 404, "{}"},
	};
	struct lease_results got = {0};

	(void)state;
	contract_run(use_leases, &got, script, COUNT_OF(script));
	assert_int_equal(got.rc[0], FL_KV_OK);
	assert_int_equal(got.grant, 7);
	assert_int_equal(got.rc[1], FL_KV_UNAVAILABLE);
	assert_int_equal(got.rc[2], FL_KV_OK);
	assert_int_equal(got.rc[3], FL_KV_NOT_FOUND);
	assert_int_equal(got.rc[4], FL_KV_UNAVAILABLE);
	assert_int_equal(got.rc[5], FL_KV_OK);
	assert_int_equal(got.rc[6], FL_KV_NOT_FOUND);
}

/* ---- between controllers ---- */

static void expect_gossip_both_ways(const char *text, const struct fl_gossip *expected)
{
	struct fl_gossip got;

	assert_int_equal(fl_gossip_decode(text, strlen(text), &got), 0);
	assert_string_equal(got.node, expected->node);
	assert_string_equal(got.leader, expected->leader);
	assert_int_equal(got.fencing_token, expected->fencing_token);
	assert_true(got.leadership_age_s == expected->leadership_age_s);
	assert_int_equal(got.is_leader, expected->is_leader);
	assert_true(got.watermark_age_s == expected->watermark_age_s);
	assert_int_equal(got.complete, expected->complete);
	assert_int_equal(got.cancelled_count, expected->cancelled_count);
	for (int i = 0; i < expected->cancelled_count; i++) {
		assert_string_equal(got.cancelled[i].ref, expected->cancelled[i].ref);
		assert_true(got.cancelled[i].age_s == expected->cancelled[i].age_s);
	}
	fl_gossip_free(&got);
	expect_text(fl_gossip_encode(expected), text);
}

static void a_gossip_message_has_leader_epoch_and_cancellations(void **state)
{
	struct fl_cancellation cancelled[] = {{"run-000412", 1.5}, {"run-000413", 20}};
	const struct fl_gossip from_the_leader = {.node = "host-1",
	                                          .leader = "host-1",
	                                          .fencing_token = 41,
	                                          .leadership_age_s = 0.25,
	                                          .is_leader = true,
	                                          .watermark_age_s = 3.5,
	                                          .cancelled = cancelled,
	                                          .cancelled_count = COUNT_OF(cancelled)};
	const struct fl_gossip from_another = {.node = "host-2",
	                                       .leader = "host-3",
	                                       .fencing_token = 42,
	                                       .leadership_age_s = 5,
	                                       .watermark_age_s = 6,
	                                       .complete = true};

	(void)state;
	expect_gossip_both_ways(
		"{\"node\":\"host-1\",\"leader\":\"host-1\",\"epoch\":41,\"proof_age_s\":0.25,"
		"\"leads\":true,\"known_age_s\":3.5,\"whole\":false,"
		"\"cancelled\":[[\"run-000412\",1.5],[\"run-000413\",20]]}",
		&from_the_leader);
	expect_gossip_both_ways(
		"{\"node\":\"host-2\",\"leader\":\"host-3\",\"epoch\":42,\"proof_age_s\":5,"
		"\"leads\":false,\"known_age_s\":6,\"whole\":true,\"cancelled\":[]}",
		&from_another);
}

static void a_relayed_call_has_the_number_of_its_kind(void **state)
{
	static const struct {
		const char *text;
		enum fl_user_request call;
		bool last_hop;
		const char *ref, *body;
	} relayed[] = {
		{"{\"call\":1,\"last_hop\":true,\"body\":\"{\\\"Ref\\\":\\\"run-000412\\\"}\"}",
	         FL_USER_REQUEST_SUBMIT, true, NULL, "{\"Ref\":\"run-000412\"}"},
		{"{\"call\":2,\"last_hop\":false,\"ref\":\"run-000413\"}", FL_USER_REQUEST_STATUS,
	         false, "run-000413", NULL},
		{"{\"call\":3,\"last_hop\":true,\"ref\":\"run-000414\"}", FL_USER_REQUEST_CANCEL,
	         true, "run-000414", NULL},
	};

	(void)state;
	for (int i = 0; i < COUNT_OF(relayed); i++) {
		struct fl_forwarded_request got;

		assert_int_equal(
			fl_forwarded_request_decode(relayed[i].text, strlen(relayed[i].text), &got),
			0);
		assert_int_equal(got.kind, relayed[i].call);
		assert_int_equal(got.last_hop, relayed[i].last_hop);
		assert_string_equal(got.ref, relayed[i].ref ? relayed[i].ref : "");
		if (relayed[i].body)
			assert_string_equal(got.body, relayed[i].body);
		else
			assert_null(got.body);
		fl_forwarded_request_free(&got);
		expect_text(fl_forwarded_request_encode(relayed[i].call, relayed[i].last_hop,
		                                        relayed[i].ref, relayed[i].body),
		            relayed[i].text);
	}
}

static void relayed_messages_have_their_paths(void **state)
{
	(void)state;
	assert_string_equal(FL_PATH_FORWARD, "/relay");
	assert_string_equal(FL_PATH_HEARTBEATS, "/reports");
	assert_string_equal(FL_PATH_STATUS, "/status");
}

static const char last_reports_text[] = "{\"last_hop\":true,\"via\":\"host-2\",\"reports\":[]}";
static const char reports_text[] =
	"{\"last_hop\":false,\"adrift\":true,\"via\":\"host-3\",\"reports\":["
	"{\"Host\":\"m-000232\",\"Endpoint\":\"10.1.0.233:9000\",\"HostKind\":\"c32\","
	"\"Site\":\"zone-b\",\"Reclaimable\":false,\"Tenure\":1,\"Serial\":88,\"Epoch\":41,"
	"\"Parts\":[]}]}";

static void relayed_heartbeats_name_the_node_they_came_to(void **state)
{
	struct fl_peer_heartbeats got;
	struct fl_heartbeat heartbeat;
	cJSON *list = fl_heartbeat_list_begin();

	(void)state;
	expect_text(fl_peer_heartbeats_encode(list, "host-2", true, false), last_reports_text);
	fl_heartbeat_list_add(list, idle_report_text);
	expect_text(fl_peer_heartbeats_encode(list, "host-3", false, true), reports_text);
	cJSON_Delete(list);
	assert_int_equal(fl_peer_heartbeats_decode(reports_text, strlen(reports_text), &got), 0);
	assert_false(got.last_hop);
	assert_true(got.disconnected);
	assert_string_equal(got.entry_node, "host-3");
	assert_int_equal(cJSON_GetArraySize(got.list), 1);
	assert_int_equal(fl_heartbeat_decode_json(cJSON_GetArrayItem(got.list, 0), &heartbeat), 0);
	expect_report(&heartbeat, &idle_report);
	fl_peer_heartbeats_free(&got);
	assert_int_equal(
		fl_peer_heartbeats_decode(last_reports_text, strlen(last_reports_text), &got), 0);
	assert_true(got.last_hop);
	assert_false(got.disconnected);
	assert_string_equal(got.entry_node, "host-2");
	assert_int_equal(cJSON_GetArraySize(got.list), 0);
	fl_peer_heartbeats_free(&got);
}

static void answers_to_relayed_heartbeats_have_status_and_body(void **state)
{
	static const char text[] =
		"[{\"status\":200,\"body\":\"{\\\"Epoch\\\":41,\\\"Orders\\\":[]}\"},"
		"{\"status\":421,\"body\":\"{\\\"Steward\\\":\\\"host-2\\\"}\"},{\"status\":503}]";
	const struct fl_heartbeat_reply expected[] = {
		{200, (char[]){"{\"Epoch\":41,\"Orders\":[]}"}},
		{421, (char[]){"{\"Steward\":\"host-2\"}"}},
		{503, NULL},
	};
	struct fl_heartbeat_reply got[COUNT_OF(expected)];

	(void)state;
	assert_int_equal(fl_heartbeat_replies_decode(text, strlen(text), got, COUNT_OF(expected)),
	                 0);
	for (int i = 0; i < COUNT_OF(expected); i++) {
		assert_int_equal(got[i].status, expected[i].status);
		if (expected[i].body)
			assert_string_equal(got[i].body, expected[i].body);
		else
			assert_null(got[i].body);
		free(got[i].body);
	}
	expect_text(fl_heartbeat_replies_encode(expected, COUNT_OF(expected)), text);
}

static void a_status_query_is_a_list_of_job_ids(void **state)
{
	static const char text[] = "{\"refs\":[\"run-000412\",\"run-000413\"]}";
	static const char refs[][FL_REF_MAX] = {"run-000412", "run-000413"};
	char got[FL_STATUS_QUERY_MAX][FL_REF_MAX];
	int count;

	(void)state;
	assert_int_equal(fl_status_query_decode(text, strlen(text), got, &count), FL_DECODE_OK);
	assert_int_equal(count, COUNT_OF(refs));
	assert_string_equal(got[0], refs[0]);
	assert_string_equal(got[1], refs[1]);
	expect_text(fl_status_query_encode(refs, COUNT_OF(refs)), text);
}

static void a_status_query_answer_has_the_number_of_each_status(void **state)
{
	static const char text[] = "{\"jobs\":[[0,1,2],[1,3,13],null,[2,16,4],[3,5,6]]}";
	static const struct fl_job_status_report expected[] = {
		{true, FL_PENDING, 1, 2}, {true, FL_RUNNING, 3, 13},  {false, FL_PENDING, 0, 0},
		{true, FL_DONE, 16, 4},   {true, FL_CANCELLED, 5, 6},
	};
	struct fl_job_status_report got[COUNT_OF(expected)];

	(void)state;
	assert_int_equal(fl_status_answer_decode(text, strlen(text), got, COUNT_OF(expected)), 0);
	for (int i = 0; i < COUNT_OF(expected); i++) {
		assert_int_equal(got[i].known, expected[i].known);
		assert_int_equal(got[i].status, expected[i].status);
		assert_int_equal(got[i].done_count, expected[i].done_count);
		assert_int_equal(got[i].running_count, expected[i].running_count);
	}
	expect_text(fl_status_answer_encode(expected, COUNT_OF(expected)), text);
}

/* ---- cached reports, which a later leader reads from the state service ---- */

static const char cached_report_text[] =
	"[\"m-000231\",3,4123456789,912345678901234,27.5,["
	"[\"run-000401\",0,1,0],[\"run-000402\",3,2,1],"
	"[\"run-000403\",99999,4294967295,2],[\"run-000404\",5,4,4],"
	"[\"run-000405\",6,5,3,0],[\"run-000406\",7,6,3,1],[\"run-000407\",8,7,3,2],"
	"[\"run-000408\",9,8,3,3],[\"run-000409\",10,9,3,4],[\"run-000410\",11,10,3,5],"
	"[\"run-000411\",12,11,3,6],[\"run-000412\",13,12,3,7],[\"run-000413\",14,13,3,8]]]";
static const char cached_idle_report_text[] = "[\"m-000232\",1,88,41,-1,[]]";

static void expect_cached(const cJSON *tree, const struct fl_heartbeat *expected)
{
	struct fl_heartbeat got;

	assert_int_equal(fl_cached_heartbeat_decode(tree, &got), 0);
	assert_string_equal(got.host, expected->host);
	assert_string_equal(got.endpoint, "");
	assert_string_equal(got.type, "");
	assert_string_equal(got.zone, "");
	assert_int_equal(got.incarnation, expected->incarnation);
	assert_int_equal(got.sequence, expected->sequence);
	assert_int_equal(got.fencing_token, expected->fencing_token);
	assert_true(got.interruption_in_s == expected->interruption_in_s);
	expect_tasks(&got, expected);
	fl_heartbeat_free(&got);
}

static void a_cached_report_has_the_numbers_of_states_and_exits(void **state)
{
	const struct fl_heartbeat busy = expected_report();
	cJSON *tree = parse(cached_report_text);

	(void)state;
	expect_cached(tree, &busy);
	cJSON_Delete(tree);
	expect_text(fl_cached_heartbeat_encode(&busy), cached_report_text);
	expect_text(fl_cached_heartbeat_encode(&idle_report), cached_idle_report_text);
}

static void a_digest_has_the_epoch_and_the_cached_reports(void **state)
{
	static const char text[] = "{\"epoch\":41,\"kept\":[[\"m-000232\",1,88,41,-1,[]],"
				   "[\"m-000232\",1,88,41,-1,[]]]}";
	cJSON *digest = fl_digest_begin(41), *tree = parse(text);
	const cJSON *list = fl_digest_heartbeats(tree);

	(void)state;
	assert_int_equal(cJSON_GetArraySize(list), 2);
	expect_cached(cJSON_GetArrayItem(list, 0), &idle_report);
	expect_cached(cJSON_GetArrayItem(list, 1), &idle_report);
	cJSON_Delete(tree);
	fl_digest_add(digest, cached_idle_report_text);
	fl_digest_add(digest, cached_idle_report_text);
	expect_text(fl_json_print_and_delete(digest), text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_job_description_has_the_agreed_fields_for_each_kind),
		cmocka_unit_test(a_job_description_with_nulls_has_no_constraints),
		cmocka_unit_test(a_missing_field_of_a_job_description_is_named),
		cmocka_unit_test(a_status_answer_has_the_word_of_each_status),
		cmocka_unit_test(an_answer_to_a_submission_or_cancellation_has_no_task_counts),
		cmocka_unit_test(each_status_has_its_word),
		cmocka_unit_test(each_path_leads_to_its_call),
		cmocka_unit_test(a_job_id_is_run_and_six_to_twelve_digits),
		cmocka_unit_test(an_error_answer_has_the_field_error),
		cmocka_unit_test(a_heartbeat_has_each_task_state_and_each_exit_word),
		cmocka_unit_test(the_fencing_token_of_a_heartbeat_is_read_exactly),
		cmocka_unit_test(a_heartbeat_without_spot_notice_and_tasks_has_neither),
		cmocka_unit_test(a_heartbeat_answer_has_the_fencing_token_and_each_verb),
		cmocka_unit_test(a_redirect_names_the_node_to_report_to),
		cmocka_unit_test(a_direct_command_is_posted_and_answered_with_a_report),
		cmocka_unit_test(machine_types_have_the_agreed_fields),
		cmocka_unit_test(machine_types_are_asked_of_the_cloud),
		cmocka_unit_test(machines_are_rented_and_deleted),
		cmocka_unit_test(rented_machines_are_listed_page_by_page),
		cmocka_unit_test(a_key_is_read_with_its_revision_and_lease),
		cmocka_unit_test(keys_are_listed_page_by_page),
		cmocka_unit_test(a_watch_brings_writes_and_deletions),
		cmocka_unit_test(a_transaction_has_conditions_writes_deletions_and_leases),
		cmocka_unit_test(a_lease_is_taken_out_renewed_and_ended),
		cmocka_unit_test(a_gossip_message_has_leader_epoch_and_cancellations),
		cmocka_unit_test(a_relayed_call_has_the_number_of_its_kind),
		cmocka_unit_test(relayed_messages_have_their_paths),
		cmocka_unit_test(relayed_heartbeats_name_the_node_they_came_to),
		cmocka_unit_test(answers_to_relayed_heartbeats_have_status_and_body),
		cmocka_unit_test(a_status_query_is_a_list_of_job_ids),
		cmocka_unit_test(a_status_query_answer_has_the_number_of_each_status),
		cmocka_unit_test(a_cached_report_has_the_numbers_of_states_and_exits),
		cmocka_unit_test(a_digest_has_the_epoch_and_the_cached_reports),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
