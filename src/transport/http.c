#include "transport/http.h"

#include <errno.h>
#include <limits.h>
#include <math.h>
#include <string.h>

#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/incomplete_requests.h"
#include "transport/socket_io.h"

/* Maximum bytes of a request's path and query; bytes of one read. */
enum { URL_BYTES_MAX = 8192, READ_BYTES = 8192 };

/* Reads of one message after which other coroutines run, however fast the sender is. */
enum { READS_WITHOUT_WAIT_MAX = 128 };

/*
 * Return values of the parser's callbacks. Parsing is not aborted with 1, which at the end of the
 * headers would mean that the message has no body.
 */
enum { PARSER_CONTINUE = 0, PARSER_ABORT = -1 };

/* Ends the read with this error. */
static int abort_parsing(struct fl_http_message *message, int error)
{
	message->callback_error = error;
	return PARSER_ABORT;
}

static int append(struct fl_http_message *message, struct fl_buffer *buffer, const char *bytes,
                  size_t count)
{
	if (fl_buffer_append(buffer, bytes, count) != 0)
		return abort_parsing(message, -ENOMEM);
	return PARSER_CONTINUE;
}

static int on_url(http_parser *parser, const char *bytes, size_t count)
{
	struct fl_http_message *message = parser->data;

	if (message->url.length + count > URL_BYTES_MAX)
		return abort_parsing(message, -ENAMETOOLONG);
	return append(message, &message->url, bytes, count);
}

/* Bytes of the bodies of requests that are being read or served; a limit of 0 means no limit. */
static struct {
	size_t reserved, limit;
} body_memory;

void fl_http_set_body_memory_limit(size_t bytes) { body_memory.limit = bytes; }

/* Reserves memory for bytes that have arrived; evicts slower requests if there is too little. */
static bool reserve_body_memory(struct fl_http_message *message, size_t bytes)
{
	while (body_memory.limit > 0 && body_memory.reserved + bytes > body_memory.limit) {
		const struct fl_http_message *slowest =
			fl_incomplete_requests_evict_slowest(NULL, 0, message);

		if (!slowest || slowest == message)
			return false;
	}
	body_memory.reserved += bytes;
	message->reserved_bytes += bytes;
	return true;
}

/*
 * Marks the body as too large. The rest of it is read and discarded if a whole request is to be
 * told from one that is cut off, within a limit.
 */
static int on_body_too_large(struct fl_http_message *message, uint64_t bytes)
{
	message->too_large = true;
	fl_http_message_free_body(message);
	if (message->max_discarded_bytes == 0)
		return abort_parsing(message, -EMSGSIZE);
	if (bytes > message->max_discarded_bytes)
		return abort_parsing(message, -EFBIG);
	return PARSER_CONTINUE;
}

/* Puts the limit of the request's path in force, if it has one of its own. */
static void apply_body_limit(struct fl_http_message *message)
{
	const struct fl_http_body_limit *limit = message->body_limit;

	if (limit && limit->path && message->url.data &&
	    strcmp(message->url.data, limit->path) == 0)
		message->max_body_bytes = limit->max_bytes;
}

static int on_headers(http_parser *parser)
{
	struct fl_http_message *message = parser->data;

	apply_body_limit(message);
	message->expected_body_bytes = parser->content_length;
	if (parser->content_length == ULLONG_MAX ||
	    parser->content_length <= message->max_body_bytes)
		return PARSER_CONTINUE;
	return on_body_too_large(message, parser->content_length);
}

static int on_body(http_parser *parser, const char *bytes, size_t count)
{
	struct fl_http_message *message = parser->data;

	message->body_bytes += count;
	if (message->body_bytes > message->max_body_bytes)
		return on_body_too_large(message, message->body_bytes);
	if (parser->type == HTTP_REQUEST && !reserve_body_memory(message, count))
		return abort_parsing(message, -ENOBUFS);
	return append(message, &message->body, bytes, count);
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
	message->expected_body_bytes = UINT64_MAX;
}

