#include "contract_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/http_server.h"
#include "transport/coroutine.h"

enum { EXCHANGES_MAX = 16, REQUEST_MAX = 2048 };

static struct {
	const struct contract_exchange *script;
	int count, served;
	char requests[EXCHANGES_MAX][REQUEST_MAX];
	char address[32];
	void (*calls)(const char *address, void *results);
	void *results;
	bool finished;
} run;

static void answer_by_script(void *context, const struct fl_http_request *request,
                             struct fl_http_response *response)
{
	int at = run.served++;

	(void)context;
	response->status = 500;
	if (at >= run.count)
		return;
	snprintf(run.requests[at], REQUEST_MAX, "%s %s%s%s\n%.*s", http_method_str(request->method),
	         request->path, request->query[0] ? "?" : "", request->query,
	         (int)request->body_len, request->body);
	response->status = run.script[at].status;
	response->body = strdup(run.script[at].answer);
}

static void make_calls(void *context)
{
	(void)context;
	run.calls(run.address, run.results);
	run.finished = true;
	ev_break(fl_loop(), EVBREAK_ALL);
}

void contract_run(void (*calls)(const char *address, void *results), void *results,
                  const struct contract_exchange *script, int count)
{
	struct fl_http_server *server;

	assert_in_range(count, 1, EXCHANGES_MAX);
	memset(&run, 0, sizeof(run));
	run.script = script;
	run.count = count;
	run.calls = calls;
	run.results = results;
	fl_coroutines_init(ev_default_loop(0));
	server = fl_http_serve("127.0.0.1:0", 16, 90, answer_by_script, NULL);
	assert_non_null(server);
	snprintf(run.address, sizeof(run.address), "127.0.0.1:%d", fl_http_server_port(server));
	assert_non_null(fl_coroutine_spawn(make_calls, NULL));
	fl_coroutines_run();
	fl_coroutines_shutdown();
	free(server);
	assert_true(run.finished);
	for (int i = 0; i < count; i++)
		assert_string_equal(run.requests[i], script[i].request);
	assert_int_equal(run.served, count);
}
