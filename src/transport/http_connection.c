#include "transport/http_connection.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/coroutine.h"
#include "transport/socket_io.h"

static const struct {
	double write_timeout_s;
	size_t max_body_bytes;
	double remainder_timeout_s, discard_read_timeout_s;
	int single_response_divisor, retry_after_s;
} tunables = {
	.write_timeout_s = 5.0,              /* users wait 2 to 5 s for a response, and no longer */
	.max_body_bytes = (size_t)64 * 1024, /* the protocol's limit */
	.remainder_timeout_s = 4.0,          /* from first to last byte; no client waits longer */
	.discard_read_timeout_s = 1.0,       /* for each read of a body that is discarded */
	.single_response_divisor = 32, /* above 31/32 of the limit, one response per connection */
	.retry_after_s = 1,            /* sent while the request body memory limit is reached */
};

/* Maximum number of reads of a body that is discarded, and the bytes of each read. */
enum { DISCARD_READS_MAX = 200, DISCARD_READ_BYTES = 8192 };

/* Characters of an int in decimal, with its sign. */
enum { INT_DIGITS = 11 };

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
static bool is_nearly_full(const struct fl_http_endpoint *endpoint)
{
	return endpoint->connection_count >
	       endpoint->connection_limit -
	               endpoint->connection_limit / tunables.single_response_divisor;
}

/*
 * Returns whether the server is overloaded and the client has closed the connection. Such a client
 * has retried elsewhere, and a response to it would delay the next client until that one, too, has
 * closed its connection.
 */
static bool is_abandoned_under_load(int fd)
{
	return fl_coroutines_overloaded() && fl_socket_peer_has_closed(fd);
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
		ssize_t count = fl_socket_receive(fd, discarded, sizeof(discarded));

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
	fl_socket_stop_sending(fd);
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
static bool serve_request(const struct fl_http_endpoint *endpoint, int fd)
{
	struct fl_http_response response = {.status = 500};
	struct fl_http_request request;
	struct fl_http_message message;
	bool keep_alive = false;
	int rc;

	fl_http_message_init(&message, HTTP_REQUEST, tunables.max_body_bytes);
	message.remainder_timeout_s = tunables.remainder_timeout_s;
	rc = fl_http_message_read(&message, fd, endpoint->idle_timeout_s);
	if (rc)
		respond_read_error(fd, &message, rc);
	if (rc || is_abandoned_under_load(fd))
		goto out;
	request = request_of(&message);
	endpoint->handler(endpoint->context, &request, &response);
	keep_alive = message.keep_alive && !response.close_connection && !is_nearly_full(endpoint);
	if (send_response(fd, &response, keep_alive) != 0)
		keep_alive = false;
out:
	free(response.body);
	fl_http_message_free(&message);
	return keep_alive;
}

void fl_http_connection_serve(const struct fl_http_endpoint *endpoint, int fd)
{
	while (!fl_coroutine_cancelled() && serve_request(endpoint, fd))
		;
	fl_socket_close(fd);
}
