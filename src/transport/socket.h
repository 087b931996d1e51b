/* TCP sockets, IPv4 addresses, and the process's limit of open files. */
#ifndef FL_TRANSPORT_SOCKET_H
#define FL_TRANSPORT_SOCKET_H

#include <netinet/in.h>
#include <stddef.h>

/* Parses "1.2.3.4:80", an IPv4 address (no host name) and a port; returns 0 or -EINVAL. */
int fl_address_parse(const char *text, struct sockaddr_in *out);
/* Opens a non-blocking TCP socket without Nagle's algorithm; returns it or a negative errno. */
int fl_socket_open(void);
/* Disables Nagle's algorithm, so that small messages are sent at once. */
void fl_socket_set_no_delay(int fd);
/* Raises the limit of open files to `count` or as far as permitted; returns the limit. */
int fl_raise_open_file_limit(int count);

#endif
