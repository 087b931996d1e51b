/* An HTTP/1.1 server: a routine accepts, a routine serves each connection. */
#ifndef FL_TRANSPORT_HTTP_SERVER_H
#define FL_TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>

#include "transport/http.h"

struct fl_http_request {
	enum http_method method;
	const char *path;  /* without the query */
	const char *query; /* what follows the question mark, or an empty string */
	const char *body;  /* NUL-terminated */
	size_t body_len;
};

struct fl_http_response {
	int status;
	char *body;        /* owned by the response, malloc'd */
	int retry_after_s; /* 0: no such header */
	bool close;
};

typedef void (*fl_http_handler)(void *context, const struct fl_http_request *request,
                                struct fl_http_response *response);

struct fl_http_server;

/*
 * Binds and serves; NULL with errno set when it cannot. Nearly full, it answers each connection
 * once and closes it, so that everybody gets a turn; full, it closes new ones at once.
 */
struct fl_http_server *fl_http_serve(const char *addr, int max_conns, double idle_s,
                                     fl_http_handler handler, void *context);
int fl_http_server_port(const struct fl_http_server *server);

#endif
