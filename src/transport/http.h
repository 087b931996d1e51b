/*
 * The part common to the HTTP server and client: reads one HTTP/1.1 message from a socket, with
 * limits on the size of its body and on the memory of all request bodies together.
 */
#ifndef FL_TRANSPORT_HTTP_H
#define FL_TRANSPORT_HTTP_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

#include "transport/buffer.h"
#include "transport/socket.h"

/* A message that is being read. */
struct fl_http_message {
	http_parser parser;
	struct fl_buffer url, body;
	size_t max_body_bytes;
	size_t reserved_bytes;      /* part of the body memory that this message has reserved */
	double remainder_timeout_s; /* limit from the first byte to the last; 0: no such limit */
	/* `started`: at least one byte has been read. */
	bool complete, too_large, body_memory_exhausted, started;
	bool keep_alive;
};

/* Prepares to read a request or response whose body has at most `max_body_bytes` bytes. */
void fl_http_message_init(struct fl_http_message *message, enum http_parser_type type,
                          size_t max_body_bytes);
/* Frees the message's buffers and its reservation; to be called after a failed read, too. */
void fl_http_message_free(struct fl_http_message *message);
/*
 * Limits the memory for the bodies of all requests that are being read or served; 0 means no limit.
 * Without a limit, a thousand connections that send 64 KiB each could exhaust the process's memory.
 */
void fl_http_set_body_memory_limit(size_t bytes);
/*
 * Reads one whole message, waiting in the current coroutine. Returns 0, -ECONNRESET, -EPROTO (not
 * HTTP, URL over the limit, or out of memory), -EMSGSIZE (body over the limit), -ENOBUFS (request
 * body memory limit reached), -ETIMEDOUT or -ECANCELED.
 */
int fl_http_message_read(struct fl_http_message *message, int fd, double timeout_s);

#endif
