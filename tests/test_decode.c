/* Decoders of the protocols with valid and malformed input, and round trips with the encoders. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/cloud.h"
#include "protocol/peers.h"
#include "protocol/users.h"
#include "protocol/workers.h"

static const char good_job_text[] =
	"{\"Ref\":\"run-000412\",\"JobClass\":\"train\",\"Owner\":\"vision\",\"JobKind\":\"sweep\","
	"\"Tier\":\"urgent\",\"Parts\":16,\"Vcpus\":8.0,\"Accelerators\":1.0,\"RamGb\":64.0,"
	"\"Bundle\":\"img-07\",\"ImageGb\":6.2,\"HostKinds\":[\"g8\"],\"Site\":null,"
	"\"Together\":true,\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":240.0,"
	"\"SnapshotEveryS\":30.0,\"SnapshotCostS\":4.0,\"DueS\":900.0,\"Later\":[1]}";

static const char *decode_job_text(const char *text, struct fl_job_spec *spec)
{
	cJSON *object = fl_json_parse(text, strlen(text));
	const char *bad_field;

	assert_non_null(object);
	bad_field = fl_job_spec_decode(object, spec);
	cJSON_Delete(object);
	return bad_field;
}

/*
 * Decodes good_job_text with this field set to `value`, or without the field if `value` is not
 * JSON; returns the name of the bad field, or NULL.
 */
static const char *decode_job_with_field(const char *field, const char *value)
{
	static struct fl_job_spec spec;
	cJSON *object = fl_json_parse(good_job_text, strlen(good_job_text)),
	      *replacement = fl_json_parse(value, strlen(value));
	const char *bad_field;
	char *text;

	if (replacement)
		cJSON_ReplaceItemInObjectCaseSensitive(object, field, replacement);
	else
		cJSON_DeleteItemFromObjectCaseSensitive(object, field);
	text = fl_json_print_and_delete(object);
	bad_field = decode_job_text(text, &spec);
	free(text);
	return bad_field;
}

static void a_job_description_is_encoded_as_it_was_decoded(void **state)
{
	struct fl_job_spec spec, decoded_again;
	char *text;

	(void)state;
	assert_null(decode_job_text(good_job_text, &spec));
	assert_string_equal(spec.ref, "run-000412");
	assert_int_equal(spec.task_count, 16);
	assert_int_equal(spec.priority, FL_URGENT);
	assert_false(spec.has_zone);

	text = fl_json_print_and_delete(fl_job_spec_encode(&spec));
	assert_null(decode_job_text(text, &decoded_again));
	assert_memory_equal(&spec, &decoded_again, sizeof(spec));
	free(text);
}

static void a_malformed_field_of_a_job_description_is_named(void **state)
{
	static const struct {
		const char *field, *value;
	} malformed[] = {
		{"Ref", "\"run-12\""},
		{"Ref", "\"job-000412\""},
		{"Ref", "7"},
		{"Ref", "\"run-00041x\""},
		{"JobKind", "\"daemon\""},
		{"Tier", "\"high\""},
		{"Parts", "0"},
		{"Parts", "100001"},
		{"Parts", "1.5"},
		{"Parts", "\"3\""},
		{"Vcpus", "-1"},
		{"RamGb", "1e999"},
		{"ExpectedS", "true"},
		{"Bundle", "\"\""},
		{"Together", "1"},
		{"HostKinds", "\"g8\""},
		{"HostKinds", "[7]"},
		{"DueS", "-3"},
		{"Owner", ""},
		{"Vcpus", "null"},
		{"Site", "3"},
		{"Site", "\"\""},
		{"HostKinds", "[\"g8\",\"\"]"},
		{"HostKinds", "[\"g8\",\"a\\u0001\"]"},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		const char *reported_field =
			decode_job_with_field(malformed[i].field, malformed[i].value);

		assert_non_null(reported_field);
		assert_string_equal(reported_field, malformed[i].field);
	}
}

static void a_null_optional_field_is_decoded_as_a_missing_one(void **state)
{
	(void)state;
	assert_null(decode_job_with_field("DueS", "null"));
	assert_null(decode_job_with_field("DueS", ""));
	assert_null(decode_job_with_field("HostKinds", "null"));
	assert_null(decode_job_with_field("Site", ""));
}

