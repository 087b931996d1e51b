#include "contract_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_fixture.h"

enum { EXCHANGES_MAX = 16, REQUEST_MAX = 2048 };

struct contract_run {
	const struct contract_exchange *script;
	int count, served;
	char requests[EXCHANGES_MAX][REQUEST_MAX];
	void (*calls)(const char *address, void *results);
	void *results;
};

static void answer_by_script(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response)
{
	struct contract_run *run = context;
	int index = run->served++;

	response->status = 500;
	if (index >= run->count)
		return;
	snprintf(run->requests[index], REQUEST_MAX, "%s %s%s%s\n%.*s",
	         http_method_str(request->method), request->path, request->query[0] ? "?" : "",
	         request->query, (int)request->body_len, request->body);
	response->status = run->script[index].status;
	response->body = strdup(run->script[index].answer);
}

static void make_calls(const char *address, void *context)
{
	const struct contract_run *run = context;

	run->calls(address, run->results);
}

void contract_run(void (*calls)(const char *address, void *results), void *results,
                  const struct contract_exchange *script, int count)
{
	struct contract_run run = {
		.script = script, .count = count, .calls = calls, .results = results};

	assert_in_range(count, 1, EXCHANGES_MAX);
	run_http_client(&(struct http_run){.max_connections = 16,
	                                   .handler = answer_by_script,
	                                   .client = make_calls,
	                                   .context = &run});
	for (int i = 0; i < count; i++)
		assert_string_equal(run.requests[i], script[i].request);
	assert_int_equal(run.served, count);
}
