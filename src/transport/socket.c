#include "transport/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <limits.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

int fl_address_parse(const char *text, struct sockaddr_in *out)
{
	char host[64];
	const char *colon = strrchr(text, ':');
	size_t host_length;
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return -EINVAL;
	host_length = (size_t)(colon - text);
	memcpy(host, text, host_length);
	host[host_length] = 0;
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 0 || port > 65535)
		return -EINVAL;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

void fl_socket_set_no_delay(int fd)
{
	int enabled = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

int fl_socket_open(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -errno;
	fl_socket_set_no_delay(fd);
	return fd;
}

int fl_raise_open_file_limit(int count)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return count; /* the limit is unknown and assumed to suffice */
	if (limit.rlim_cur < (rlim_t)count) {
		limit.rlim_cur = limit.rlim_max < (rlim_t)count ? limit.rlim_max : (rlim_t)count;
		if (setrlimit(RLIMIT_NOFILE, &limit) != 0 && getrlimit(RLIMIT_NOFILE, &limit) != 0)
			return count;
	}
	return limit.rlim_cur > INT_MAX ? INT_MAX : (int)limit.rlim_cur;
}
