#include "transport/http_client.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/socket_io.h"

static const struct {
	size_t max_body_bytes;
} tunables = {
	.max_body_bytes = 8UL * 1024 * 1024, /* a full page of the key-value store and a margin */
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

/* Waits for the end of a connect in progress; returns 0 or a negative errno. */
static int await_connect(int fd, double timeout_s)
{
	socklen_t length = sizeof(int);
	int error = 0;
	int rc = fl_io_wait(fd, EV_WRITE, timeout_s);

	if (rc)
		return rc;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
		return -errno;
	return -error;
}

/* Opens a connection to the server; returns its socket or a negative errno. */
static int open_connection(struct fl_http_client *client, double timeout_s)
{
	int fd = fl_socket_open();
	int rc;

	if (fd < 0)
		return fd;
	if (connect(fd, (struct sockaddr *)&client->addr, sizeof(client->addr)) == 0)
		return fd;
	rc = errno == EINPROGRESS ? await_connect(fd, timeout_s) : -errno;
	if (rc == 0)
		return fd;
	fl_socket_close(fd);
	return rc;
}

/* Keeps the connection for another request if the server and `max_idle` allow it. */
static void keep_or_close_connection(struct fl_http_client *client, int fd, bool keep_alive)
{
	if (!keep_alive || client->idle_count >= client->max_idle) {
		fl_socket_close(fd);
		return;
	}
	fl_io_unregister(fd);
	client->idle_fds[client->idle_count++] = fd;
}

static int encode_request(const char *method, const char *path, const char *body,
                          struct fl_buffer *out)
{
	size_t body_length = body ? strlen(body) : 0;
	int rc = fl_buffer_printf(
		out,
		"%s %s HTTP/1.1\r\nHost: fawnlead\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n\r\n",
		method, path, body_length);

	if (!rc && body_length > 0)
		rc = fl_buffer_append(out, body, body_length);
	return rc;
}

/* Sends a request over a connection and reads its response. */
static int round_trip(int fd, const struct fl_buffer *request, double deadline,
                      struct fl_http_message *response)
{
	int rc = fl_write_all(fd, request->data, request->length, deadline - fl_now());

	if (rc)
		return rc;
	return fl_http_message_read(response, fd, deadline - fl_now());
}

/*
 * Sends a request, over an idle connection if there is one, and reads its response. Sets
 * `*sent_repeatedly` if it had to be sent over another connection, too.
 */
static int send_request(struct fl_http_client *client, const struct fl_buffer *request,
                        double deadline, struct fl_http_message *response, bool *sent_repeatedly)
{
	for (;;) {
		bool reused = client->idle_count > 0;
		int fd = reused ? client->idle_fds[--client->idle_count]
		                : open_connection(client, deadline - fl_now());
		int rc;

		if (fd < 0)
			return fd;
		rc = round_trip(fd, request, deadline, response);
		if (rc != -ECONNRESET || !reused || response->started) {
			keep_or_close_connection(client, fd, !rc && response->keep_alive);
			return rc;
		}
		/* The server probably closed the idle connection before reading: try another. */
		*sent_repeatedly = true;
		fl_socket_close(fd);
		/* A parser that has seen the end of a connection cannot parse another response. */
		fl_http_message_free(response);
		fl_http_message_init(response, HTTP_RESPONSE, tunables.max_body_bytes);
	}
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	double deadline = fl_now() + timeout_s;
	struct fl_buffer request = {0};
	struct fl_http_message response;
	int rc;

	memset(out, 0, sizeof(*out));
	fl_http_message_init(&response, HTTP_RESPONSE, tunables.max_body_bytes);
	rc = encode_request(method, path, body, &request);
	if (!rc)
		rc = send_request(client, &request, deadline, &response, &out->sent_repeatedly);
	if (rc)
		goto out;
	out->status = response.parser.status_code;
	out->body = response.body;
	memset(&response.body, 0, sizeof(response.body));
	if (!out->body.data)
		rc = fl_buffer_append(&out->body, "", 0);
out:
	fl_buffer_free(&request);
	fl_http_message_free(&response);
	return rc;
}
