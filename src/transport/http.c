#include "transport/http.h"

#include <errno.h>
#include <limits.h>
#include <math.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/socket_io.h"

/* Maximum bytes of a request's path and query; bytes of one read. */
enum { URL_BYTES_MAX = 8192, READ_BYTES = 8192 };

/*
 * Return values of the parser's callbacks. Parsing is not aborted with 1, which at the end of the
 * headers would mean that the message has no body.
 */
enum { PARSER_CONTINUE = 0, PARSER_ABORT = -1 };

static int on_url(http_parser *parser, const char *bytes, size_t count)
{
	struct fl_http_message *message = parser->data;

	if (message->url.length + count > URL_BYTES_MAX)
		return PARSER_ABORT;
	return fl_buffer_append(&message->url, bytes, count) ? PARSER_ABORT : PARSER_CONTINUE;
}

/* Bytes of the bodies of requests that are being read or served; a limit of 0 means no limit. */
static struct {
	size_t reserved, limit;
} body_memory;

void fl_http_set_body_memory_limit(size_t bytes) { body_memory.limit = bytes; }

static bool reserve_body_memory(struct fl_http_message *message, size_t bytes)
{
	if (body_memory.limit > 0 && bytes > 0 && body_memory.reserved + bytes > body_memory.limit)
		return false;
	body_memory.reserved += bytes;
	message->reserved_bytes = bytes;
	return true;
}

static int on_headers(http_parser *parser)
{
	struct fl_http_message *message = parser->data;
	bool length_known = parser->content_length != ULLONG_MAX;
	size_t bytes = length_known ? (size_t)parser->content_length : 0;

	if (length_known && parser->content_length > message->max_body_bytes) {
		message->too_large = true;
		return PARSER_ABORT;
	}
	if (parser->type != HTTP_REQUEST)
		return PARSER_CONTINUE;
	if (parser->flags & F_CHUNKED)
		bytes = message->max_body_bytes;
	message->body_memory_exhausted = !reserve_body_memory(message, bytes);
	return message->body_memory_exhausted ? PARSER_ABORT : PARSER_CONTINUE;
}

static int on_body(http_parser *parser, const char *bytes, size_t count)
{
	struct fl_http_message *message = parser->data;

	if (message->body.length + count > message->max_body_bytes) {
		message->too_large = true;
		return PARSER_ABORT;
	}
	return fl_buffer_append(&message->body, bytes, count) ? PARSER_ABORT : PARSER_CONTINUE;
}

static int on_complete(http_parser *parser)
{
	struct fl_http_message *message = parser->data;

	message->complete = true;
	message->keep_alive = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return PARSER_CONTINUE;
}

static const http_parser_settings parser_callbacks = {
	.on_url = on_url,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void fl_http_message_init(struct fl_http_message *message, enum http_parser_type type,
                          size_t max_body_bytes)
{
	memset(message, 0, sizeof(*message));
	http_parser_init(&message->parser, type);
	message->parser.data = message;
	message->max_body_bytes = max_body_bytes;
}

void fl_http_message_free(struct fl_http_message *message)
{
	fl_buffer_free(&message->url);
	fl_buffer_free(&message->body);
	body_memory.reserved -= message->reserved_bytes;
	message->reserved_bytes = 0;
}

/*
 * The buffer that all coroutines read into; no coroutine waits between a read and the parsing of
 * its bytes. A buffer on the stack of each connection stayed in memory while the connection was
 * idle.
 */
static char read_buffer[READ_BYTES];

/* Parses the `count` bytes read, 0 at the end of the connection; returns 0 or a negative errno. */
static int parse_read_bytes(struct fl_http_message *message, size_t count)
{
	size_t parsed =
		http_parser_execute(&message->parser, &parser_callbacks, read_buffer, count);

	if (message->too_large)
		return -EMSGSIZE;
	if (message->body_memory_exhausted)
		return -ENOBUFS;
	if (message->complete)
		return 0;
	if (count == 0)
		return -ECONNRESET;
	if (HTTP_PARSER_ERRNO(&message->parser) != HPE_OK || parsed != count)
		return -EPROTO;
	return 0;
}

int fl_http_message_read(struct fl_http_message *message, int fd, double timeout_s)
{
	double deadline = fl_now() + timeout_s;
	bool more_expected = false; /* the last read filled the buffer: more has probably arrived */

	while (!message->complete) {
		ssize_t count;
		int rc = 0;

		/*
		 * The wait comes before the read, since a message has rarely arrived at this point.
		 * Bytes that have arrived are read even after the deadline.
		 */
		if (!more_expected)
			rc = fl_io_wait(fd, EV_READ, fmax(0, deadline - fl_now()));
		if (rc)
			return rc;
		count = fl_socket_receive(fd, read_buffer, sizeof(read_buffer));
		more_expected = count == (ssize_t)sizeof(read_buffer);
		if (count < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (count < 0)
			return -ECONNRESET;
		if (count > 0 && !message->started) {
			message->started = true;
			if (message->remainder_timeout_s > 0)
				deadline = fmin(deadline, fl_now() + message->remainder_timeout_s);
		}
		rc = parse_read_bytes(message, (size_t)count);
		if (rc)
			return rc;
	}
	return 0;
}
