/* What HTTP server and client share: reading one message, buffers, addresses and sockets. */
#ifndef FL_TRANSPORT_HTTP_H
#define FL_TRANSPORT_HTTP_H

#include <http_parser.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

/* Bytes that grow. Zero-initialised is empty. */
struct fl_buffer {
	char *data; /* always NUL-terminated when not NULL */
	size_t length, capacity;
};

/* Appends bytes; 0 or -ENOMEM. */
int fl_buffer_append(struct fl_buffer *buffer, const void *p, size_t n);
/* Appends formatted text; 0 or -ENOMEM. */
int fl_buffer_printf(struct fl_buffer *buffer, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Frees the bytes; the buffer is empty then. */
void fl_buffer_free(struct fl_buffer *buffer);

/* A message as it is being read. */
struct fl_http_message {
	http_parser parser;
	struct fl_buffer url, body;
	size_t max_body;
	size_t reserved;            /* bytes of a request's body, of what all may take together */
	double remainder_timeout_s; /* s for the rest, once a message has begun; 0: as long as for
	                               all of it */
	bool complete, too_large, no_buffer_space, started;
	bool keep_alive;
};

/* Prepares to read a request or a response with a body of at most `max_body` bytes. */
void fl_http_message_init(struct fl_http_message *message, enum http_parser_type type,
                          size_t max_body);
/* Frees what the message holds. */
void fl_http_message_free(struct fl_http_message *message);
/*
 * The bytes that the bodies of all requests may take together while they are read; 0: no limit. A
 * thousand connections that send 64 KiB each must not end the process.
 */
void fl_http_set_body_memory_limit(size_t bytes);
/*
 * Reads one whole message: 0, or -ECONNRESET, -EPROTO, -EMSGSIZE, -ENOBUFS (no room among the
 * bodies now), -ETIMEDOUT, -ECANCELED.
 */
int fl_http_message_read(struct fl_http_message *message, int fd, double timeout_s);

/* Writes everything before `timeout_s` is over. */
int fl_write_all(int fd, const char *p, size_t n, double timeout_s);
/* Parses "1.2.3.4:80", no host names; 0 or -EINVAL. */
int fl_address_parse(const char *text, struct sockaddr_in *out);
/* A TCP socket, non-blocking and without delay; -1: none to be had. */
int fl_socket(void);
/* Closes a socket that the current routine has used. */
void fl_close(int fd);
/* Raises what the system allows to `n` open files, as far as may be; how many it allows then. */
int fl_raise_open_file_limit(int n);

#endif
