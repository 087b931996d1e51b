/*
 * Sound submissions in unusual spellings: unknown fields, other orders, escapes, forms of numbers,
 * and null for fields that may be missing. Each is accepted as the job that it describes, and its
 * repetition in the usual spelling is the same job.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/request_router.h"
#include "frontend_fixture.h"
#include "storage/jobs.h"

enum { NESTING_DEPTH = 200, LONG_NUMBER_DIGITS = 90 };

static const char usual_spelling[] =
	"{\"Ref\":\"run-000412\",\"JobClass\":\"c\",\"Owner\":\"t\",\"JobKind\":\"sweep\","
	"\"Tier\":\"standard\",\"Parts\":5,\"Vcpus\":5,\"Accelerators\":0,\"RamGb\":1.5,"
	"\"Bundle\":\"i/1\",\"ImageGb\":1,\"Together\":false,\"Apart\":false,"
	"\"Reclaimable\":true,\"ExpectedS\":20,\"SnapshotEveryS\":0,\"SnapshotCostS\":0}";

/* Each has the text on the left of the usual spelling replaced by that on the right. */
static const struct {
	const char *usual, *unusual;
} replacements[] = {
	{"\"Parts\":5,", "\"Parts\":5.0,"},
	{"\"Parts\":5,", "\"Parts\":5e0,"},
	{"\"Parts\":5,", "\"Parts\":0.5E+1,"},
	{"\"Parts\":5,", "\"Parts\":50e-1,"},
	{"\"Vcpus\":5,", "\"Vcpus\":5.000,"},
	{"\"RamGb\":1.5,", "\"RamGb\":15e-1,"},
	{"\"Accelerators\":0,", "\"Accelerators\":-0.0,"},
	{"\"Ref\":\"run-000412\"", "\"\\u0052ef\":\"run\\u002d000\\u00341\\u0032\""},
	{"\"Bundle\":\"i/1\"", "\"Bundl\\u0065\":\"i\\/1\""},
	{"{\"Ref\":\"run-000412\",", "\t{ \"DueS\" : null ,\r\n\"Ref\" :\"run-000412\" , "},
	{"\"Together\":false", "\"Together\":false,\"HostKinds\":null,\"Site\":null,\"DueS\":null"},
	{"\"SnapshotCostS\":0}", "\"SnapshotCostS\":0,\"ref\":\"run-000413\",\"\":[],\"x\":{}}"},
	{"{\"Ref\":\"run-000412\",", "{\"x\":[1,{\"Ref\":\"run-000413\"}],\"Ref\":\"run-000412\","},
	{"{\"Ref\"", "{\"note\":\"\\ud83d\\ude00 \xf0\x9f\x98\x80 \\\\u0000\",\"Ref\""},
	{"{\"Ref\"", "{\"note\":\"a\\u0000b\",\"Ref\""},
	{"{\"Ref\"", "{\"a\\u0000b\":1,\"Ref\""},
	{"{\"Ref\"", "{\"Ref\\u0000\":\"run-000413\",\"Ref\""},
	{"{\"Ref\"", "{\"n\":1e400,\"Ref\""},
	{"{\"Ref\"", "{\"n\":123456789012345678901234567890,\"Ref\""},
};

enum { REPLACEMENTS = sizeof(replacements) / sizeof(replacements[0]) };

static char *replace(const char *usual, const char *unusual)
{
	const char *position = strstr(usual_spelling, usual);
	struct fl_buffer text = {0};

	assert_non_null(position);
	fl_buffer_append(&text, usual_spelling, (size_t)(position - usual_spelling));
	fl_buffer_append(&text, unusual, strlen(unusual));
	fl_buffer_append(&text, position + strlen(usual), strlen(position + strlen(usual)));
	return text.data;
}

static int submit(struct frontend_fixture *fixture, const char *body)
{
	struct fl_http_response response = {.status = 500};

	fl_route_client_request(&fixture->node,
	                        &(struct fl_client_request){.kind = FL_REQUEST_SUBMIT,
	                                                    .ref = "",
	                                                    .body = body,
	                                                    .body_len = strlen(body)},
	                        &response);
	free(response.body);
	return response.status;
}

