#include "transport/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <limits.h>
#include <math.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/clock.h"
#include "transport/coroutine.h"

int fl_buffer_append(struct fl_buffer *buffer, const void *p, size_t n)
{
	if (buffer->length + n + 1 > buffer->capacity) {
		size_t cap = buffer->capacity ? buffer->capacity : 256;
		char *d;

		while (cap < buffer->length + n + 1)
			cap *= 2;
		d = realloc(buffer->data, cap);
		if (!d)
			return -ENOMEM;
		buffer->data = d;
		buffer->capacity = cap;
	}
	if (n)
		memcpy(buffer->data + buffer->length, p, n);
	buffer->length += n;
	buffer->data[buffer->length] = 0;
	return 0;
}

int fl_buffer_printf(struct fl_buffer *buffer, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	int n, rc;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0)
		return -ENOMEM;
	rc = fl_buffer_append(buffer, text, (size_t)n);
	free(text);
	return rc;
}

void fl_buffer_free(struct fl_buffer *buffer)
{
	free(buffer->data);
	memset(buffer, 0, sizeof(*buffer));
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct fl_http_message *message = p->data;

	if (message->url.length + n > 8192)
		return 1;
	return fl_buffer_append(&message->url, at, n) ? 1 : 0;
}

/* The bodies of requests that are being read or served. */
static struct {
	size_t held, most;
} bodies;

void fl_http_set_body_memory_limit(size_t bytes) { bodies.most = bytes; }

static bool reserve(struct fl_http_message *message, size_t bytes)
{
	if (bodies.most > 0 && bytes > 0 && bodies.held + bytes > bodies.most)
		return false;
	bodies.held += bytes;
	message->reserved = bytes;
	return true;
}

static int on_headers(http_parser *p)
{
	struct fl_http_message *message = p->data;
	bool length_known = p->content_length != ULLONG_MAX;
	size_t bytes = length_known ? (size_t)p->content_length : 0;

	if (length_known && p->content_length > message->max_body) {
		message->too_large = true;
		return -1;
	}
	if (p->type != HTTP_REQUEST)
		return 0;
	if (p->flags & F_CHUNKED)
		bytes = message->max_body;
	message->no_buffer_space = !reserve(message, bytes);
	return message->no_buffer_space ? -1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct fl_http_message *message = p->data;

	if (message->body.length + n > message->max_body) {
		message->too_large = true;
		return 1;
	}
	return fl_buffer_append(&message->body, at, n) ? 1 : 0;
}

static int on_complete(http_parser *p)
{
	struct fl_http_message *message = p->data;

	message->complete = true;
	message->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
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
	message->max_body = max_body;
}

void fl_http_message_free(struct fl_http_message *message)
{
	fl_buffer_free(&message->url);
	fl_buffer_free(&message->body);
	bodies.held -= message->reserved;
	message->reserved = 0;
}

/*
 * What all routines read into: no routine waits between a read and the parsing of it. On the stack
 * of each connection it stayed in memory for as long as the connection was idle.
 */
static char chunk[8192];

int fl_http_message_read(struct fl_http_message *message, int fd, double timeout_s)
{
	double until = fl_now() + timeout_s;
	bool more = false; /* a full chunk was read: the rest is probably there */

	while (!message->complete) {
		ssize_t n;
		size_t done;
		int rc = 0;

		/*
		 * First the wait: a message is hardly ever there before it is asked for. One that
		 * has come counts even if its time is over.
		 */
		if (!more)
			rc = fl_io_wait(fd, EV_READ, fmax(0, until - fl_now()));
		if (rc)
			return rc;
		n = recv(fd, chunk, sizeof(chunk), 0);
		more = n == (ssize_t)sizeof(chunk);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n < 0)
			return -ECONNRESET;
		if (n > 0 && !message->started) {
			message->started = true;
			if (message->remainder_timeout_s > 0)
				until = fmin(until, fl_now() + message->remainder_timeout_s);
		}
		done = http_parser_execute(&message->parser, &callbacks, chunk, (size_t)n);
		if (message->too_large)
			return -EMSGSIZE;
		if (message->no_buffer_space)
			return -ENOBUFS;
		if (message->complete)
			break;
		if (n == 0)
			return -ECONNRESET;
		if (HTTP_PARSER_ERRNO(&message->parser) != HPE_OK || done != (size_t)n)
			return -EPROTO;
	}
	return 0;
}

int fl_write_all(int fd, const char *p, size_t n, double timeout_s)
{
	double until = fl_now() + timeout_s;

	while (n > 0) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

		if (k > 0) {
			p += k;
			n -= (size_t)k;
			continue;
		}
		if (k < 0 && (errno == EAGAIN || errno == EINTR)) {
			double left = until - fl_now();
			int rc = left > 0 ? fl_io_wait(fd, EV_WRITE, left) : -ETIMEDOUT;

			if (rc)
				return rc;
			continue;
		}
		return -ECONNRESET;
	}
	return 0;
}

int fl_address_parse(const char *text, struct sockaddr_in *out)
{
	char host[64];
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return -EINVAL;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = 0;
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 0 || port > 65535)
		return -EINVAL;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

int fl_socket(void)
{
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

void fl_close(int fd)
{
	fl_io_unregister(fd);
	close(fd);
}

int fl_raise_open_file_limit(int n)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) != 0)
		return n; /* not known: a failing accept says it */
	if (r.rlim_cur < (rlim_t)n) {
		r.rlim_cur = r.rlim_max < (rlim_t)n ? r.rlim_max : (rlim_t)n;
		if (setrlimit(RLIMIT_NOFILE, &r) != 0 && getrlimit(RLIMIT_NOFILE, &r) != 0)
			return n;
	}
	return r.rlim_cur > INT_MAX ? INT_MAX : (int)r.rlim_cur;
}
