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
	                 ++fixture->ref, BASE);
	fl_route_user_request(&fixture->node, FL_USER_REQUEST_SUBMIT, "", body.data, body.length,
	                      FL_HOP_FIRST, &response);
	fl_buffer_free(&body);
	free(response.body);
	if (retry_after)
		*retry_after = response.retry_after_s;
	return response.status;
}

static void expect_status(struct frontend_fixture *fixture, const char *fields, int want,
                          const char *where)
{
	int got = submit(fixture, fields, NULL);

	if (got != want && !fixture->failed[0])
		snprintf(fixture->failed, sizeof(fixture->failed), "%d instead of %d, %s: %.200s",
		         got, want, where, fields);
}

static const struct {
	const char *fields;
	int status;
	bool unreadable; /* not even the Ref: 400 though it may be known */
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

static void check_verdicts(void *arg)
{
	struct frontend_fixture *fixture = arg;
	int retry_after;
	char *large;

	for (int i = 0; i < CASES; i++)
		expect_status(fixture, cases[i].fields, cases[i].status, "all is well");
	fixture->kv_store_refuses = true;
	for (int i = 0; i < CASES; i++)
		expect_status(fixture, cases[i].fields, cases[i].status,
		              "refused by the state service");
	/* The leader gets the decoded job: this body, escaped once more, would be too large. */
	large = malloc(50001);
	memset(large, ' ', 50000);
	for (size_t i = 0; i < 20000; i++)
		memcpy(large + 2 * i, "\n ", 2);
	memcpy(large, "\"Later\":", 8);
	memcpy(large + 49990, "[7]", 3);
	large[50000] = 0;
	expect_status(fixture, large, 201, "large");
	free(large);
	/* A repeat gets the job's state, whatever its body says. */
	fixture->job_known = true;
	for (int kv_store_refuses = 0; kv_store_refuses < 2; kv_store_refuses++) {
		fixture->kv_store_refuses = kv_store_refuses;
		for (int i = 0; i < CASES; i++)
			if (cases[i].status != 201)
				expect_status(fixture, cases[i].fields,
				              cases[i].unreadable ? 400 : 200, "known");
	}
	/* Not known by any node: neither accepted nor refused. */
	fixture->job_known = false;
	fixture->kv_store_refuses = true;
	fixture->node.peers[0].up = false;
	fixture->node.peer_count = 0;
	for (int i = 0; i < CASES; i++)
		if (!cases[i].unreadable)
			expect_status(fixture, cases[i].fields, 503, "nobody can tell");
	fixture->kv_store_refuses = fixture->node.machine_types_known = false;
	if (submit(fixture, "", &retry_after) != 503 || retry_after <= 0)
		strcpy(fixture->failed, "machine types unknown");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_submission_verdict_does_not_depend_on_what_is_reachable(void **state)
{
	struct frontend_fixture *fixture = *state;

	fl_coroutine_spawn(check_verdicts, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

/* Turned away before anything is stored, with when to come back; what is malformed is said. */
static void submit_without_memory(void *arg)
{
	struct frontend_fixture *fixture = arg;
	int retry_after = 0;

	fixture->config.ram_mb = 1;
	if (submit(fixture, "", &retry_after) != 503 || retry_after <= 0)
		strcpy(fixture->failed, "accepted without memory");
	expect_status(fixture, "\"Parts\":0", 400, "without memory");
	expect_status(fixture, "\"Site\":\"z\"", 422, "without memory");
	fixture->job_known = true;
	expect_status(fixture, "", 200, "known, without memory");
	fixture->job_known = false;
	fixture->config.ram_mb = 1024;
	expect_status(fixture, "", 201, "with memory");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_submission_is_refused_when_the_job_does_not_fit_in_memory(void **state)
{
	struct frontend_fixture *fixture = *state;

	fl_coroutine_spawn(submit_without_memory, fixture);
	fl_coroutines_run();
	if (fixture->failed[0])
		fail_msg("%s", fixture->failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(a_submission_verdict_does_not_depend_on_what_is_reachable),
		FRONTEND_TEST(a_submission_is_refused_when_the_job_does_not_fit_in_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
