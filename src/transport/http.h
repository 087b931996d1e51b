/*
 * What HTTP server and client share: reading one HTTP/1.1 message from a socket, with limits on the
 * size of its body and on the memory of all bodies together.
 */
#ifndef FL_TRANSPORT_HTTP_H
#define FL_TRANSPORT_HTTP_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

#include "transport/buffer.h"
#include "transport/socket.h"

/* A message as it is being read. */
struct fl_http_message {
	http_parser parser;
	struct fl_buffer url, body;
	size_t max_body_bytes;
	size_t reserved_bytes;      /* bytes of the memory for the bodies of all requests */
	double remainder_timeout_s; /* s for the rest, once a message has begun; 0: no such limit */
	bool complete, too_large, body_memory_exhausted, started;
	bool keep_alive;
};

/* Prepares to read a request or a response with a body of at most `max_body` bytes. */
void fl_http_message_init(struct fl_http_message *message, enum http_parser_type type,
                          size_t max_body);
/* Frees what the message holds, also after a failed read. */
void fl_http_message_free(struct fl_http_message *message);
/*
 * Limits the bytes of the bodies of all requests together, while they are read or served; 0: no
 * limit. A thousand connections that send 64 KiB each must not exhaust the process's memory.
 */
void fl_http_set_body_memory_limit(size_t bytes);
/*
 * Reads one whole message, waiting in the current coroutine: 0, or -ECONNRESET, -EPROTO (not HTTP),
 * -EMSGSIZE (body over the limit), -ENOBUFS (the memory for all bodies is in use), -ETIMEDOUT,
 * -ECANCELED.
 */
int fl_http_message_read(struct fl_http_message *message, int fd, double timeout_s);

#endif
