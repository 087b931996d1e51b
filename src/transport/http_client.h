/*
 * An HTTP/1.1 client for one address, with a few kept connections. Several coroutines may use one
 * client at once, each over a connection of its own.
 */
#ifndef FL_TRANSPORT_HTTP_CLIENT_H
#define FL_TRANSPORT_HTTP_CLIENT_H

#include "transport/http.h"

/* Maximum number of kept connections. */
enum { FL_HTTP_IDLE_CONNECTIONS_MAX = 8 };

/* A client, and its connections that are kept for the next request. */
struct fl_http_client {
	struct sockaddr_in addr;
	int idle_fds[FL_HTTP_IDLE_CONNECTIONS_MAX];
	int idle_count;
	int max_idle;
};

/* A response; its body is owned by the caller and NUL-terminated. */
struct fl_http_reply {
	int status;
	struct fl_buffer body;
};

/* Keeps at most `max_idle` connections. 0, or -EINVAL for an address that cannot be parsed. */
int fl_http_client_init(struct fl_http_client *client, const char *addr, int max_idle);
/* Closes the kept connections. */
void fl_http_client_close(struct fl_http_client *client);
/*
 * Sends a request and reads its response, waiting in the current coroutine: 0 and `out` filled
 * (free out->body), or a negative errno. After any error the request may still be executed: the
 * caller must expect that.
 */
int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out);

#endif
