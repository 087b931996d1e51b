/*
 * Connected sockets in virtual time, which replace transport/socket_io.c: the bytes of a request
 * arrive piece by piece, and the bytes of the response are kept.
 */
#ifndef FL_TESTS_SIM_SOCKETS_H
#define FL_TESTS_SIM_SOCKETS_H

#include <stdbool.h>
#include <stddef.h>

/* How a request is sent over a connection. */
struct sim_transmission {
	double idle_s;      /* time before the first byte */
	double duration_s;  /* time from the first byte to the last, sent evenly */
	int piece_count;    /* at least 1 */
	double sent_share;  /* of the bytes; below 1, the rest never arrives */
	bool closes_at_end; /* the sending side is closed after the last byte; otherwise silence */
};

/* Opens a connection on which `bytes` arrive as described; returns its descriptor. */
int sim_socket_open(const char *bytes, size_t count, const struct sim_transmission *transmission);
/* Returns the bytes written to the connection so far, NUL-terminated; valid until it is freed. */
const char *sim_socket_output(int fd);
/* Returns the time at which the server closed the connection; 0: it is open. */
double sim_socket_closed_at(int fd);
/* Frees a connection on which no coroutine waits. */
void sim_socket_free(int fd);

#endif
