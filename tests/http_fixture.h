/* An HTTP server on loopback and a coroutine that is its client, in one process. */
#ifndef FL_TESTS_HTTP_FIXTURE_H
#define FL_TESTS_HTTP_FIXTURE_H

#include "transport/http_server.h"

struct http_run {
	int max_connections;                  /* of the server */
	struct fl_http_body_limit body_limit; /* of one path; all zero: none */
	fl_http_handler handler;
	/* The client's function; `address` is the server's. */
	void (*client)(const char *address, void *context);
	void *context; /* passed to the handler and the client */
};

/* Runs server and client until the client returns, and asserts that it has returned. */
void run_http_client(const struct http_run *run);

#endif
