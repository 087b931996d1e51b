#include "transport/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/log.h"
#include "transport/coroutine.h"

static const struct {
	double write_s;
	size_t max_body;
	double pause_s, rest_s;
	int nearly, later_s;
} tunables = {
	.write_s = 5.0,                /* s; users wait 2 to 5 s, so a longer write helps nobody */
	.max_body = (size_t)64 * 1024, /* bytes; the protocol's limit */
	.pause_s = 0.05,               /* s; wait after a failed accept, so that it does not spin */
	.rest_s = 4.0, /* s for the rest of a request; no caller waits longer for its answer */
	.later_s = 1,  /* s; Retry-After where there is no room for a body */
	.nearly = 32,  /* part (one in so many) of the connections that is for one answer each */
};

/* Digits of an int, with its sign. */
enum { FL_INT_DIGITS = 11 };

struct fl_http_server {
	int fd;
	int connection_count, connection_limit;
	double idle_s; /* a silent peer behind a cut must not hold a socket for ever */
	fl_http_handler handler;
	void *context;
};

struct conn {
	struct fl_http_server *server;
	int fd;
};

static int send_response(int fd, const struct fl_http_response *response, bool keep)
{
	const char *body = response->body ? response->body : "{}";
	size_t body_len = strlen(body);
	struct fl_buffer output = {0};
	char retry[sizeof("Retry-After: \r\n") + FL_INT_DIGITS] = "";
	int rc;

	if (response->retry_after_s > 0)
		snprintf(retry, sizeof(retry), "Retry-After: %d\r\n", response->retry_after_s);
	rc = fl_buffer_printf(&output,
	                      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s%s"
	                      "Content-Length: %zu\r\n\r\n",
	                      response->status, http_status_str((enum http_status)response->status),
	                      retry, keep ? "" : "Connection: close\r\n", body_len);
	if (!rc)
		rc = fl_buffer_append(&output, body, body_len);
	if (!rc)
		rc = fl_write_all(fd, output.data, output.length, tunables.write_s);
	fl_buffer_free(&output);
	return rc;
}

/*
 * Kept connections of thousands of workers must not shut out the balancer's probes and the users:
 * with the last of them gone, a node that could serve would count as dead.
 */
static bool nearly_full(const struct fl_http_server *server)
{
	return server->connection_count >
	       server->connection_limit - server->connection_limit / tunables.nearly;
}

/*
 * A server that is behind must not spend its time on callers who have gone: they have asked
 * elsewhere, and each answer to nobody keeps the next caller waiting until he is gone too.
 */
