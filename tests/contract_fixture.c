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

struct contract_run_exchanges {
	const struct contract_exchange *script;
	int exchange_count, request_count;
	char requests[EXCHANGES_MAX][REQUEST_MAX];
	void (*client_calls)(const char *address, void *results);
	void *results;
};

static void respond_by_script(void *context, const struct fl_http_request *request,
                              struct fl_http_response *response)
{
	struct contract_run_exchanges *server = context;
	int index = server->request_count++;

	response->status = 500;
	if (index >= server->exchange_count)
		return;
	snprintf(server->requests[index], REQUEST_MAX, "%s %s%s%s\n%.*s",
	         http_method_str(request->method), request->path, request->query[0] ? "?" : "",
	         request->query, (int)request->body_len, request->body);
	response->status = server->script[index].status;
	response->body = strdup(server->script[index].response_body);
}

static void run_client_calls(const char *address, void *context)
{
	const struct contract_run_exchanges *server = context;

	server->client_calls(address, server->results);
}

void contract_run_exchanges(void (*client_calls)(const char *address, void *results), void *results,
                            const struct contract_exchange *script, int exchange_count)
{
	struct contract_run_exchanges server = {.script = script,
	                                        .exchange_count = exchange_count,
	                                        .client_calls = client_calls,
	                                        .results = results};

	assert_in_range(exchange_count, 1, EXCHANGES_MAX);
	run_http_client(&(struct http_run){.max_connections = 16,
	                                   .handler = respond_by_script,
	                                   .client = run_client_calls,
	                                   .context = &server});
	for (int i = 0; i < exchange_count; i++)
		assert_string_equal(server.requests[i], script[i].request);
	assert_int_equal(server.request_count, exchange_count);
}
