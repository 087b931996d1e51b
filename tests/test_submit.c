/*
 * Submissions that are accepted and refused: the verdict must not depend on what the node can
 * reach.
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
	fl_route_user_request(&fixture->node,
	                      &(struct fl_client_request){.kind = FL_USER_REQUEST_SUBMIT,
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
		note_failure(fixture, "%d instead of %d, %s: %.200s", status, expected, condition,
		             fields);
}

static const struct {
	const char *fields;
	int status;
	bool ref_unreadable; /* not even the Ref: 400 though it may be known */
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
	/* Offered in zone a only, and in no zone that is known. */
	{"\"Vcpus\":50", 201, false},
	{"\"Vcpus\":50,\"Site\":\"b\"", 422, false},
	{"\"Vcpus\":50,\"HostKinds\":[\"both\"]", 422, false},
	{"\"Vcpus\":99", 422, false},
	/* The limit: one task of an array, all of the others. */
	{"\"Parts\":101", 201, false},
	{"\"Parts\":101,\"JobKind\":\"standing\"", 422, false},
	{"\"Parts\":101,\"JobKind\":\"ensemble\"", 422, false},
	/* Zones that half of a service or a gang can never get. */
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

	submit_all_cases(fixture, "all is well");
	fixture->kv_store_returns_503 = true;
	submit_all_cases(fixture, "refused by the key-value store");
}

static void a_submission_status_does_not_depend_on_the_key_value_store(void **state)
{
	run_in_coroutine(*state, submit_with_and_without_kv_store);
}

/* Field, and as much white space as escapes of two characters, within the limit of a body. */
static void submit_large_body(void *argument)
{
	enum { LARGE = 50000, ESCAPED = 20000 };
	struct frontend_fixture *fixture = argument;
	char *large = malloc(LARGE + 1);

	fixture->kv_store_returns_503 = true;
	memset(large, ' ', LARGE);
	for (size_t i = 0; i < ESCAPED; i++)
		memcpy(large + 2 * i, "\n ", 2);
	memcpy(large, "\"Later\":", 8);
	memcpy(large + LARGE - 10, "[7]", 3);
	large[LARGE] = 0;
	expect_status(fixture, large, 201, "large");
	free(large);
}

/* The leader gets the decoded job: this body, escaped once more, would be too large. */
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
				              cases[i].ref_unreadable ? 400 : 200, "known");
	}
}

static void a_duplicate_submission_returns_the_job_status_even_if_its_body_is_invalid(void **state)
{
	run_in_coroutine(*state, submit_known_job);
}

/* Not known by any node: neither accepted nor refused. */
static void submit_without_peers(void *argument)
{
	struct frontend_fixture *fixture = argument;
	int retry_after;

	fixture->kv_store_returns_503 = true;
	fixture->node.peers[0].up = false;
	fixture->node.peer_count = 0;
	for (int i = 0; i < CASES; i++)
		if (!cases[i].ref_unreadable)
			expect_status(fixture, cases[i].fields, 503, "nobody can tell");
	fixture->kv_store_returns_503 = fixture->node.machine_types_loaded = false;
	if (submit(fixture, "", &retry_after) != 503 || retry_after <= 0)
		note_failure(fixture, "machine types unknown");
}

static void a_submission_is_unavailable_when_no_record_can_be_read(void **state)
{
	run_in_coroutine(*state, submit_without_peers);
}

/* Turned away before anything is stored, with when to come back; what is malformed is said. */
static void submit_without_memory(void *argument)
{
	struct frontend_fixture *fixture = argument;
	int retry_after = 0;

	fixture->config.ram_mb = 1;
	if (submit(fixture, "", &retry_after) != 503 || retry_after <= 0)
		note_failure(fixture, "accepted without memory");
	expect_status(fixture, "\"Parts\":0", 400, "without memory");
	expect_status(fixture, "\"Site\":\"z\"", 422, "without memory");
	fixture->job_known = true;
	expect_status(fixture, "", 200, "known, without memory");
	fixture->job_known = false;
	fixture->config.ram_mb = 1024;
	expect_status(fixture, "", 201, "with memory");
}

static void a_submission_is_unavailable_when_the_job_does_not_fit_in_memory(void **state)
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
		FRONTEND_TEST(a_submission_is_unavailable_when_no_record_can_be_read),
		FRONTEND_TEST(a_submission_is_unavailable_when_the_job_does_not_fit_in_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