static bool caller_has_gone(int fd)
{
	char c;

	return fl_coroutines_overloaded() && recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/*
 * Why a request cannot be served, or NULL. All is said with 400: users try again whatever they are
 * told otherwise, and this will not become better. A request that its length does not fit is one
 * too, when its caller has closed or sends no more; a caller that sent nothing is within its
 * guarantee nothing.
 */
static const char *malformed_request_error(const struct fl_http_message *message, int rc)
{
	switch (rc) {
	case -EMSGSIZE:
		return "{\"error\":\"body over 64 KiB\"}";
	case -EPROTO:
		return "{\"error\":\"not HTTP/1.1\"}";
	case -ECONNRESET:
	case -ETIMEDOUT:
		return message->started ? "{\"error\":\"shorter than its length\"}" : NULL;
	default:
		return NULL;
	}
}

static void respond_and_drain(int fd, int status, const char *why, bool drain)
{
	struct fl_http_response response = {.status = status,
	                                    .body = (char *)why,
	                                    .retry_after_s = status == 503 ? tunables.later_s : 0};

	send_response(fd, &response, false);
	/* Let the answer reach a peer that is still writing its body. */
	shutdown(fd, SHUT_WR);
	for (int i = 0; i < 200 && drain; i++) {
		char sink[8192];
		ssize_t n = recv(fd, sink, sizeof(sink), 0);

		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		if (n < 0 && fl_io_wait(fd, EV_READ, 1.0) != 0)
			break;
	}
}

static bool serve_one(struct conn *connection)
{
	struct fl_http_request request = {0};
	struct fl_http_response response = {.status = 500};
	struct fl_http_message message;
	const char *why;
	bool keep = false;
	char *query;
	int rc;

	fl_http_message_init(&message, HTTP_REQUEST, tunables.max_body);
	message.remainder_timeout_s = tunables.rest_s;
	rc = fl_http_message_read(&message, connection->fd, connection->server->idle_s);
	why = malformed_request_error(&message, rc);
	if (why)
		respond_and_drain(connection->fd, 400, why, rc == -EMSGSIZE);
	else if (rc == -ENOBUFS)
		respond_and_drain(connection->fd, 503,
		                  "{\"error\":\"too much is being sent at the moment\"}", true);
	if (rc || caller_has_gone(connection->fd))
		goto out;
	query = strchr(message.url.data ? message.url.data : "", '?');
	if (query)
		*query++ = 0;
	request.query = query ? query : "";
	request.method = (enum http_method)message.parser.method;
	request.path = message.url.data ? message.url.data : "";
	request.body = message.body.data ? message.body.data : "";
	request.body_len = message.body.length;
	connection->server->handler(connection->server->context, &request, &response);
	keep = message.keep_alive && !response.close && !nearly_full(connection->server);
	if (send_response(connection->fd, &response, keep) != 0)
		keep = false;
out:
	free(response.body);
	fl_http_message_free(&message);
	return keep;
}

static void serve_conn(void *arg)
{
	struct conn *connection = arg;

	while (!fl_coroutine_cancelled() && serve_one(connection))
		;
	fl_close(connection->fd);
	connection->server->connection_count--;
	free(connection);
}

static void accept_loop(void *arg)
{
	struct fl_http_server *server = arg;

	while (!fl_coroutine_cancelled()) {
		struct conn *connection;
		int one = 1;
		int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			int rc = errno == EAGAIN ? fl_io_wait(server->fd, EV_READ, -1)
			                         : fl_sleep(tunables.pause_s);
			if (rc == -ECANCELED)
				break;
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, 1 /* TCP_NODELAY */, &one, sizeof(one));
		connection = server->connection_count < server->connection_limit
		                     ? malloc(sizeof(*connection))
		                     : NULL;
		if (connection) {
			connection->server = server;
			connection->fd = fd;
			if (fl_coroutine_spawn(serve_conn, connection)) {
				server->connection_count++;
				continue;
			}
			free(connection);
		}
		fl_error("transport", "no room for a connection (%d open)",
		         server->connection_count);
		close(fd);
	}
	fl_close(server->fd);
	server->fd = -1;
}

struct fl_http_server *fl_http_serve(const char *addr, int max_conns, double idle_s,
                                     fl_http_handler handler, void *context)
{
	struct fl_http_server *server;
	struct sockaddr_in address;
	int one = 1;

	if (fl_address_parse(addr, &address) != 0) {
		errno = EINVAL;
		return NULL;
	}
	server = calloc(1, sizeof(*server));
	if (!server)
		return NULL;
	server->handler = handler;
	server->context = context;
	server->connection_limit = max_conns;
	server->idle_s = idle_s;
	server->fd = fl_socket();
	if (server->fd < 0)
		goto fail;
	setsockopt(server->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(server->fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(server->fd, 512) != 0)
		goto fail;
	if (!fl_coroutine_spawn(accept_loop, server)) {
		errno = ENOMEM;
		goto fail;
	}
	return server;
fail:
	if (server->fd >= 0)
		close(server->fd);
	free(server);
	return NULL;
}

int fl_http_server_port(const struct fl_http_server *server)
{
	struct sockaddr_in address = {0};
	socklen_t len = sizeof(address);

	if (getsockname(server->fd, (struct sockaddr *)&address, &len) != 0)
		return -1;
	return ntohs(address.sin_port);
}
