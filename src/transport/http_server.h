/*
 * An HTTP/1.1 server: one coroutine accepts connections, and one for each connection serves its
 * requests one after the other. This module never frees a server.
 */
#ifndef FL_TRANSPORT_HTTP_SERVER_H
#define FL_TRANSPORT_HTTP_SERVER_H

#include "transport/http_connection.h"

struct fl_http_server;

/*
 * Starts a server on the address; returns NULL with errno set if it cannot be started. The server
 * closes connections on which no request arrives for `idle_timeout_s`. Near its connection limit it
 * closes each connection after one response, so that all clients are served in turn; at the limit
 * it closes new connections at once.
 */
struct fl_http_server *fl_http_serve(const char *addr, int max_connections, double idle_timeout_s,
                                     fl_http_handler handler, void *context);
/* Sets the limit of the body of requests to one path; `path` is borrowed. */
void fl_http_server_limit_body(struct fl_http_server *server, const char *path, size_t max_bytes);
/* Returns the port that the server listens on, or a negative errno. */
int fl_http_server_port(const struct fl_http_server *server);

#endif
