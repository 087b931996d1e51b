/*
 * The server's side of one HTTP/1.1 connection: requests are read, handled and answered one after
 * the other.
 */
#ifndef FL_TRANSPORT_HTTP_CONNECTION_H
#define FL_TRANSPORT_HTTP_CONNECTION_H

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

/* What the connections to one address of a server share. */
struct fl_http_endpoint {
	int connection_count, connection_limit;
	/* Without this timeout, a partitioned peer held a socket indefinitely. */
	double idle_timeout_s;
	struct fl_http_body_limit body_limit; /* of one path; the others have the protocol's */
	fl_http_handler handler;
	void *context;
};

/* Serves the requests on a connected socket, in the current coroutine, and closes the socket. */
void fl_http_connection_serve(const struct fl_http_endpoint *endpoint, int fd);

#endif
