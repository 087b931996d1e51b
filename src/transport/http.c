#include "transport/http.h"

#include <errno.h>
#include <limits.h>
#include <math.h>
#include <string.h>
#include <sys/socket.h>

#include "transport/clock.h"
#include "transport/coroutine.h"

/* Maximum bytes of a request's path and query; bytes of one read. */
enum { URL_MAX = 8192, READ_SIZE = 8192 };

/*
 * What a parser's callback returns to end the parsing. Not 1, which at the end of the headers would
 * mean that there is no body.
 */
enum { PARSER_CONTINUE = 0, PARSER_ABORT = -1 };

static int on_url(http_parser *parser, const char *bytes, size_t count)
{
	struct fl_http_message *message = parser->data;

	if (message->url.length + count > URL_MAX)
		return PARSER_ABORT;
	return fl_buffer_append(&message->url, bytes, count) ? PARSER_ABORT : PARSER_CONTINUE;
}

/* Bytes of the bodies of requests that are being read or served. */
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

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void fl_http_message_init(struct fl_http_message *message, enum http_parser_type type,
                          size_t max_body)
{
	memset(message, 0, sizeof(*message));
	http_parser_init(&message->parser, type);
	message->parser.data = message;
	message->max_body_bytes = max_body;
}

void fl_http_message_free(struct fl_http_message *message)
{
	fl_buffer_free(&message->url);
	fl_buffer_free(&message->body);
	body_memory.reserved -= message->reserved_bytes;
	message->reserved_bytes = 0;
}

/*
 * What all coroutines read into: none waits between a read and the parsing of it. On the stack of
 * each connection it stayed in memory for as long as the connection was idle.
 */
static char read_buffer[READ_SIZE];

/* Parses bytes that were read, none at the end of the connection: 0 or a negative errno. */
static int parse(struct fl_http_message *message, size_t count)
{
	size_t parsed = http_parser_execute(&message->parser, &callbacks, read_buffer, count);

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
	bool more_expected = false; /* the buffer was filled: the rest has probably arrived */

	while (!message->complete) {
		ssize_t count;
		int rc = 0;

		/*
		 * First the wait: a message has hardly ever arrived before it is read. One that has
		 * arrived is valid even after the deadline.
		 */
		if (!more_expected)
			rc = fl_io_wait(fd, EV_READ, fmax(0, deadline - fl_now()));
		if (rc)
			return rc;
		count = recv(fd, read_buffer, sizeof(read_buffer), 0);
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
		rc = parse(message, (size_t)count);
		if (rc)
			return rc;
	}
	return 0;
}
