#include "transport/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/incomplete_requests.h"
#include "transport/log.h"
#include "transport/socket.h"
#include "transport/socket_io.h"

static const struct {
	double accept_retry_s, slow_request_s, log_interval_s;
} tunables = {
	.accept_retry_s = 0.05, /* without this delay, failing accepts would spin */
	.slow_request_s = 0.1, /* the bytes of a request from a client that is not slow take less */
	.log_interval_s = 1.0, /* between lines about rejected connections */
};

/* Maximum number of connections that the kernel queues until they are accepted. */
enum { LISTEN_BACKLOG = 512 };

struct fl_http_server {
	int fd;
	struct fl_http_endpoint endpoint;
};

/* A connection, owned by its coroutine. */
struct connection {
	struct fl_http_endpoint *endpoint;
	int fd;
};

static void run_connection(void *arg)
{
	struct connection *connection = arg;

	fl_http_connection_serve(connection->endpoint, connection->fd);
	connection->endpoint->connection_count--;
	free(connection);
}

/* Starts the coroutine of an accepted connection; false at the limit or when out of memory. */
static bool start_connection(struct fl_http_endpoint *endpoint, int fd)
{
	struct connection *connection;

	if (endpoint->connection_count >= endpoint->connection_limit)
		return false;
	connection = malloc(sizeof(*connection));
	if (!connection)
		return false;
	connection->endpoint = endpoint;
	connection->fd = fd;
	if (!fl_coroutine_spawn(run_connection, connection)) {
		free(connection);
		return false;
	}
	endpoint->connection_count++;
	return true;
}

/* At the connection limit, evicts the slowest request, and lets its connection end. */
static void make_room(const struct fl_http_endpoint *endpoint)
{
	if (endpoint->connection_count >= endpoint->connection_limit &&
	    fl_incomplete_requests_evict_slowest(endpoint, tunables.slow_request_s, NULL))
		fl_sleep(0);
}

static void log_rejected_connection(const struct fl_http_endpoint *endpoint)
{
	static struct fl_log_limit limit;
	unsigned suppressed;

	if (fl_log_limit_take(&limit, tunables.log_interval_s, fl_now(), &suppressed))
		fl_error("transport",
		         "connection rejected: limit reached or out of memory open=%d limit=%d "
		         "suppressed=%u",
		         endpoint->connection_count, endpoint->connection_limit, suppressed);
}

static void accept_connections(void *arg)
{
	struct fl_http_server *server = arg;

	while (!fl_coroutine_cancelled()) {
		int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			int rc = errno == EAGAIN ? fl_io_wait(server->fd, EV_READ, -1)
			                         : fl_sleep(tunables.accept_retry_s);
			if (rc == -ECANCELED)
				break;
			continue;
		}
		fl_socket_set_no_delay(fd);
		make_room(&server->endpoint);
		if (start_connection(&server->endpoint, fd))
			continue;
		log_rejected_connection(&server->endpoint);
		close(fd);
	}
	fl_socket_close(server->fd);
	server->fd = -1;
}

/* Opens a socket that listens on the address; returns it or a negative errno. */
static int open_listening_socket(const struct sockaddr_in *address)
{
	int enabled = 1;
	int fd = fl_socket_open();

	if (fd < 0)
		return fd;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		int error = errno;

		close(fd);
		return -error;
	}
	return fd;
}

struct fl_http_server *fl_http_serve(const char *addr, int max_connections, double idle_timeout_s,
                                     fl_http_handler handler, void *context)
{
	struct fl_http_server *server;
	struct sockaddr_in address;
	int fd;

	if (fl_address_parse(addr, &address) != 0) {
		errno = EINVAL;
		return NULL;
	}
	server = calloc(1, sizeof(*server));
	if (!server)
		return NULL;
	server->endpoint = (struct fl_http_endpoint){.connection_limit = max_connections,
	                                             .idle_timeout_s = idle_timeout_s,
	                                             .handler = handler,
	                                             .context = context};
	fd = open_listening_socket(&address);
	if (fd < 0) {
		free(server);
		errno = -fd;
		return NULL;
	}
	server->fd = fd;
	if (!fl_coroutine_spawn(accept_connections, server)) {
		close(fd);
		free(server);
		errno = ENOMEM;
		return NULL;
	}
	return server;
}

void fl_http_server_limit_body(struct fl_http_server *server, const char *path, size_t max_bytes)
{
	server->endpoint.body_limit = (struct fl_http_body_limit){path, max_bytes};
}

int fl_http_server_port(const struct fl_http_server *server)
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);

	if (getsockname(server->fd, (struct sockaddr *)&address, &length) != 0)
		return -errno;
	return ntohs(address.sin_port);
}
