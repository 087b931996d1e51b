#include "transport/http_connection.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/log.h"
#include "transport/socket_io.h"

static const struct {
	double write_timeout_s;
	size_t max_body_bytes, max_discarded_bytes;
	double remainder_timeout_s, discard_timeout_s;
	int single_response_divisor, retry_after_s;
	double log_interval_s;
} tunables = {
	.write_timeout_s = 5.0,              /* users wait 2 to 5 s for a response, and no longer */
	.max_body_bytes = (size_t)64 * 1024, /* the protocol's limit; see body_limit */
	.max_discarded_bytes = (size_t)1024 * 1024,
	/* From first to last byte; users wait 5 s, counted from before the first byte arrives. */
	.remainder_timeout_s = 6.0,
	.discard_timeout_s = 1.0,      /* for a client that is still sending after its response */
	.single_response_divisor = 32, /* above 31/32 of the limit, one response per connection */
	.retry_after_s = 1,            /* sent while the request body memory limit is reached */
	.log_interval_s = 1.0,         /* between lines about requests that were not read in full */
};

/* Bytes of each read of a body that is discarded. */
enum { DISCARD_READ_BYTES = 8192 };

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

/* The response to a request that was not read; its status is 0 if it gets none. */
struct read_error_response {
	int status;
	const char *body;
	const char *reason; /* for the log */
};

/*
 * Returns the response to a request whose reading failed with `rc`. Users do not retry after 400,
 * so only a request that was received whole, or whose bytes are not HTTP whatever follows, gets it.
 * A request that is cut off or late may be a submission of an accepted job: its user must retry.
 */
static struct read_error_response response_to_read_error(const struct fl_http_message *message,
                                                         int rc)
{
	switch (rc) {
	case -EMSGSIZE:
		return (struct read_error_response){400, "{\"error\":\"body over 64 KiB\"}",
		                                    "body too large"};
	case -EPROTO:
		return (struct read_error_response){400, "{\"error\":\"not HTTP/1.1\"}",
		                                    "not HTTP"};
	case -EFBIG:
		return (struct read_error_response){
			413, "{\"error\":\"body too large, and not read to its end\"}",
			"body too large"};
	case -ENAMETOOLONG:
		return (struct read_error_response){431, "{\"error\":\"path or headers too long\"}",
		                                    "headers too large"};
	case -ENOBUFS:
	case -ENOMEM:
		return (struct read_error_response){
			503, "{\"error\":\"request body memory limit reached\"}", "memory"};
	case -ECONNABORTED:
		return (struct read_error_response){.reason = "evicted as the slowest"};
	case -ECONNRESET:
	case -ETIMEDOUT:
		if (message->started)
			return (struct read_error_response){
				408, "{\"error\":\"the request did not arrive in full\"}",
				rc == -ETIMEDOUT ? "timed out" : "connection ended"};
		break;
	default:
		break;
	}
	return (struct read_error_response){0};
}

static void format_expected_bytes(const struct fl_http_message *message, char out[24])
{
	if (message->expected_body_bytes == UINT64_MAX)
		snprintf(out, 24, "unknown");
	else
		snprintf(out, 24, "%llu", (unsigned long long)message->expected_body_bytes);
}

/* Logs a request that was not read in full, and how many there were. Not inlined: see below. */
static __attribute__((noinline)) void log_read_error(int fd, const struct fl_http_message *message,
                                                     const struct read_error_response *error)
{
	static struct fl_log_limit limit;
	static unsigned long long total;
	char peer[32], expected[24];
	unsigned suppressed;

	total++;
	if (!fl_log_limit_take(&limit, tunables.log_interval_s, fl_now(), &suppressed))
		return;
	fl_socket_peer_name(fd, peer, sizeof(peer));
	format_expected_bytes(message, expected);
	fl_info("transport",
	        "request not read in full peer=%s received_bytes=%zu body_bytes=%zu "
	        "expected_body_bytes=%s seconds=%.2f reason=\"%s\" status=%d total=%llu "
	        "suppressed=%u",
	        peer, message->received_bytes, message->body_bytes, expected,
	        message->started ? fl_now() - message->started_at : 0, error->reason, error->status,
	        total, suppressed);
}

/*
 * Reads and discards the rest of a request's body for a while, so that the response reaches a
 * client that is still sending: an early close would reset the connection. Not inlined, since the
 * buffer would then be part of the stack of every idle connection.
 */
static __attribute__((noinline)) void discard_body(int fd)
{
	double deadline = fl_now() + tunables.discard_timeout_s;

	/* A wait before each read lets other coroutines run beside a client that never pauses. */
	while (fl_now() < deadline && fl_io_wait(fd, EV_READ, deadline - fl_now()) == 0) {
		char discarded[DISCARD_READ_BYTES];
		ssize_t count = fl_socket_receive(fd, discarded, sizeof(discarded));

		if (count == 0 || (count < 0 && errno != EAGAIN))
			break;
	}
}

/* Responds, where a response is due, to a request whose reading failed with `rc`. */
static void respond_read_error(int fd, const struct fl_http_message *message, int rc)
{
	const struct read_error_response error = response_to_read_error(message, rc);
	const struct fl_http_response response = {
		.status = error.status,
		.body = (char *)error.body,
		.retry_after_s = error.status == 503 ? tunables.retry_after_s : 0};

	if (error.reason)
		log_read_error(fd, message, &error);
	if (error.status == 0)
		return;
	send_response(fd, &response, false);
	fl_socket_stop_sending(fd);
	if (rc == -EFBIG || rc == -ENOBUFS)
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
	message.body_limit = &endpoint->body_limit;
	message.max_discarded_bytes = tunables.max_discarded_bytes;
	message.remainder_timeout_s = tunables.remainder_timeout_s;
	message.endpoint = endpoint;
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
