#include "transport/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/log.h"
#include "transport/routine.h"

static const struct {
	double write_s;
	size_t max_body;
	double pause_s, rest_s;
	int nearly, later_s;
} tunables = {
	.write_s = 5.0,                /* s; users wait 2 to 5 s, so a longer write helps nobody */
	.max_body = (size_t)64 * 1024, /* bytes; the protocol's limit */
	.pause_s = 0.05,               /* s; wait after a failed accept, so that it does not spin */
	.rest_s = 4.0, /* s for the rest of a request; no caller waits longer for its answer */
	.later_s = 1,  /* s; Retry-After where there is no room for a body */
	.nearly = 32,  /* part (one in so many) of the connections that is for one answer each */
};

/* Digits of an int, with its sign. */
enum { FL_INT_DIGITS = 11 };

struct fl_http_server {
	int fd;
	int conns, max_conns;
	double idle_s; /* a silent peer behind a cut must not hold a socket for ever */
	fl_handler handler;
	void *ctx;
};

struct conn {
	struct fl_http_server *server;
	int fd;
};

static int send_response(int fd, const struct fl_response *r, bool keep)
{
	const char *body = r->body ? r->body : "{}";
	size_t body_len = strlen(body);
	struct fl_buf out = {0};
	char retry[sizeof("Retry-After: \r\n") + FL_INT_DIGITS] = "";
	int rc;

	if (r->retry_after_s > 0)
		snprintf(retry, sizeof(retry), "Retry-After: %d\r\n", r->retry_after_s);
	rc = fl_buf_printf(&out,
	                   "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s%s"
	                   "Content-Length: %zu\r\n\r\n",
	                   r->status, http_status_str((enum http_status)r->status), retry,
	                   keep ? "" : "Connection: close\r\n", body_len);
	if (!rc)
		rc = fl_buf_add(&out, body, body_len);
	if (!rc)
		rc = fl_write_all(fd, out.data, out.len, tunables.write_s);
	fl_buf_free(&out);
	return rc;
}

/*
 * Kept connections of thousands of workers must not shut out the balancer's probes and the users:
 * with the last of them gone, a node that could serve would count as dead.
 */
static bool nearly_full(const struct fl_http_server *s)
{
	return s->conns > s->max_conns - s->max_conns / tunables.nearly;
}

/*
 * A server that is behind must not spend its time on callers who have gone: they have asked
 * elsewhere, and each answer to nobody keeps the next caller waiting until he is gone too.
 */
static bool caller_has_gone(int fd)
{
	char c;

	return fl_routines_behind() && recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/*
 * Why a request cannot be served, or NULL. All is said with 400: users try again whatever they are
 * told otherwise, and this will not become better. A request that its length does not fit is one
 * too, when its caller has closed or sends no more; a caller that sent nothing is within its
 * guarantee nothing.
 */
static const char *broken(const struct fl_msg *msg, int rc)
{
	switch (rc) {
	case -EMSGSIZE:
		return "{\"error\":\"body over 64 KiB\"}";
	case -EPROTO:
		return "{\"error\":\"not HTTP/1.1\"}";
	case -ECONNRESET:
	case -ETIMEDOUT:
		return msg->started ? "{\"error\":\"shorter than its length\"}" : NULL;
	default:
		return NULL;
	}
}

static void refuse_unread(int fd, int status, const char *why, bool drain)
{
	struct fl_response resp = {.status = status,
	                           .body = (char *)why,
	                           .retry_after_s = status == 503 ? tunables.later_s : 0};

	send_response(fd, &resp, false);
	/* Let the answer reach a peer that is still writing its body. */
	shutdown(fd, SHUT_WR);
	for (int i = 0; i < 200 && drain; i++) {
		char sink[8192];
		ssize_t n = recv(fd, sink, sizeof(sink), 0);

		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		if (n < 0 && fl_wait_io(fd, EV_READ, 1.0) != 0)
			break;
	}
}

static bool serve_one(struct conn *c)
{
	struct fl_request req = {0};
	struct fl_response resp = {.status = 500};
	struct fl_msg msg;
	const char *why;
	bool keep = false;
	char *query;
	int rc;

	fl_msg_init(&msg, HTTP_REQUEST, tunables.max_body);
	msg.rest_s = tunables.rest_s;
	rc = fl_msg_read(&msg, c->fd, c->server->idle_s);
	why = broken(&msg, rc);
	if (why)
		refuse_unread(c->fd, 400, why, rc == -EMSGSIZE);
	else if (rc == -ENOBUFS)
		refuse_unread(c->fd, 503, "{\"error\":\"too much is being sent at the moment\"}",
		              true);
	if (rc || caller_has_gone(c->fd))
		goto out;
	query = strchr(msg.url.data ? msg.url.data : "", '?');
	if (query)
		*query++ = 0;
	req.query = query ? query : "";
	req.method = (enum http_method)msg.parser.method;
	req.path = msg.url.data ? msg.url.data : "";
	req.body = msg.body.data ? msg.body.data : "";
	req.body_len = msg.body.len;
	c->server->handler(c->server->ctx, &req, &resp);
	keep = msg.keep_alive && !resp.close && !nearly_full(c->server);
	if (send_response(c->fd, &resp, keep) != 0)
		keep = false;
out:
	free(resp.body);
	fl_msg_free(&msg);
	return keep;
}

static void serve_conn(void *arg)
{
	struct conn *c = arg;

	while (!fl_cancelled() && serve_one(c))
		;
	fl_close(c->fd);
	c->server->conns--;
	free(c);
}

static void accept_loop(void *arg)
{
	struct fl_http_server *s = arg;

	while (!fl_cancelled()) {
		struct conn *c;
		int one = 1;
		int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			int rc = errno == EAGAIN ? fl_wait_io(s->fd, EV_READ, -1)
			                         : fl_sleep(tunables.pause_s);
			if (rc == -ECANCELED)
				break;
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, 1 /* TCP_NODELAY */, &one, sizeof(one));
		c = s->conns < s->max_conns ? malloc(sizeof(*c)) : NULL;
		if (c) {
			c->server = s;
			c->fd = fd;
			if (fl_spawn(serve_conn, c)) {
				s->conns++;
				continue;
			}
			free(c);
		}
		fl_error("transport", "no room for a connection (%d open)", s->conns);
		close(fd);
	}
	fl_close(s->fd);
	s->fd = -1;
}

struct fl_http_server *fl_http_serve(const char *addr, int max_conns, double idle_s,
                                     fl_handler handler, void *ctx)
{
	struct fl_http_server *s;
	struct sockaddr_in sa;
	int one = 1;

	if (fl_parse_addr(addr, &sa) != 0) {
		errno = EINVAL;
		return NULL;
	}
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->handler = handler;
	s->ctx = ctx;
	s->max_conns = max_conns;
	s->idle_s = idle_s;
	s->fd = fl_socket();
	if (s->fd < 0)
		goto fail;
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 || listen(s->fd, 512) != 0)
		goto fail;
	if (!fl_spawn(accept_loop, s)) {
		errno = ENOMEM;
		goto fail;
	}
	return s;
fail:
	if (s->fd >= 0)
		close(s->fd);
	free(s);
	return NULL;
}

int fl_http_server_port(const struct fl_http_server *s)
{
	struct sockaddr_in sa = {0};
	socklen_t len = sizeof(sa);

	if (getsockname(s->fd, (struct sockaddr *)&sa, &len) != 0)
		return -1;
	return ntohs(sa.sin_port);
}
