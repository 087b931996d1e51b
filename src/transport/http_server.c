#include "transport/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/coroutine.h"
#include "transport/log.h"

static const struct {
	double write_timeout_s;
	size_t max_body_bytes;
	double accept_retry_s, remainder_timeout_s, discard_read_timeout_s;
	int single_response_divisor, retry_after_s;
} tunables = {
	.write_timeout_s = 5.0,              /* users wait 2 to 5 s for a response, and no longer */
	.max_body_bytes = (size_t)64 * 1024, /* the protocol's limit */
	.accept_retry_s = 0.05,              /* without this delay, failing accepts would spin */
	.remainder_timeout_s = 4.0,          /* from first to last byte; no client waits longer */
	.discard_read_timeout_s = 1.0,       /* for each read of a body that is discarded */
	.single_response_divisor = 32, /* above 31/32 of the limit, one response per connection */
	.retry_after_s = 1,            /* sent while the request body memory limit is reached */
};

/* Maximum number of reads of a body that is discarded, and the bytes of each read. */
enum { DISCARD_READS_MAX = 200, DISCARD_READ_BYTES = 8192 };

/* Maximum number of connections that the kernel queues until they are accepted. */
enum { LISTEN_BACKLOG = 512 };

/* Characters of an int in decimal, with its sign. */
enum { INT_DIGITS = 11 };

struct fl_http_server {
	int fd;
	int connection_count, connection_limit;
	/* Without this timeout, a partitioned peer held a socket indefinitely. */
	double idle_timeout_s;
	fl_http_handler handler;
	void *context;
};

/* A connection, owned by its coroutine. */
struct connection {
	struct fl_http_server *server;
	int fd;
};

static int send_response(int fd, const struct fl_http_response *response, bool keep_alive)
{
	const char *body = response->body ? response->body : "{}";
	size_t body_length = strlen(body);
	struct fl_buffer output = {0};
	char retry_after[sizeof("Retry-After: \r\n") + INT_DIGITS] = "";
	int rc;

	if (response->retry_after_s > 0)
		snprintf(retry_after, sizeof(retry_after), "Retry-After: %d\r\n",
		         response->retry_after_s);
	rc = fl_buffer_printf(&output,
	                      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s%s"
	                      "Content-Length: %zu\r\n\r\n",
	                      response->status, http_status_str((enum http_status)response->status),
	                      retry_after, keep_alive ? "" : "Connection: close\r\n", body_length);
	if (!rc)
		rc = fl_buffer_append(&output, body, body_length);
	if (!rc)
		rc = fl_write_all(fd, output.data, output.length, tunables.write_timeout_s);
	fl_buffer_free(&output);
	return rc;
}

/*
 * Returns whether connections are to be closed after one response. Idle connections of thousands of
 * workers must not exclude the load balancer's probes and the users: a node with no connection left
 * for them would count as failed although it could serve.
 */
static bool is_nearly_full(const struct fl_http_server *server)
{
	return server->connection_count >
	       server->connection_limit -
	               server->connection_limit / tunables.single_response_divisor;
}

/*
 * Returns whether the server is overloaded and the client has closed the connection. Such a client
 * has retried elsewhere, and a response to it would delay the next client until that one, too, has
 * closed its connection.
 */
