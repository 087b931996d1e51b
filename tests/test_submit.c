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

#include "frontend_fixture.h"

static int submit(struct fixture *f, const char *fields, int *retry_after)
{
	struct fl_response resp = {.status = 500};
	struct fl_buf b = {0};

	fl_buf_printf(&b, "{%s%s\"Ref\":\"run-%06d\",%s}", fields, *fields ? "," : "", ++f->ref,
	              BASE);
	fl_node_user_call(&f->node, FL_CALL_SUBMIT, "", b.data, b.len, FL_FIRST_HOP, &resp);
	fl_buf_free(&b);
	free(resp.body);
	if (retry_after)
		*retry_after = resp.retry_after_s;
	return resp.status;
}

static void expect(struct fixture *f, const char *fields, int want, const char *where)
{
	int got = submit(f, fields, NULL);

	if (got != want && !f->failed[0])
		snprintf(f->failed, sizeof(f->failed), "%d instead of %d, %s: %.200s", got, want,
		         where, fields);
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

static void judge(void *arg)
{
	struct fixture *f = arg;
	int retry_after;
	char *large;

	for (int i = 0; i < CASES; i++)
		expect(f, cases[i].fields, cases[i].status, "all is well");
	f->refused = true;
	for (int i = 0; i < CASES; i++)
		expect(f, cases[i].fields, cases[i].status, "refused by the state service");
	/* What the leader gets is what was read: this, escaped once more, would be too large. */
	large = malloc(50001);
	memset(large, ' ', 50000);
	for (size_t i = 0; i < 20000; i++)
		memcpy(large + 2 * i, "\n ", 2);
	memcpy(large, "\"Later\":", 8);
	memcpy(large + 49990, "[7]", 3);
	large[50000] = 0;
	expect(f, large, 201, "large");
	free(large);
	/* A repeat gets the job's state, whatever its body says. */
	f->known = true;
	for (int refused = 0; refused < 2; refused++) {
		f->refused = refused;
		for (int i = 0; i < CASES; i++)
			if (cases[i].status != 201)
				expect(f, cases[i].fields, cases[i].unreadable ? 400 : 200,
				       "known");
	}
	/* Nobody can tell: neither accepted nor refused. */
	f->known = false;
	f->refused = true;
	f->node.peers[0].up = false;
	f->node.n_peers = 0;
	for (int i = 0; i < CASES; i++)
		if (!cases[i].unreadable)
			expect(f, cases[i].fields, 503, "nobody can tell");
	f->refused = f->node.types_known = false;
	if (submit(f, "", &retry_after) != 503 || retry_after <= 0)
		strcpy(f->failed, "machine types unknown");
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_verdict_is_the_same_wherever_it_is_asked(void **state)
{
	struct fixture *f = *state;

	fl_spawn(judge, f);
	fl_routines_run();
	if (f->failed[0])
		fail_msg("%s", f->failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRONTEND_TEST(a_verdict_is_the_same_wherever_it_is_asked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
