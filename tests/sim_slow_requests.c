/*
 * Requests to controllers that arrive late on their connection, slowly, in pieces, half, or twice:
 * the controllers' own code reads them from connections in virtual time.
 */
#include "sim.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_sockets.h"
#include "transport/http_connection.h"

static const struct {
	double idle_s;            /* longest time before the first byte */
	double user_duration_s;   /* longest time from the first byte to the last */
	double worker_duration_s; /* the same for heartbeats */
	double half_sent_share;   /* of the slow requests */
	double late_share;        /* of the slow requests: sent after the client has given up */
	double late_duration_s;   /* longest time for these */
	int pieces_max;
} tunables = {1.5, 3, 2.5, 0.15, 0.1, 20, 40};

bool sim_request_is_slow(struct sim_endpoint from, struct sim_endpoint to)
{
	const struct sim_fault *fault = sim_fault_active(FAULT_SLOW_REQUESTS, -1);

	return fault && to.kind == ENDPOINT_NODE && sim_chance(fault->magnitude) &&
	       (from.kind == ENDPOINT_USER || from.kind == ENDPOINT_WORKER);
}

static struct sim_transmission random_transmission(struct sim_endpoint from)
{
	struct sim_transmission transmission = {.sent_share = 1, .closes_at_end = false};
	double longest_s =
		from.kind == ENDPOINT_USER ? tunables.user_duration_s : tunables.worker_duration_s;

	transmission.idle_s = sim_random_between(0, tunables.idle_s);
	if (sim_chance(tunables.late_share))
		longest_s = tunables.late_duration_s;
	transmission.duration_s = sim_random_between(0, longest_s);
	transmission.piece_count = 1 + sim_random_index(tunables.pieces_max);
	if (sim_chance(tunables.half_sent_share)) {
		transmission.sent_share = sim_random_between(0.01, 0.99);
		transmission.closes_at_end = sim_chance(0.5);
	}
	return transmission;
}

/* Reads the status and the body of a response; returns -ECONNRESET if there is none. */
static int decode_response(const char *text, struct fl_http_response *response)
{
	const char *body = strstr(text, "\r\n\r\n");
	int status;

	if (!body || sscanf(text, "HTTP/1.1 %d", &status) != 1)
		return -ECONNRESET;
	response->status = status;
	response->body = strdup(body + strlen("\r\n\r\n"));
	return 0;
}

int sim_serve_slow_request(struct sim_endpoint from, const struct sim_text_request *request,
                           fl_http_handler handler, void *context,
                           struct fl_http_response *response)
{
	const struct fl_http_endpoint endpoint = {.connection_limit = 1000,
	                                          .idle_timeout_s = 30,
	                                          .handler = handler,
	                                          .context = context};
	struct sim_transmission transmission = random_transmission(from);
	struct fl_buffer text = {0};
	int fd, rc;

	fl_buffer_printf(&text,
	                 "%s %s HTTP/1.1\r\nHost: controllers\r\nConnection: close\r\n"
	                 "Content-Length: %zu\r\n\r\n%s",
	                 request->method, request->path, strlen(request->body), request->body);
	fd = sim_socket_open(text.data, text.length, &transmission);
	fl_buffer_free(&text);
	fl_http_connection_serve(&endpoint, fd);
	rc = decode_response(sim_socket_output(fd), response);
	sim_socket_free(fd);
	return rc;
}
