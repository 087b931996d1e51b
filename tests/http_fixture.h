/* An HTTP server on loopback and a coroutine that is its client, in one program. */
#ifndef FL_TESTS_HTTP_FIXTURE_H
#define FL_TESTS_HTTP_FIXTURE_H

#include "transport/http_server.h"

struct http_run {
	int max_connections;
	fl_http_handler handler;
	/* The client; `address` is the server's. Both get the context. */
	void (*client)(const char *address, void *context);
	void *context;
};

/* Serves until the client returns; asserts that it did. */
void run_http_client(const struct http_run *run);

#endif
