/*
 * The wire contract with users, byte for byte. C identifiers may be renamed, but a change of a
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

#include "contract_text.h"
#include "protocol/users.h"

/* ---- job descriptions ---- */

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

/* Asserts that the text decodes to the expected description, which encodes to the same text. */
static void assert_job_spec_round_trip(const char *text, const struct fl_job_spec *expected)
{
	cJSON *tree = parse_json(text);
	struct fl_job_spec got;

	assert_null(fl_job_spec_decode(tree, &got));
	cJSON_Delete(tree);
	assert_job_spec_equal(&got, expected);
	assert_text_and_free(fl_json_print_and_delete(fl_job_spec_encode(expected)), text);
}

static void a_job_description_has_the_contract_fields_for_each_kind(void **state)
{
	(void)state;
	assert_job_spec_round_trip(array_job_text, &array_job);
	assert_job_spec_round_trip(service_job_text, &service_job);
	assert_job_spec_round_trip(gang_job_text, &gang_job);
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

/* Users write amounts with a decimal point, and null for each constraint that is not set. */
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
	cJSON *tree = parse_json(critical_job_text);
	struct fl_job_spec got;

	(void)state;
	assert_null(fl_job_spec_decode(tree, &got));
	cJSON_Delete(tree);
	assert_job_spec_equal(&got, &expected);
	assert_text_and_free(fl_json_print_and_delete(fl_job_spec_encode(&expected)),
	                     critical_job_encoded);
}

/* The error response to the user contains the name of the field. */
static void a_missing_or_invalid_field_of_a_job_description_is_named(void **state)
{
	static const char *const required[] = {
		"Ref",    "JobClass", "Owner",     "JobKind",        "Tier",         "Parts",
		"Bundle", "Together", "Apart",     "Reclaimable",    "Vcpus",        "Accelerators",
		"RamGb",  "ImageGb",  "ExpectedS", "SnapshotEveryS", "SnapshotCostS"};
	static const char *const optional[] = {"HostKinds", "Site", "DueS"};
	struct fl_job_spec got;

	(void)state;
	for (int i = 0; i < COUNT_OF(required); i++) {
		cJSON *tree = parse_json(array_job_text);

		cJSON_DeleteItemFromObjectCaseSensitive(tree, required[i]);
		assert_string_equal(fl_job_spec_decode(tree, &got), required[i]);
		cJSON_Delete(tree);
	}
	for (int i = 0; i < COUNT_OF(optional); i++) {
		cJSON *tree = parse_json(array_job_text);

		cJSON_ReplaceItemInObjectCaseSensitive(tree, optional[i], cJSON_CreateTrue());
		assert_string_equal(fl_job_spec_decode(tree, &got), optional[i]);
		cJSON_Delete(tree);
	}
}

/* ---- responses and paths ---- */

static void a_status_response_has_the_name_of_each_status(void **state)
{
	(void)state;
	assert_text_and_free(
		fl_job_status_encode("run-000412", FL_PENDING, 0, 0),
		"{\"Ref\":\"run-000412\",\"Status\":\"pending\",\"done\":0,\"running\":0}");
	assert_text_and_free(
		fl_job_status_encode("run-000412", FL_RUNNING, 3, 13),
		"{\"Ref\":\"run-000412\",\"Status\":\"running\",\"done\":3,\"running\":13}");
	assert_text_and_free(
		fl_job_status_encode("run-000413", FL_DONE, 16, 0),
		"{\"Ref\":\"run-000413\",\"Status\":\"done\",\"done\":16,\"running\":0}");
	assert_text_and_free(
		fl_job_status_encode("run-000414", FL_CANCELLED, 2, 1),
		"{\"Ref\":\"run-000414\",\"Status\":\"aborted\",\"done\":2,\"running\":1}");
}