/* What is left out of a message must not make a malformed one valid, nor a field another one. */
static const char *const malformed[] = {
	"{\"JobClass\":\"c\\u0000d\",\"Ref\"", "{\"Ref\\u0000\":\"run-000412\",\"Raf\"",
	"{\"x\":[\"\\u0000\"},\"Ref\"",        "{\"x\":\"\\u0000\"],\"Ref\"",
	"{\"x\":\"\\u0000\",,\"Ref\"",         "{\"x\":\"\\u00\",\"Ref\"",
};

enum { MALFORMED = sizeof(malformed) / sizeof(malformed[0]) };

/* Submits the text at a node that does not know the job, and again in the usual spelling. */
static void expect_one_job(struct frontend_fixture *fixture, const char *text)
{
	struct fl_cluster *cluster = &fixture->node.cluster;
	struct fl_job *job;
	int status = submit(fixture, text);

	if (status != 201) {
		note_failure(fixture, "status %d: %.200s", status, text);
		return;
	}
	job = fl_job_find(cluster, "run-000412");
	if (!job || job->task_count != 5 || job->cpus != 5 || job->ram_gb != 1.5 || job->gpus != 0)
		note_failure(fixture, "another job: %.200s", text);
	if (fl_job_find(cluster, "run-000413"))
		note_failure(fixture, "a second job: %.200s", text);
	if (submit(fixture, usual_spelling) == 201 || submit(fixture, text) == 201)
		note_failure(fixture, "accepted again as a new job: %.200s", text);
	if (job)
		fl_job_drop(cluster, job);
}

static void submit_unusual_spellings(void *argument)
{
	for (int i = 0; i < REPLACEMENTS; i++) {
		char *text = replace(replacements[i].usual, replacements[i].unusual);

		expect_one_job(argument, text);
		free(text);
	}
}

static void a_sound_submission_is_accepted_in_any_spelling(void **state)
{
	run_in_coroutine(*state, submit_unusual_spellings);
}

static void submit_malformed_texts(void *argument)
{
	struct frontend_fixture *fixture = argument;

	for (int i = 0; i < MALFORMED; i++) {
		char *text = replace("{\"Ref\"", malformed[i]);
		int status = submit(fixture, text);

		if (status != 400)
			note_failure(fixture, "status %d: %.200s", status, text);
		free(text);
	}
}

static void a_malformed_submission_is_rejected(void **state)
{
	run_in_coroutine(*state, submit_malformed_texts);
}

static void submit_nested_field(void *argument)
{
	struct fl_buffer field = {0};
	char *text;

	fl_buffer_printf(&field, "{\"x\":");
	for (int i = 0; i < NESTING_DEPTH; i++)
		fl_buffer_printf(&field, i % 2 ? "[\"]}\\\"\"," : "{\"y\":");
	fl_buffer_printf(&field, "null");
	for (int i = NESTING_DEPTH - 1; i >= 0; i--)
		fl_buffer_printf(&field, i % 2 ? "]" : "}");
	fl_buffer_printf(&field, ",\"Ref\"");
	text = replace("{\"Ref\"", field.data);
	expect_one_job(argument, text);
	free(text);
	fl_buffer_free(&field);
}

static void a_deeply_nested_unknown_field_is_ignored(void **state)
{
	run_in_coroutine(*state, submit_nested_field);
}

static void submit_long_numbers(void *argument)
{
	char number[LONG_NUMBER_DIGITS + 32];
	char *text;

	snprintf(number, sizeof(number), "\"Parts\":5.%0*d,", LONG_NUMBER_DIGITS, 0);
	text = replace("\"Parts\":5,", number);
	expect_one_job(argument, text);
	free(text);
}

static void a_number_with_many_digits_is_read(void **state)
{
	run_in_coroutine(*state, submit_long_numbers);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(a_sound_submission_is_accepted_in_any_spelling),
		FRONTEND_TEST(a_malformed_submission_is_rejected),
		FRONTEND_TEST(a_deeply_nested_unknown_field_is_ignored),
		FRONTEND_TEST(a_number_with_many_digits_is_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