/* Guards against stack overflow: cJSON recurses once per level; coroutine stacks are small. */
static void malformed_or_deeply_nested_json_is_rejected(void **state)
{
	char text[4001];
	cJSON *object;

	(void)state;
	memset(text, '[', 2000);
	memset(text + 2000, ']', 2000);
	text[4000] = 0;
	assert_null(fl_json_parse(text, 4000));
	assert_null(fl_json_parse("{}\0{}", 5));
	assert_null(fl_json_parse("{} x", 4));
	assert_null(fl_json_parse("", 0));
	assert_null(fl_json_parse(NULL, 0));

	/* An escaped NUL would end a string early; bytes that are not UTF-8 are not JSON. */
	assert_null(fl_json_parse("[\"\\u0000\"]", 10));
	assert_null(fl_json_parse("[\"\xff\"]", 5));
	assert_null(fl_json_parse("[\"\xc0\xaf\"]", 6));
	assert_null(fl_json_parse("[\"\xe2\x82\"]", 6));

	object = fl_json_parse("[\"\xe2\x82\xac\\\\u0000\"]", 14);
	assert_non_null(object);
	cJSON_Delete(object);
}

static void a_malformed_heartbeat_is_rejected(void **state)
{
	static const char heartbeat[] =
		"{\"Host\":\"m-000231\",\"Endpoint\":\"10.1.0.232:9000\",\"HostKind\":\"g8\","
		"\"Site\":\"a\",\"Reclaimable\":true,\"Tenure\":1,\"Serial\":88,\"Epoch\":41,"
		"\"ReclaimInS\":null,\"Parts\":[{\"Part\":\"run-000412/3\",\"Try\":2,"
		"\"Status\":\"running\"},{\"Part\":\"run-000398/0\",\"Try\":1,"
		"\"Status\":\"ended\",\"ExitReason\":\"done\"}]}";
	static const char *const malformed[] = {
		"{}",
		"[]",
		"{\"Host\":\"m-1\",\"Endpoint\":\"\",\"HostKind\":\"g\",\"Site\":\"a\","
		"\"Reclaimable\":false,\"Tenure\":-1,\"Serial\":1,\"Epoch\":1}",
		"{\"Host\":\"m-1\",\"Endpoint\":\"\",\"HostKind\":\"g\",\"Site\":\"a\","
		"\"Reclaimable\":false,\"Tenure\":1,\"Serial\":1,\"Epoch\":1,\"Parts\":[{}]}",
		"{\"Host\":\"m-1\",\"Endpoint\":\"\",\"HostKind\":\"g\",\"Site\":\"a\","
		"\"Reclaimable\":false,\"Tenure\":1,\"Serial\":1,\"Epoch\":1,"
		"\"Parts\":[{\"Part\":\"run-000001/100000\",\"Try\":1,\"Status\":\"running\"}]}",
		/* A heartbeat without Parts would mean that no task is on the machine. */
		"{\"Host\":\"m-1\",\"Endpoint\":\"\",\"HostKind\":\"g\",\"Site\":\"a\","
		"\"Reclaimable\":false,\"Tenure\":1,\"Serial\":1,\"Epoch\":1}",
	};
	struct fl_heartbeat decoded;

	(void)state;
	assert_int_equal(fl_heartbeat_decode(heartbeat, strlen(heartbeat), &decoded), 0);
	assert_int_equal(decoded.task_count, 2);
	assert_int_equal(decoded.tasks[0].index, 3);
	assert_int_equal(decoded.tasks[1].exit_reason, FL_EXIT_DONE);
	assert_true(decoded.interruption_in_s < 0);
	fl_heartbeat_free(&decoded);
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		assert_int_not_equal(
			fl_heartbeat_decode(malformed[i], strlen(malformed[i]), &decoded), 0);
}

