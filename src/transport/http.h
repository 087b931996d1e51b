/*
 * The part common to the HTTP server and client: reads one HTTP/1.1 message from a socket, with
 * limits on the size of its body and on the memory of all request bodies together.
 */
#ifndef FL_TRANSPORT_HTTP_H
#define FL_TRANSPORT_HTTP_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/buffer.h"
#include "transport/socket.h"

struct fl_http_endpoint;

/* The limit of the body of requests to one path, in place of that of other requests. */
struct fl_http_body_limit {
	const char *path; /* borrowed; NULL: no path has a limit of its own */
	size_t max_bytes;
};

/* A message that is being read. */
struct fl_http_message {
	http_parser parser;
	struct fl_buffer url, body;
	size_t max_body_bytes;
	const struct fl_http_body_limit *body_limit; /* of one path; NULL: none */
	/* Limit of a body that is read to its end although it is too large; 0: none is. */
	size_t max_discarded_bytes;
	double remainder_timeout_s; /* limit from the first byte to the last; 0: no such limit */
	const struct fl_http_endpoint
		*endpoint; /* that a request arrives at; NULL for a response */

	double started_at;            /* when the first byte was read; 0: none was */
	size_t received_bytes;        /* all bytes read */
	size_t body_bytes;            /* those of the body; not all of them are kept if too many */
	size_t reserved_bytes;        /* part of the body memory that this message has reserved */
	uint64_t expected_body_bytes; /* UINT64_MAX: not known */
	/* `started`: at least one byte has been read. `too_large`: the body is. */
	bool started, complete, too_large, keep_alive;
	int callback_error; /* negative errno with which a callback of the parser ended the read */

	/* Owned by incomplete_requests.c. */
	struct fl_http_message *prev, *next;
	int fd;
	bool is_listed, evicted;
};

/* Prepares to read a request or response whose body has at most `max_body_bytes` bytes. */
void fl_http_message_init(struct fl_http_message *message, enum http_parser_type type,
                          size_t max_body_bytes);
/* Frees the body and its reservation. */
void fl_http_message_free_body(struct fl_http_message *message);
/* Frees the message's buffers and its reservation; to be called after a failed read, too. */
void fl_http_message_free(struct fl_http_message *message);
/*
 * Limits the memory for the bodies of all requests that are being read or served; 0 means no limit.
 * At the limit, the slowest incomplete requests are evicted. Without a limit, a thousand
 * connections that send 64 KiB each could exhaust the process's memory.
 */
void fl_http_set_body_memory_limit(size_t bytes);
/*
 * Reads one whole message, waiting in the current coroutine. Returns 0 only if all of it has
 * arrived; a message that ends with its connection may have been cut off, and is never whole.
 * Otherwise returns one of:
 * -EPROTO        the bytes that have arrived are not HTTP
 * -EMSGSIZE      the body is above `max_body_bytes`; if it is at most `max_discarded_bytes`, all of
 *                it has arrived
 * -EFBIG         the body is above `max_discarded_bytes`
 * -ENAMETOOLONG  the path is, or all headers together are, too long
 * -ENOBUFS       the memory for request bodies is used up, and this request is the slowest
 * -ENOMEM        out of memory
 * -ECONNRESET    the connection ended before the message
 * -ETIMEDOUT     the time was over before the message was whole
 * -ECONNABORTED  evicted: see incomplete_requests.h
 * -ECANCELED     the coroutine is cancelled
 */
int fl_http_message_read(struct fl_http_message *message, int fd, double timeout_s);

#endif
