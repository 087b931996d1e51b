/*
 * An HTTP/1.1 server: one coroutine accepts connections, and one for each connection serves its
 * requests one after the other. This module never frees a server.
 */
#ifndef FL_TRANSPORT_HTTP_SERVER_H
#define FL_TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>

#include "transport/http.h"

/* A request, valid while its handler runs. */
struct fl_http_request {
	enum http_method method;
	const char *path;  /* without the query */
	const char *query; /* the text after the question mark, or an empty string */
	const char *body;  /* NUL-terminated */
	size_t body_len;
};

/* A response, which a handler sets. */
struct fl_http_response {
	int status;            /* HTTP status; 500 unless the handler sets it */
	char *body;            /* JSON, malloc'd and owned by the response; NULL: {} */
	int retry_after_s;     /* value of the Retry-After header; 0: no such header */
	bool close_connection; /* the connection is closed after this response */
};

/* Handles one request in the coroutine of its connection, where it may wait. */
typedef void (*fl_http_handler)(void *context, const struct fl_http_request *request,
                                struct fl_http_response *response);

struct fl_http_server;

/*
 * Starts a server on the address; returns NULL with errno set if it cannot be started. The server
 * closes connections on which no request arrives for `idle_timeout_s`. Near its connection limit it
 * closes each connection after one response, so that all clients are served in turn; at the limit
 * it closes new connections at once.
 */
struct fl_http_server *fl_http_serve(const char *addr, int max_connections, double idle_timeout_s,
                                     fl_http_handler handler, void *context);
/* Returns the port that the server listens on, or a negative errno. */
int fl_http_server_port(const struct fl_http_server *server);

#endif