void fl_http_message_free_body(struct fl_http_message *message)
{
	fl_buffer_free(&message->body);
	body_memory.reserved -= message->reserved_bytes;
	message->reserved_bytes = 0;
}

void fl_http_message_free(struct fl_http_message *message)
{
	fl_buffer_free(&message->url);
	fl_http_message_free_body(message);
}

/*
 * The buffer that all coroutines read into; no coroutine waits between a read and the parsing of
 * its bytes. A buffer on the stack of each connection stayed in memory while the connection was
 * idle.
 */
static char read_buffer[READ_BYTES];

/* Returns 0 or the negative errno for the parser's state after bytes that it did not accept. */
static int parser_error(const struct fl_http_message *message)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&message->parser);

	if (error == HPE_OK)
		return 0;
	if (error == HPE_HEADER_OVERFLOW)
		return -ENAMETOOLONG;
	return message->callback_error ? message->callback_error : -EPROTO;
}

/* Parses the `count` bytes read, 0 at the end of the connection; returns 0 or a negative errno. */
static int parse_read_bytes(struct fl_http_message *message, size_t count)
{
	size_t parsed;

	/* The parser would take the end of the connection for the end of some responses. */
	if (count == 0)
		return -ECONNRESET;
	message->received_bytes += count;
	parsed = http_parser_execute(&message->parser, &parser_callbacks, read_buffer, count);
	if (!message->complete)
		return parser_error(message);
	/* Nobody pipelines: the bytes of a next message would be lost, or taken for its answer. */
	if (parsed != count)
		message->keep_alive = false;
	return message->too_large ? -EMSGSIZE : 0;
}

/* When a read ends if the message is not whole by then. */
struct read_limit {
	double deadline;
	bool more_expected; /* the last read filled the buffer: more has probably arrived */
	int reads_without_wait;
	bool last_wait; /* the deadline has passed; only bytes that have arrived are read */
};

static void on_first_byte(struct fl_http_message *message, int fd, struct read_limit *limit)
{
	message->started = true;
	message->started_at = fl_now();
	if (message->remainder_timeout_s > 0)
		limit->deadline = message->started_at + message->remainder_timeout_s;
	if (message->parser.type == HTTP_REQUEST)
		fl_incomplete_requests_add(message, fd);
}

/*
 * Waits for bytes. The wait comes before the read, since a message has rarely arrived at that
 * point. Bytes that have arrived by the deadline are read even if this process noticed them later.
 */
static int wait_for_bytes(const struct fl_http_message *message, int fd, struct read_limit *limit)
{
	double remaining_s = limit->deadline - fl_now();
	int rc;

	if (limit->more_expected && limit->reads_without_wait++ < READS_WITHOUT_WAIT_MAX)
		return 0;
	limit->reads_without_wait = 0;
	if (limit->last_wait)
		return -ETIMEDOUT;
	limit->last_wait = remaining_s <= 0;
	rc = fl_io_wait(fd, EV_READ, fmax(0, remaining_s));
	return message->evicted ? -ECONNABORTED : rc;
}

/* Reads and parses bytes that have arrived; returns 0 or a negative errno. */
static int read_bytes(struct fl_http_message *message, int fd, struct read_limit *limit)
{
	ssize_t count = fl_socket_receive(fd, read_buffer, sizeof(read_buffer));

	limit->more_expected = count == (ssize_t)sizeof(read_buffer);
	if (count < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : -ECONNRESET;
	if (count > 0 && !message->started)
		on_first_byte(message, fd, limit);
	return parse_read_bytes(message, (size_t)count);
}

int fl_http_message_read(struct fl_http_message *message, int fd, double timeout_s)
{
	struct read_limit limit = {.deadline = fl_now() + timeout_s};
	int rc = 0;

	while (!message->complete && !rc) {
		rc = wait_for_bytes(message, fd, &limit);
		if (!rc)
			rc = read_bytes(message, fd, &limit);
	}
	fl_incomplete_requests_remove(message);
	return rc;
}
