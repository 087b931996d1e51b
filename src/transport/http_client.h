/*
 * An HTTP/1.1 client for one address, which keeps a few idle connections for reuse. Several
 * coroutines may use one client at once, each over its own connection.
 */
#ifndef FL_TRANSPORT_HTTP_CLIENT_H
#define FL_TRANSPORT_HTTP_CLIENT_H

#include <stdbool.h>

#include "transport/http.h"

/* Maximum number of idle connections that a client keeps. */
enum { FL_HTTP_IDLE_CONNECTIONS_MAX = 8 };

/* A client and its idle connections, which are kept for later requests. */
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
	/*
	 * The request was sent more than once, since an idle connection was reset without a
	 * response. The server may have executed an earlier copy, or may still do so.
	 */
	bool sent_repeatedly;
};

/*
 * Initialises a client that keeps at most `max_idle` idle connections. Returns 0, or -EINVAL if the
 * address cannot be parsed.
 */
int fl_http_client_init(struct fl_http_client *client, const char *addr, int max_idle);
/* Closes the idle connections. */
void fl_http_client_close(struct fl_http_client *client);
/*
 * Sends a request and reads its response, waiting in the current coroutine. Returns 0 with `out`
 * set (the caller frees out->body), or a negative errno. After an error the server may still
 * execute the request, or may have executed it already.
 */
int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out);

#endif
