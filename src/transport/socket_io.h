/*
 * Reading, writing and closing of connected sockets by coroutines. The simulation of the tests
 * defines these functions, and fl_io_wait(), for connections in virtual time.
 */
#ifndef FL_TRANSPORT_SOCKET_IO_H
#define FL_TRANSPORT_SOCKET_IO_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/*
 * Reads bytes that have arrived, without waiting. Returns their number, 0 at the end of the
 * connection, or -1 with errno set: EAGAIN if nothing has arrived.
 */
ssize_t fl_socket_receive(int fd, char *bytes, size_t capacity);
/*
 * Writes all bytes, waiting in the current coroutine; returns 0, -ECONNRESET, -ETIMEDOUT or
 * -ECANCELED.
 */
int fl_write_all(int fd, const char *bytes, size_t count, double timeout_s);
/* Returns whether the peer has closed the connection and all bytes that it sent were read. */
bool fl_socket_peer_has_closed(int fd);
/* Returns whether bytes have arrived that were not read. */
bool fl_socket_has_unread_bytes(int fd);
/* Ends the receiving side: a coroutine that waits for bytes is woken, as at the connection's end.
 */
void fl_socket_stop_receiving(int fd);
/* Tells the peer that no more bytes will be sent; bytes from the peer can still be read. */
void fl_socket_stop_sending(int fd);
/* Writes the peer's address, "1.2.3.4:80", or "unknown" if the socket is not connected. */
void fl_socket_peer_name(int fd, char *out, size_t size);
/* Closes a socket that the current coroutine has used. */
void fl_socket_close(int fd);

#endif
