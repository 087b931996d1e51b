#include "transport/http_client.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/clock.h"
#include "transport/coroutine.h"

static const struct {
	size_t max_body;
} tunables = {
	.max_body =
		8UL * 1024 * 1024, /* bytes; a full page of the state service and some to spare */
};

int fl_http_client_init(struct fl_http_client *client, const char *addr, int max_idle)
{
	memset(client, 0, sizeof(*client));
	client->max_idle =
		max_idle > FL_HTTP_IDLE_CONNECTIONS_MAX ? FL_HTTP_IDLE_CONNECTIONS_MAX : max_idle;
	return fl_address_parse(addr, &client->addr);
}

void fl_http_client_close(struct fl_http_client *client)
{
	while (client->idle_count > 0)
		close(client->idle_fds[--client->idle_count]);
}

static int open_conn(struct fl_http_client *client, double timeout_s)
{
	int fd = fl_socket();
	socklen_t len = sizeof(int);
	int err = 0, rc;

	if (fd < 0)
		return -errno;
	if (connect(fd, (struct sockaddr *)&client->addr, sizeof(client->addr)) == 0)
		return fd;
	rc = errno == EINPROGRESS ? fl_io_wait(fd, EV_WRITE, timeout_s) : -errno;
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

static int exchange(int fd, const struct fl_buffer *req, double until,
                    struct fl_http_message *message)
{
	int rc = fl_write_all(fd, req->data, req->length, until - fl_now());

	if (rc)
		return rc;
	return fl_http_message_read(message, fd, until - fl_now());
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	double until = fl_now() + timeout_s;
	size_t body_len = body ? strlen(body) : 0;
	struct fl_buffer req = {0};
	struct fl_http_message message;
	bool reused;
	int fd, rc;

	memset(out, 0, sizeof(*out));
	fl_http_message_init(&message, HTTP_RESPONSE, tunables.max_body);
	rc = fl_buffer_printf(
		&req,
		"%s %s HTTP/1.1\r\nHost: fawnlead\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n\r\n",
		method, path, body_len);
	if (!rc && body_len > 0)
		rc = fl_buffer_append(&req, body, body_len);
	if (rc)
		goto out;
	do {
		/* A parser that has seen an end cannot read another connection. */
		fl_http_message_free(&message);
		fl_http_message_init(&message, HTTP_RESPONSE, tunables.max_body);
		reused = client->idle_count > 0;
		fd = reused ? client->idle_fds[--client->idle_count]
		            : open_conn(client, until - fl_now());
		if (fd < 0) {
			rc = fd;
			goto out;
		}
		rc = exchange(fd, &req, until, &message);
		/* The peer closed a kept connection before it saw this request: use another. */
	} while (rc == -ECONNRESET && reused && !message.started && (fl_close(fd), true));
	if (!rc && message.keep_alive && client->idle_count < client->max_idle) {
		fl_io_unregister(fd);
		client->idle_fds[client->idle_count++] = fd;
	} else {
		fl_close(fd);
	}
	if (rc)
		goto out;
	out->status = message.parser.status_code;
	out->body = message.body;
	memset(&message.body, 0, sizeof(message.body));
	if (!out->body.data)
		rc = fl_buffer_append(&out->body, "", 0);
out:
	fl_buffer_free(&req);
	fl_http_message_free(&message);
	return rc;
}
