/* Connected sockets in virtual time: see sim_sockets.h and transport/socket_io.h. */
#include "sim_sockets.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_time.h"
#include "transport/buffer.h"
#include "transport/clock.h"
#include "transport/socket_io.h"

enum { SOCKETS_MAX = 4096, FIRST_DESCRIPTOR = 1000 };

struct socket {
	char *input;
	size_t input_length; /* bytes that will arrive */
	struct sim_transmission transmission;
	double opened_at, closed_at;
	size_t read_count;
	bool receiving_stopped;
	struct fl_buffer output;
	struct fl_condition changed;
};

static struct socket *sockets[SOCKETS_MAX];

static struct socket *socket_of(int fd)
{
	sim_require(fd >= FIRST_DESCRIPTOR && fd < FIRST_DESCRIPTOR + SOCKETS_MAX);
	sim_require(sockets[fd - FIRST_DESCRIPTOR] != NULL);
	return sockets[fd - FIRST_DESCRIPTOR];
}

int sim_socket_open(const char *bytes, size_t count, const struct sim_transmission *transmission)
{
	struct socket *socket = calloc(1, sizeof(*socket));
	int index = 0;

	sim_require(socket != NULL && transmission->piece_count > 0);
	while (index < SOCKETS_MAX && sockets[index])
		index++;
	sim_require(index < SOCKETS_MAX);
	socket->input_length = (size_t)((double)count * transmission->sent_share);
	socket->input = malloc(count + 1);
	sim_require(socket->input != NULL);
	memcpy(socket->input, bytes, count);
	socket->transmission = *transmission;
	socket->opened_at = fl_now();
	sockets[index] = socket;
	return FIRST_DESCRIPTOR + index;
}

const char *sim_socket_output(int fd)
{
	const struct fl_buffer *output = &socket_of(fd)->output;

	return output->data ? output->data : "";
}

double sim_socket_closed_at(int fd) { return socket_of(fd)->closed_at; }

void sim_socket_free(int fd)
{
	struct socket *socket = socket_of(fd);

	sockets[fd - FIRST_DESCRIPTOR] = NULL;
	fl_buffer_free(&socket->output);
	free(socket->input);
	free(socket);
}

/* ---- arrival ---- */

/* Returns when the piece arrives; `piece` counts from 0. */
static double piece_arrives_at(const struct socket *socket, int piece)
{
	const struct sim_transmission *transmission = &socket->transmission;
	double share =
		transmission->piece_count > 1 ? (double)piece / (transmission->piece_count - 1) : 1;

	return socket->opened_at + transmission->idle_s + transmission->duration_s * share;
}

/* Returns how many bytes the first `pieces` pieces have. */
static size_t bytes_of_pieces(const struct socket *socket, int pieces)
{
	return socket->input_length * (size_t)pieces / (size_t)socket->transmission.piece_count;
}

static int pieces_arrived(const struct socket *socket)
{
	int pieces = 0;

	while (pieces < socket->transmission.piece_count &&
	       piece_arrives_at(socket, pieces) <= fl_now())
		pieces++;
	return pieces;
}

static bool has_ended(const struct socket *socket)
{
	bool all_arrived = pieces_arrived(socket) == socket->transmission.piece_count;

	return socket->receiving_stopped || (all_arrived && socket->transmission.closes_at_end);
}

static bool is_readable(const struct socket *socket)
{
	return bytes_of_pieces(socket, pieces_arrived(socket)) > socket->read_count ||
	       has_ended(socket);
}

/* Returns the time until the next piece arrives; infinity if none will. */
static double next_arrival_in_s(const struct socket *socket)
{
	int pieces = pieces_arrived(socket);

	if (pieces == socket->transmission.piece_count)
		return INFINITY;
	return piece_arrives_at(socket, pieces) - fl_now();
}

/* ---- the functions of transport/socket_io.h and fl_io_wait ---- */

void fl_io_unregister(int fd) { (void)fd; }

int fl_io_wait(int fd, int events, double timeout_s)
{
	struct socket *socket = socket_of(fd);
	double deadline = timeout_s < 0 ? INFINITY : fl_now() + timeout_s;

	while (!(events & EV_WRITE) && !is_readable(socket)) {
		double wait_s = fmin(next_arrival_in_s(socket), deadline - fl_now());
		int rc;

		if (fl_now() >= deadline)
			return -ETIMEDOUT;
		rc = fl_condition_wait(&socket->changed, isinf(wait_s) ? -1 : fmax(wait_s, 0));
		if (rc == -ECANCELED)
			return rc;
	}
	return fl_coroutine_cancelled() ? -ECANCELED : 0;
}

ssize_t fl_socket_receive(int fd, char *bytes, size_t capacity)
{
	struct socket *socket = socket_of(fd);
	size_t count = bytes_of_pieces(socket, pieces_arrived(socket)) - socket->read_count;

	if (count == 0 && !has_ended(socket)) {
		errno = EAGAIN;
		return -1;
	}
	if (count > capacity)
		count = capacity;
	memcpy(bytes, socket->input + socket->read_count, count);
	socket->read_count += count;
	return (ssize_t)count;
}

int fl_write_all(int fd, const char *bytes, size_t count, double timeout_s)
{
	(void)timeout_s;
	return fl_buffer_append(&socket_of(fd)->output, bytes, count);
}

bool fl_socket_peer_has_closed(int fd)
{
	const struct socket *socket = socket_of(fd);

	return has_ended(socket) && socket->read_count == socket->input_length;
}

bool fl_socket_has_unread_bytes(int fd)
{
	const struct socket *socket = socket_of(fd);

	return bytes_of_pieces(socket, pieces_arrived(socket)) > socket->read_count;
}

void fl_socket_stop_receiving(int fd)
{
	struct socket *socket = socket_of(fd);

	socket->receiving_stopped = true;
	fl_condition_broadcast(&socket->changed);
}

void fl_socket_peer_name(int fd, char *out, size_t size) { snprintf(out, size, "socket-%d", fd); }

void fl_socket_stop_sending(int fd) { (void)fd; }

void fl_socket_close(int fd) { socket_of(fd)->closed_at = fl_now(); }