static void a_submission_or_cancellation_response_has_no_task_counts(void **state)
{
	(void)state;
	assert_text_and_free(fl_job_status_encode("run-000412", FL_PENDING, -1, -1),
	                     "{\"Ref\":\"run-000412\",\"Status\":\"pending\"}");
	assert_text_and_free(fl_job_status_encode("run-000412", FL_CANCELLED, -1, -1),
	                     "{\"Ref\":\"run-000412\",\"Status\":\"aborted\"}");
	assert_text_and_free(fl_job_status_encode("run-000412", FL_DONE, -1, -1),
	                     "{\"Ref\":\"run-000412\",\"Status\":\"done\"}");
}

static void each_job_status_has_its_name(void **state)
{
	(void)state;
	assert_string_equal(fl_job_status_name(FL_PENDING), "pending");
	assert_string_equal(fl_job_status_name(FL_RUNNING), "running");
	assert_string_equal(fl_job_status_name(FL_DONE), "done");
	assert_string_equal(fl_job_status_name(FL_CANCELLED), "aborted");
}

static void each_path_maps_to_its_request_kind(void **state)
{
	static const struct {
		const char *path;
		enum fl_request_kind request_kind;
		const char *ref;
	} paths[] = {
		{"/v2/runs", FL_REQUEST_SUBMIT, ""},
		{"/v2/runs/run-000412", FL_REQUEST_STATUS, "run-000412"},
		{"/v2/runs/run-000412/cancel", FL_REQUEST_CANCEL, "run-000412"},
		{"/ready", FL_REQUEST_READY, ""},
		{"/hello", FL_REQUEST_HEARTBEAT, ""},
		{"/v2/runs/task-000412", FL_REQUEST_STATUS, ""},
		{"/v2/runs/task-000412/cancel", FL_REQUEST_CANCEL, ""},
		{"/v2/runs/run-000412/abort", FL_REQUEST_UNKNOWN, ""},
		{"/v2/runsrun-000412", FL_REQUEST_UNKNOWN, ""},
		{"/v1/runs", FL_REQUEST_UNKNOWN, ""},
		{"/v2/jobs", FL_REQUEST_UNKNOWN, ""},
		{"/", FL_REQUEST_UNKNOWN, ""},
	};
	char ref[FL_REF_MAX];

	(void)state;
	for (int i = 0; i < COUNT_OF(paths); i++) {
		assert_int_equal(fl_request_parse_path(paths[i].path, ref), paths[i].request_kind);
		assert_string_equal(ref, paths[i].ref);
	}
}

static void a_valid_job_id_is_run_and_six_to_twelve_digits(void **state)
{
	(void)state;
	assert_string_equal(FL_JOB_REF_PREFIX, "run-");
	assert_true(fl_job_ref_is_valid("run-000412"));
	assert_true(fl_job_ref_is_valid("run-000000000412"));
	assert_false(fl_job_ref_is_valid("run-00412"));
	assert_false(fl_job_ref_is_valid("run-0000000000412"));
	assert_false(fl_job_ref_is_valid("job-000412"));
	assert_false(fl_job_ref_is_valid("run-00041x"));
	assert_false(fl_job_ref_is_valid("RUN-000412"));
}

static void an_error_response_has_the_field_error(void **state)
{
	(void)state;
	assert_text_and_free(fl_json_error("bad field: %s", "Tier"),
	                     "{\"error\":\"bad field: Tier\"}");
	assert_text_and_free(fl_json_error("the \"owner\""), "{\"error\":\"the \\\"owner\\\"\"}");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_job_description_has_the_contract_fields_for_each_kind),
		cmocka_unit_test(a_job_description_with_nulls_has_no_constraints),
		cmocka_unit_test(a_missing_or_invalid_field_of_a_job_description_is_named),
		cmocka_unit_test(a_status_response_has_the_name_of_each_status),
		cmocka_unit_test(a_submission_or_cancellation_response_has_no_task_counts),
		cmocka_unit_test(each_job_status_has_its_name),
		cmocka_unit_test(each_path_maps_to_its_request_kind),
		cmocka_unit_test(a_valid_job_id_is_run_and_six_to_twelve_digits),
		cmocka_unit_test(an_error_response_has_the_field_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
