#include "transport/http_client.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/clock.h"
#include "transport/routine.h"

static const struct {
	size_t max_body;
} tunables = {
	.max_body =
		8UL * 1024 * 1024, /* bytes; a full page of the state service and some to spare */
};

int fl_http_client_init(struct fl_http_client *c, const char *addr, int max_idle)
{
	memset(c, 0, sizeof(*c));
	c->max_idle = max_idle > FL_IDLE_MAX ? FL_IDLE_MAX : max_idle;
	return fl_parse_addr(addr, &c->addr);
}

void fl_http_client_close(struct fl_http_client *c)
{
	while (c->idles > 0)
		close(c->idle[--c->idles]);
}

static int open_conn(struct fl_http_client *c, double timeout_s)
{
	int fd = fl_socket();
	socklen_t len = sizeof(int);
	int err = 0, rc;

	if (fd < 0)
		return -errno;
	if (connect(fd, (struct sockaddr *)&c->addr, sizeof(c->addr)) == 0)
		return fd;
	rc = errno == EINPROGRESS ? fl_wait_io(fd, EV_WRITE, timeout_s) : -errno;
	if (!rc && getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0)
		rc = -errno;
	if (!rc && err)
		rc = -err;
	if (rc) {
		fl_close(fd);
		return rc;
	}
	return fd;
}

static int exchange(int fd, const struct fl_buf *req, double until, struct fl_msg *msg)
{
	int rc = fl_write_all(fd, req->data, req->len, until - fl_now());

	if (rc)
		return rc;
	return fl_msg_read(msg, fd, until - fl_now());
}

int fl_http_call(struct fl_http_client *c, const char *method, const char *path, const char *body,
                 double timeout_s, struct fl_reply *out)
{
	double until = fl_now() + timeout_s;
	size_t body_len = body ? strlen(body) : 0;
	struct fl_buf req = {0};
	struct fl_msg msg;
	bool reused;
	int fd, rc;

	memset(out, 0, sizeof(*out));
	fl_msg_init(&msg, HTTP_RESPONSE, tunables.max_body);
	rc = fl_buf_printf(&req,
	                   "%s %s HTTP/1.1\r\nHost: fawnlead\r\nContent-Type: application/json\r\n"
	                   "Content-Length: %zu\r\n\r\n",
	                   method, path, body_len);
	if (!rc && body_len > 0)
		rc = fl_buf_add(&req, body, body_len);
	if (rc)
		goto out;
	do {
		/* A parser that has seen an end cannot read another connection. */
		fl_msg_free(&msg);
		fl_msg_init(&msg, HTTP_RESPONSE, tunables.max_body);
		reused = c->idles > 0;
		fd = reused ? c->idle[--c->idles] : open_conn(c, until - fl_now());
		if (fd < 0) {
			rc = fd;
			goto out;
		}
		rc = exchange(fd, &req, until, &msg);
		/* The peer closed a kept connection before it saw this request: use another. */
	} while (rc == -ECONNRESET && reused && !msg.started && (fl_close(fd), true));
	if (!rc && msg.keep_alive && c->idles < c->max_idle) {
		fl_unregister_io(fd);
		c->idle[c->idles++] = fd;
	} else {
		fl_close(fd);
	}
	if (rc)
		goto out;
	out->status = msg.parser.status_code;
	out->body = msg.body;
	memset(&msg.body, 0, sizeof(msg.body));
	if (!out->body.data)
		rc = fl_buf_add(&out->body, "", 0);
out:
	fl_buf_free(&req);
	fl_msg_free(&msg);
	return rc;
}