static void machine_types_are_decoded_as_they_were_encoded(void **state)
{
	struct fl_cloud_machine_type type = {.name = "g8",
	                                     .cpus = 96,
	                                     .gpus = 8,
	                                     .ram_gb = 768,
	                                     .cache_gb = 200,
	                                     .pull_gb_per_s = 0.5,
	                                     .price = 12,
	                                     .spot_price = 4.5,
	                                     .boot_time_s = 45,
	                                     .zones = {"a", "b"},
	                                     .zone_count = 2},
				     *decoded_types;
	cJSON *object = fl_machine_types_encode(&type, 1),
	      *empty_list = fl_machine_types_encode(&type, 0);
	int count;

	(void)state;
	assert_int_equal(fl_machine_types_decode(object, &decoded_types, &count), 0);
	assert_int_equal(count, 1);
	assert_memory_equal(decoded_types, &type, sizeof(type));
	free(decoded_types);

	/* A record without machine types is rejected: no job could be placed with it. */
	assert_int_not_equal(fl_machine_types_decode(empty_list, &decoded_types, &count), 0);
	assert_null(decoded_types);
	cJSON_Delete(object);
	cJSON_Delete(empty_list);
}

static void an_incomplete_or_unknown_forwarded_request_is_rejected(void **state)
{
	static const char *const malformed[] = {
		/* Call 5 is a heartbeat, which is not forwarded in this message. */
		"{\"call\":5,\"last_hop\":true,\"body\":\"{}\"}",
		"{\"call\":1,\"last_hop\":7,\"body\":\"{}\"}",
		"{\"call\":5,\"last_hop\":true}",
		"{\"call\":1,\"last_hop\":true}",
		"{\"call\":2,\"last_hop\":true,\"ref\":\"run-000001 x\"}",
		"{\"call\":3,\"last_hop\":true}",
		"{\"call\":4,\"last_hop\":true}",
	};
	char *text = fl_forwarded_request_encode(FL_REQUEST_SUBMIT, true, NULL, "{}");
	struct fl_forwarded_request forwarded;

	(void)state;
	assert_int_equal(fl_forwarded_request_decode(text, strlen(text), &forwarded), 0);
	assert_int_equal(forwarded.kind, FL_REQUEST_SUBMIT);
	assert_true(forwarded.last_hop && !forwarded.ref[0]);
	assert_string_equal(forwarded.body, "{}");
	fl_forwarded_request_free(&forwarded);
	free(text);
	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		assert_int_not_equal(
			fl_forwarded_request_decode(malformed[i], strlen(malformed[i]), &forwarded),
			0);
}

static void a_user_path_is_parsed_into_request_kind_and_job(void **state)
{
	char ref[FL_REF_MAX];

	(void)state;
	assert_int_equal(fl_request_parse_path("/v2/runs", ref), FL_REQUEST_SUBMIT);
	assert_int_equal(fl_request_parse_path("/v2/runs/run-000001", ref), FL_REQUEST_STATUS);
	assert_string_equal(ref, "run-000001");
	assert_int_equal(fl_request_parse_path("/v2/runs/run-000001/cancel", ref),
	                 FL_REQUEST_CANCEL);
	assert_string_equal(ref, "run-000001");
	assert_int_equal(fl_request_parse_path("/v2/runs/run-000001/stop", ref),
	                 FL_REQUEST_UNKNOWN);
	assert_int_equal(fl_request_parse_path("/v2/runs/whatever", ref), FL_REQUEST_STATUS);
	assert_string_equal(ref, "");
	assert_int_equal(fl_request_parse_path("/v2/run", ref), FL_REQUEST_UNKNOWN);
	assert_int_equal(fl_request_parse_path("/ready", ref), FL_REQUEST_READY);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_job_description_is_encoded_as_it_was_decoded),
		cmocka_unit_test(a_malformed_field_of_a_job_description_is_named),
		cmocka_unit_test(a_null_optional_field_is_decoded_as_a_missing_one),
		cmocka_unit_test(malformed_or_deeply_nested_json_is_rejected),
		cmocka_unit_test(a_malformed_heartbeat_is_rejected),
		cmocka_unit_test(machine_types_are_decoded_as_they_were_encoded),
		cmocka_unit_test(an_incomplete_or_unknown_forwarded_request_is_rejected),
		cmocka_unit_test(a_user_path_is_parsed_into_request_kind_and_job),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
