/* An HTTP server on a free port, and the coroutine that sends requests to it. */
#include "http_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "coroutine_fixture.h"

enum { IDLE_S = 90 };

struct client_run {
	const struct http_run *run;
	char address[32];
};

static void run_client(void *argument)
{
	struct client_run *client = argument;

	client->run->client(client->address, client->run->context);
}

void run_http_client(const struct http_run *run)
{
	struct client_run client = {.run = run};
	struct fl_http_server *server;

	fl_coroutines_init(ev_default_loop(0));
	server = fl_http_serve("127.0.0.1:0", run->max_connections, IDLE_S, run->handler,
	                       run->context);
	assert_non_null(server);
	fl_http_server_limit_body(server, run->body_limit.path, run->body_limit.max_bytes);
	snprintf(client.address, sizeof(client.address), "127.0.0.1:%d",
	         fl_http_server_port(server));
	run_coroutine(run_client, &client);
	fl_coroutines_shutdown();
	free(server);
}
