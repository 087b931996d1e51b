#include "transport/socket_io.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/clock.h"
#include "transport/coroutine.h"

ssize_t fl_socket_receive(int fd, char *bytes, size_t capacity)
{
	return recv(fd, bytes, capacity, 0);
}

bool fl_socket_peer_has_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool fl_socket_has_unread_bytes(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void fl_socket_stop_receiving(int fd) { shutdown(fd, SHUT_RD); }

void fl_socket_peer_name(int fd, char *out, size_t size)
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);
	char host[INET_ADDRSTRLEN];

	if (getpeername(fd, (struct sockaddr *)&address, &length) == 0 &&
	    inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host)))
		snprintf(out, size, "%s:%d", host, ntohs(address.sin_port));
	else
		snprintf(out, size, "unknown");
}

void fl_socket_stop_sending(int fd) { shutdown(fd, SHUT_WR); }

void fl_socket_close(int fd)
{
	fl_io_unregister(fd);
	close(fd);
}

int fl_write_all(int fd, const char *bytes, size_t count, double timeout_s)
{
	double deadline = fl_now() + timeout_s;

	while (count > 0) {
		ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);
		double remaining_s;
		int rc;

		if (sent > 0) {
			bytes += sent;
			count -= (size_t)sent;
			continue;
		}
		if (sent == 0 || (errno != EAGAIN && errno != EINTR))
			return -ECONNRESET;
		remaining_s = deadline - fl_now();
		rc = remaining_s > 0 ? fl_io_wait(fd, EV_WRITE, remaining_s) : -ETIMEDOUT;
		if (rc)
			return rc;
	}
	return 0;
}