static bool is_abandoned_under_load(int fd)
{
	char byte;

	return fl_coroutines_overloaded() && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/*
 * Returns the body of the response to a malformed request; NULL for other errors. The status is
 * always 400: users retry after any other error status, and a malformed request stays malformed. A
 * body shorter than its Content-Length is malformed, too, if its client has closed the connection
 * or sends nothing more. A client that has sent nothing at all gets no response.
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
		return message->started ? "{\"error\":\"body shorter than Content-Length\"}" : NULL;
	default:
		return NULL;
	}
}

/*
 * Reads and discards the rest of a request's body, so that the response reaches a client that is
 * still sending: an early close would reset the connection. Not inlined, since the buffer would
 * then be part of the stack of every idle connection.
 */
static __attribute__((noinline)) void discard_body(int fd)
{
	for (int i = 0; i < DISCARD_READS_MAX; i++) {
		char discarded[DISCARD_READ_BYTES];
		ssize_t count = recv(fd, discarded, sizeof(discarded), 0);

		if (count == 0 || (count < 0 && errno != EAGAIN))
			break;
		if (count < 0 && fl_io_wait(fd, EV_READ, tunables.discard_read_timeout_s) != 0)
			break;
	}
}

/* Responds to a request that was not read in full; the connection cannot be used again. */
static void reject_request(int fd, int status, const char *body)
{
	struct fl_http_response response = {.status = status,
	                                    .body = (char *)body,
	                                    .retry_after_s =
	                                            status == 503 ? tunables.retry_after_s : 0};

	send_response(fd, &response, false);
	shutdown(fd, SHUT_WR);
}

/* Responds, where a response is due, to a request whose reading failed with `rc`. */
static void respond_read_error(int fd, const struct fl_http_message *message, int rc)
{
	const char *malformed = malformed_request_error(message, rc);

	if (malformed)
		reject_request(fd, 400, malformed);
	else if (rc == -ENOBUFS)
		reject_request(fd, 503, "{\"error\":\"request body memory limit reached\"}");
	if (rc == -EMSGSIZE || rc == -ENOBUFS)
		discard_body(fd);
}

/* Returns the request in a message that was read; it is valid as long as the message is. */
static struct fl_http_request request_of(struct fl_http_message *message)
{
	char *path = message->url.data;
	char *query = path ? strchr(path, '?') : NULL;

	if (query)
		*query++ = 0;
	return (struct fl_http_request){
		.method = (enum http_method)message->parser.method,
		.path = path ? path : "",
		.query = query ? query : "",
		.body = message->body.data ? message->body.data : "",
		.body_len = message->body.length,
	};
}

/* Serves one request; returns whether the connection can be used for another request. */
static bool serve_request(struct connection *connection)
{
	struct fl_http_server *server = connection->server;
	struct fl_http_response response = {.status = 500};
	struct fl_http_request request;
	struct fl_http_message message;
	bool keep_alive = false;
	int rc;

	fl_http_message_init(&message, HTTP_REQUEST, tunables.max_body_bytes);
	message.remainder_timeout_s = tunables.remainder_timeout_s;
	rc = fl_http_message_read(&message, connection->fd, server->idle_timeout_s);
	if (rc)
		respond_read_error(connection->fd, &message, rc);
	if (rc || is_abandoned_under_load(connection->fd))
		goto out;
	request = request_of(&message);
	server->handler(server->context, &request, &response);
	keep_alive = message.keep_alive && !response.close_connection && !is_nearly_full(server);
	if (send_response(connection->fd, &response, keep_alive) != 0)
		keep_alive = false;
out:
	free(response.body);
	fl_http_message_free(&message);
	return keep_alive;
}

static void serve_connection(void *arg)
{
	struct connection *connection = arg;

	while (!fl_coroutine_cancelled() && serve_request(connection))
		;
	fl_socket_close(connection->fd);
	connection->server->connection_count--;
	free(connection);
}

/* Starts the coroutine of an accepted connection; false at the limit or when out of memory. */
static bool start_connection(struct fl_http_server *server, int fd)
{
	struct connection *connection;

	if (server->connection_count >= server->connection_limit)
		return false;
	connection = malloc(sizeof(*connection));
	if (!connection)
		return false;
	connection->server = server;
	connection->fd = fd;
	if (!fl_coroutine_spawn(serve_connection, connection)) {
		free(connection);
		return false;
	}
	server->connection_count++;
	return true;
}

static void accept_connections(void *arg)
{
	struct fl_http_server *server = arg;

	while (!fl_coroutine_cancelled()) {
		int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			int rc = errno == EAGAIN ? fl_io_wait(server->fd, EV_READ, -1)
			                         : fl_sleep(tunables.accept_retry_s);
			if (rc == -ECANCELED)
				break;
			continue;
		}
		fl_socket_set_no_delay(fd);
		if (start_connection(server, fd))
			continue;
		fl_error("transport",
		         "connection rejected: limit reached or out of memory open=%d limit=%d",
		         server->connection_count, server->connection_limit);
		close(fd);
	}
	fl_socket_close(server->fd);
	server->fd = -1;
}

/* Opens a socket that listens on the address; returns it or a negative errno. */
static int open_listening_socket(const struct sockaddr_in *address)
{
	int enabled = 1;
	int fd = fl_socket_open();

	if (fd < 0)
		return fd;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		int error = errno;

		close(fd);
		return -error;
	}
	return fd;
}

struct fl_http_server *fl_http_serve(const char *addr, int max_connections, double idle_timeout_s,
                                     fl_http_handler handler, void *context)
{
	struct fl_http_server *server;
	struct sockaddr_in address;
	int fd;

	if (fl_address_parse(addr, &address) != 0) {
		errno = EINVAL;
		return NULL;
	}
	server = calloc(1, sizeof(*server));
	if (!server)
		return NULL;
	fd = open_listening_socket(&address);
	if (fd < 0) {
		free(server);
		errno = -fd;
		return NULL;
	}
	*server = (struct fl_http_server){.fd = fd,
	                                  .connection_limit = max_connections,
	                                  .idle_timeout_s = idle_timeout_s,
	                                  .handler = handler,
	                                  .context = context};
	if (!fl_coroutine_spawn(accept_connections, server)) {
		close(fd);
		free(server);
		errno = ENOMEM;
		return NULL;
	}
	return server;
}

int fl_http_server_port(const struct fl_http_server *server)
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);

	if (getsockname(server->fd, (struct sockaddr *)&address, &length) != 0)
		return -errno;
	return ntohs(address.sin_port);
}
