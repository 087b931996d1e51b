/*
 * Accepted and rejected submissions: as long as the node can reach the key-value store or the
 * leader, the status must not depend on which of them it reaches.
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

static int submit(struct frontend_fixture *fixture, const char *fields, int *retry_after)
{
	struct fl_http_response response = {.status = 500};
	struct fl_buffer body = {0};

	fl_buffer_printf(&body, "{%s%s\"Ref\":\"run-%06d\",%s}", fields, *fields ? "," : "",
	                 ++fixture->last_job_number, JOB_FIELDS);
	fl_route_client_request(&fixture->node,
	                        &(struct fl_client_request){.kind = FL_REQUEST_SUBMIT,
	                                                    .ref = "",
	                                                    .body = body.data,
	                                                    .body_len = body.length},
	                        &response);
	fl_buffer_free(&body);
	free(response.body);
	if (retry_after)
		*retry_after = response.retry_after_s;
	return response.status;
}

static void expect_status(struct frontend_fixture *fixture, const char *fields, int expected,
                          const char *condition)
{
	int status = submit(fixture, fields, NULL);

	if (status != expected)
		note_failure(fixture, "status %d instead of %d, %s: %.200s", status, expected,
		             condition, fields);
}

static const struct {
	const char *fields;
	int status;
	bool ref_unreadable; /* the Ref, too, cannot be decoded: 400 even if the job is known */
} cases[] = {
	{"", 201, false},
	{"\"Parts\":null", 400, false},
	{"\"Parts\":0", 400, false},
	{"\"Parts\":100001", 400, false},
	{"\"Tier\":\"high\"", 400, false},
	{"\"Owner\":\"\"", 400, false},
	{"\"Vcpus\":-1", 400, false},
	{"\"RamGb\":1e999", 400, false},
	{"\"Site\":\"\"", 400, false},
	{"\"HostKinds\":[\"both\",\"\"]", 400, false},
	{"\"JobClass\":\"c\\u0000d\"", 400, true},
	{"\"Bundle\":\"\xc3(\"", 400, true},
	{"\"Owner\":\"nobody\"", 422, false},
	{"\"Site\":\"z\"", 422, false},
	{"\"HostKinds\":[]", 422, false},
	{"\"HostKinds\":[\"none\"]", 422, false},
	{"\"HostKinds\":[\"none\",\"both\"]", 201, false},
	{"\"Vcpus\":1000", 422, false},
	{"\"Vcpus\":0,\"RamGb\":0", 422, false},
	/* 50 CPUs are offered in zone a only, 99 CPUs in no known zone. */
	{"\"Vcpus\":50", 201, false},
	{"\"Vcpus\":50,\"Site\":\"b\"", 422, false},
	{"\"Vcpus\":50,\"HostKinds\":[\"both\"]", 422, false},
	{"\"Vcpus\":99", 422, false},
	/* The team's limit counts one task of an array, but all tasks of a service or gang. */
	{"\"Parts\":101", 201, false},
	{"\"Parts\":101,\"JobKind\":\"standing\"", 422, false},
	{"\"Parts\":101,\"JobKind\":\"ensemble\"", 422, false},
	/* A spread service or gang in only one zone could never place half of its tasks. */
	{"\"Apart\":true,\"JobKind\":\"standing\"", 201, false},
	{"\"Apart\":true,\"JobKind\":\"standing\",\"Site\":\"a\"", 422, false},
	{"\"Apart\":true,\"JobKind\":\"ensemble\",\"Together\":true", 422, false},
	{"\"Apart\":true,\"JobKind\":\"standing\",\"Parts\":2,\"Vcpus\":50", 422, false},
	{"\"Apart\":true,\"JobKind\":\"standing\",\"Parts\":1,\"Vcpus\":50", 201, false},
	{"\"Apart\":true,\"Vcpus\":50,\"Together\":true", 201, false},
};

enum { CASES = sizeof(cases) / sizeof(cases[0]) };

static void submit_all_cases(struct frontend_fixture *fixture, const char *condition)
{
	for (int i = 0; i < CASES; i++)
		expect_status(fixture, cases[i].fields, cases[i].status, condition);
}

static void submit_with_and_without_kv_store(void *argument)
{
	struct frontend_fixture *fixture = argument;

	submit_all_cases(fixture, "key-value store available");
	fixture->kv_store_returns_503 = true;
	submit_all_cases(fixture, "key-value store unavailable");
}

