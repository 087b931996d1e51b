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
#include "transport/routine.h"

int fl_buf_add(struct fl_buf *b, const void *p, size_t n)
{
	if (b->len + n + 1 > b->cap) {
		size_t cap = b->cap ? b->cap : 256;
		char *d;

		while (cap < b->len + n + 1)
			cap *= 2;
		d = realloc(b->data, cap);
		if (!d)
			return -ENOMEM;
		b->data = d;
		b->cap = cap;
	}
	if (n)
		memcpy(b->data + b->len, p, n);
	b->len += n;
	b->data[b->len] = 0;
	return 0;
}

int fl_buf_printf(struct fl_buf *b, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	int n, rc;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0)
		return -ENOMEM;
	rc = fl_buf_add(b, text, (size_t)n);
	free(text);
	return rc;
}

void fl_buf_free(struct fl_buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct fl_msg *m = p->data;

	if (m->url.len + n > 8192)
		return 1;
	return fl_buf_add(&m->url, at, n) ? 1 : 0;
}

/* The bodies of requests that are being read or served. */
static struct {
	size_t held, most;
} bodies;

void fl_http_limit_bodies(size_t bytes) { bodies.most = bytes; }

static bool reserve(struct fl_msg *m, size_t bytes)
{
	if (bodies.most > 0 && bytes > 0 && bodies.held + bytes > bodies.most)
		return false;
	bodies.held += bytes;
	m->reserved = bytes;
	return true;
}

static int on_headers(http_parser *p)
{
	struct fl_msg *m = p->data;
	bool length_known = p->content_length != ULLONG_MAX;
	size_t bytes = length_known ? (size_t)p->content_length : 0;

	if (length_known && p->content_length > m->max_body) {
		m->too_large = true;
		return -1;
	}
	if (p->type != HTTP_REQUEST)
		return 0;
	if (p->flags & F_CHUNKED)
		bytes = m->max_body;
	m->no_room = !reserve(m, bytes);
	return m->no_room ? -1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct fl_msg *m = p->data;

	if (m->body.len + n > m->max_body) {
		m->too_large = true;
		return 1;
	}
	return fl_buf_add(&m->body, at, n) ? 1 : 0;
}

static int on_complete(http_parser *p)
{
	struct fl_msg *m = p->data;

	m->complete = true;
	m->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void fl_msg_init(struct fl_msg *m, enum http_parser_type type, size_t max_body)
{
	memset(m, 0, sizeof(*m));
	http_parser_init(&m->parser, type);
	m->parser.data = m;
	m->max_body = max_body;
}

void fl_msg_free(struct fl_msg *m)
{
	fl_buf_free(&m->url);
	fl_buf_free(&m->body);
	bodies.held -= m->reserved;
	m->reserved = 0;
}

/*
 * What all routines read into: no routine waits between a read and the parsing of it. On the stack
 * of each connection it stayed in memory for as long as the connection was idle.
 */
static char chunk[8192];

int fl_msg_read(struct fl_msg *m, int fd, double timeout_s)
{
	double until = fl_now() + timeout_s;
	bool more = false; /* a full chunk was read: the rest is probably there */

	while (!m->complete) {
		ssize_t n;
		size_t done;
		int rc = 0;

		/*
		 * First the wait: a message is hardly ever there before it is asked for. One that
		 * has come counts even if its time is over.
		 */
		if (!more)
			rc = fl_wait_io(fd, EV_READ, fmax(0, until - fl_now()));
		if (rc)
			return rc;
		n = recv(fd, chunk, sizeof(chunk), 0);
		more = n == (ssize_t)sizeof(chunk);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n < 0)
			return -ECONNRESET;
		if (n > 0 && !m->started) {
			m->started = true;
			if (m->rest_s > 0)
				until = fmin(until, fl_now() + m->rest_s);
		}
		done = http_parser_execute(&m->parser, &callbacks, chunk, (size_t)n);
		if (m->too_large)
			return -EMSGSIZE;
		if (m->no_room)
			return -ENOBUFS;
		if (m->complete)
			break;
		if (n == 0)
			return -ECONNRESET;
		if (HTTP_PARSER_ERRNO(&m->parser) != HPE_OK || done != (size_t)n)
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
			int rc = left > 0 ? fl_wait_io(fd, EV_WRITE, left) : -ETIMEDOUT;

			if (rc)
				return rc;
			continue;
		}
		return -ECONNRESET;
	}
	return 0;
}

int fl_parse_addr(const char *text, struct sockaddr_in *out)
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
	fl_unregister_io(fd);
	close(fd);
}

int fl_sockets_allow(int n)
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
