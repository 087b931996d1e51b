/*
 * An HTTP/1.1 server: one coroutine accepts, and one serves each connection, request by request. A
 * server is never freed by this module.
 */
#ifndef FL_TRANSPORT_HTTP_SERVER_H
#define FL_TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>

#include "transport/http.h"

/* A request, valid while its handler runs. */
struct fl_http_request {
	enum http_method method;
	const char *path;  /* without the query */
	const char *query; /* what follows the question mark, or an empty string */
	const char *body;  /* NUL-terminated */
	size_t body_len;
};

/* A response, which a handler fills. */
struct fl_http_response {
	int status;            /* 500, unless the handler sets it */
	char *body;            /* JSON, malloc'd and owned by the response; NULL: an empty object */
	int retry_after_s;     /* 0: no such header */
	bool close_connection; /* the connection, after this response */
};

/* Handles one request, in the coroutine of its connection; it may wait. */
typedef void (*fl_http_handler)(void *context, const struct fl_http_request *request,
                                struct fl_http_response *response);

struct fl_http_server;

/*
 * Listens and serves; NULL with errno set when it cannot. Connections that are silent for
 * `idle_timeout_s` are closed. Nearly full, it sends each connection one response and closes it, so
 * that every client gets a turn; full, it closes new connections at once.
 */
struct fl_http_server *fl_http_serve(const char *addr, int max_connections, double idle_timeout_s,
                                     fl_http_handler handler, void *context);
/* The port it listens on, or a negative errno. */
int fl_http_server_port(const struct fl_http_server *server);

#endif
