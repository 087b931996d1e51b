/* TCP sockets and IPv4 addresses, and how many files the process may have open. */
#ifndef FL_TRANSPORT_SOCKET_H
#define FL_TRANSPORT_SOCKET_H

#include <netinet/in.h>
#include <stddef.h>

/* Parses "1.2.3.4:80", no host names; 0 or -EINVAL. */
int fl_address_parse(const char *text, struct sockaddr_in *out);
/* A new TCP socket, non-blocking and without delay, or a negative errno. */
int fl_socket_open(void);
/* Disables Nagle's algorithm: small messages are sent at once. */
void fl_socket_set_no_delay(int fd);
/* Closes a socket that the current coroutine has used. */
void fl_socket_close(int fd);
/* Writes all bytes: 0, -ECONNRESET, -ETIMEDOUT or -ECANCELED. Waits in the current coroutine. */
int fl_write_all(int fd, const char *bytes, size_t count, double timeout_s);
/* Raises the limit of open files to `count`, as far as the system allows; returns the limit. */
int fl_raise_open_file_limit(int count);

#endif