static void a_submission_status_does_not_depend_on_the_key_value_store(void **state)
{
	run_in_coroutine(*state, submit_with_and_without_kv_store);
}

/* Submits a body within the limit of 64 KiB that exceeds it when its newlines are escaped. */
static void submit_large_body(void *argument)
{
	enum { LARGE_BODY_BYTES = 50000, NEWLINE_COUNT = 20000 };
	struct frontend_fixture *fixture = argument;
	char *large = malloc(LARGE_BODY_BYTES + 1);

	fixture->kv_store_returns_503 = true;
	memset(large, ' ', LARGE_BODY_BYTES);
	for (size_t i = 0; i < NEWLINE_COUNT; i++)
		memcpy(large + 2 * i, "\n ", 2);
	memcpy(large, "\"Later\":", 8);
	memcpy(large + LARGE_BODY_BYTES - 10, "[7]", 3);
	large[LARGE_BODY_BYTES] = 0;
	expect_status(fixture, large, 201, "large body");
	free(large);
}

/* The decoded job is forwarded to the leader: the body, escaped once more, would be too large. */
static void a_submission_is_forwarded_when_its_body_is_large(void **state)
{
	run_in_coroutine(*state, submit_large_body);
}

static void submit_known_job(void *argument)
{
	struct frontend_fixture *fixture = argument;

	fixture->job_known = true;
	for (int unavailable = 0; unavailable < 2; unavailable++) {
		fixture->kv_store_returns_503 = unavailable;
		for (int i = 0; i < CASES; i++)
			if (cases[i].status != 201)
				expect_status(fixture, cases[i].fields,
				              cases[i].ref_unreadable ? 400 : 200, "job known");
	}
}

static void a_duplicate_submission_returns_the_job_status_even_if_its_body_is_invalid(void **state)
{
	run_in_coroutine(*state, submit_known_job);
}

/* Without key-value store and leader, a submission is neither accepted nor rejected: 503. */
static void submit_without_peers(void *argument)
{
	struct frontend_fixture *fixture = argument;
	int retry_after;

	fixture->kv_store_returns_503 = true;
	fixture->node.peers[0].up = false;
	fixture->node.peer_count = 0;
	for (int i = 0; i < CASES; i++)
		if (!cases[i].ref_unreadable)
			expect_status(fixture, cases[i].fields, 503,
			              "neither key-value store nor leader reachable");
	fixture->kv_store_returns_503 = fixture->node.machine_types_loaded = false;
	if (submit(fixture, "", &retry_after) != 503 || retry_after <= 0)
		note_failure(fixture, "no 503 with Retry-After while machine types are not loaded");
}

static void a_submission_gets_503_when_no_record_can_be_read(void **state)
{
	run_in_coroutine(*state, submit_without_peers);
}

/*
 * While memory is low, a new job gets 503 with Retry-After before anything is stored; invalid
 * submissions still get 400 or 422, and duplicates the status of the job.
 */
static void submit_without_memory(void *argument)
{
	struct frontend_fixture *fixture = argument;
	int retry_after = 0;

	fixture->config.ram_mb = 1;
	if (submit(fixture, "", &retry_after) != 503 || retry_after <= 0)
		note_failure(fixture, "no 503 with Retry-After while memory is low");
	expect_status(fixture, "\"Parts\":0", 400, "memory low");
	expect_status(fixture, "\"Site\":\"z\"", 422, "memory low");
	fixture->job_known = true;
	expect_status(fixture, "", 200, "job known, memory low");
	fixture->job_known = false;
	fixture->config.ram_mb = 1024;
	expect_status(fixture, "", 201, "memory available");
}

static void a_submission_gets_503_when_the_job_does_not_fit_in_memory(void **state)
{
	run_in_coroutine(*state, submit_without_memory);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(a_submission_status_does_not_depend_on_the_key_value_store),
		FRONTEND_TEST(a_submission_is_forwarded_when_its_body_is_large),
		FRONTEND_TEST(
			a_duplicate_submission_returns_the_job_status_even_if_its_body_is_invalid),
		FRONTEND_TEST(a_submission_gets_503_when_no_record_can_be_read),
		FRONTEND_TEST(a_submission_gets_503_when_the_job_does_not_fit_in_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
