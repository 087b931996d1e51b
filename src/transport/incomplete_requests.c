#include "transport/incomplete_requests.h"

#include <math.h>
#include <utlist.h>

#include "transport/clock.h"
#include "transport/socket_io.h"

static struct fl_http_message *incomplete_requests;

void fl_incomplete_requests_add(struct fl_http_message *request, int fd)
{
	request->fd = fd;
	request->is_listed = true;
	DL_APPEND(incomplete_requests, request);
}

void fl_incomplete_requests_remove(struct fl_http_message *request)
{
	if (!request->is_listed)
		return;
	request->is_listed = false;
	DL_DELETE(incomplete_requests, request);
}

static double bytes_per_s(const struct fl_http_message *request, double age_s)
{
	return age_s > 0 ? (double)request->received_bytes / age_s : INFINITY;
}

/* Bytes that this process has not read yet show that the delay is not the client's. */
static struct fl_http_message *find_slowest(const struct fl_http_endpoint *endpoint,
                                            double min_age_s)
{
	struct fl_http_message *request, *slowest = NULL;
	double now = fl_now(), lowest_rate = INFINITY;

	DL_FOREACH(incomplete_requests, request)
	{
		double age_s = now - request->started_at;
		double rate = bytes_per_s(request, age_s);

		if ((endpoint && request->endpoint != endpoint) || age_s < min_age_s ||
		    (slowest && rate >= lowest_rate) || fl_socket_has_unread_bytes(request->fd))
			continue;
		slowest = request;
		lowest_rate = rate;
	}
	return slowest;
}

const struct fl_http_message *
fl_incomplete_requests_evict_slowest(const struct fl_http_endpoint *endpoint, double min_age_s,
                                     const struct fl_http_message *spared)
{
	struct fl_http_message *slowest = find_slowest(endpoint, min_age_s);

	if (!slowest || slowest == spared)
		return slowest;
	slowest->evicted = true;
	fl_incomplete_requests_remove(slowest);
	fl_http_message_free_body(slowest);
	fl_socket_stop_receiving(slowest->fd);
	return slowest;
}
