/*
 * Requests that arrive slowly, in pieces, or not in full, in virtual time: a status that users take
 * as final is given only to a request that was received whole.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_sockets.h"
#include "sim_time.h"
#include "transport/clock.h"
#include "transport/http_connection.h"
#include "virtual_time_fixture.h"

enum { BODY_BYTES = 57000, OVERSIZED_BODY_BYTES = 70000, CONNECTIONS_MAX = 512 };

static const double idle_timeout_s = 90;
/* Users wait 5 s for the response to a submission; an answer takes a moment. */
static const double sending_times_s[] = {0, 1, 3.9, 4.1, 4.4, 4.9};
/* A connection whose request stays incomplete is closed within this time of its first byte. */
static const double request_time_limit_s = 7;

/* No process of this test is slow. */
void sim_process_delay_if_slow(int process) { (void)process; }

static int served_count;

static void echo_body(void *context, const struct fl_http_request *request,
                      struct fl_http_response *response)
{
	(void)context;
	served_count++;
	response->status = 200;
	response->body = strdup(request->body);
}

static struct fl_http_endpoint endpoint = {
	.connection_limit = CONNECTIONS_MAX,
	.idle_timeout_s = 90,
	.handler = echo_body,
};

static void serve_socket(void *arg) { fl_http_connection_serve(&endpoint, *(const int *)arg); }

/* Returns a request with a body of `count` bytes, to be freed. */
static char *encode_request(size_t count, bool chunked)
{
	struct fl_buffer text = {0};
	char *body = malloc(count + 1);

	assert_non_null(body);
	memset(body, 'x', count);
	body[count] = 0;
	if (chunked)
		fl_buffer_printf(&text,
		                 "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		                 "%zx\r\n%s\r\n0\r\n\r\n",
		                 count, body);
	else
		fl_buffer_printf(&text, "POST /x HTTP/1.1\r\nContent-Length: %zu\r\n\r\n%s", count,
		                 body);
	free(body);
	return text.data;
}

/* What came of a request: the status of the response, 0 for none, and when the socket was closed.
 */
struct outcome {
	int status;
	double closed_after_s; /* since the first byte; -1: it is open */
};

static struct outcome send_text(const char *text, const struct sim_transmission *transmission)
{
	struct outcome outcome = {0};
	double started_at = fl_now() + transmission->idle_s;
	int fd = sim_socket_open(text, strlen(text), transmission);

	served_count = 0;
	sim_spawn(0, serve_socket, &fd);
	sim_time_run(started_at + transmission->duration_s + request_time_limit_s);
	if (strlen(sim_socket_output(fd)) > 12)
		outcome.status = atoi(sim_socket_output(fd) + strlen("HTTP/1.1 "));
	outcome.closed_after_s =
		sim_socket_closed_at(fd) > 0 ? sim_socket_closed_at(fd) - started_at : -1;
	sim_time_run(started_at + 2 * idle_timeout_s);
	assert_true(sim_socket_closed_at(fd) > 0);
	sim_socket_free(fd);
	return outcome;
}

static struct outcome send_request(size_t body_bytes, bool chunked,
                                   const struct sim_transmission *transmission)
{
	char *text = encode_request(body_bytes, chunked);
	struct outcome outcome = send_text(text, transmission);

	free(text);
	return outcome;
}

static bool is_final(int status) { return status == 400 || status == 404 || status == 422; }

/* Guards against `forgotten`: a repeated submission whose body took over 4 s got 400. */
static void a_request_sent_within_the_users_timeout_is_served(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(sending_times_s) / sizeof(sending_times_s[0]); i++) {
		for (int pieces = 1; pieces <= 400; pieces = pieces * 7 + 1) {
			const struct sim_transmission transmission = {.duration_s =
			                                                      sending_times_s[i],
			                                              .piece_count = pieces,
			                                              .sent_share = 1};

			assert_int_equal(send_request(BODY_BYTES, false, &transmission).status,
			                 200);
			assert_int_equal(send_request(BODY_BYTES, true, &transmission).status, 200);
			assert_int_equal(send_request(0, false, &transmission).status, 200);
		}
	}
}

static void a_request_that_begins_as_its_connection_has_been_idle_for_long_is_served(void **state)
{
	const struct sim_transmission transmission = {
		.idle_s = 89.5, .duration_s = 4, .piece_count = 5, .sent_share = 1};

	(void)state;
	assert_int_equal(send_request(BODY_BYTES, false, &transmission).status, 200);
}

/* Guards against `forgotten`, and against connections that stay occupied. */
static void an_incomplete_request_gets_no_final_status_and_its_connection_is_closed(void **state)
{
	static const double shares[] = {0.0002, 0.0005, 0.01, 0.5, 0.999};

	(void)state;
	for (size_t i = 0; i < sizeof(shares) / sizeof(shares[0]); i++) {
		for (int form = 0; form < 4; form++) {
			const struct sim_transmission transmission = {.duration_s = 0.3,
			                                              .piece_count = 3,
			                                              .sent_share = shares[i],
			                                              .closes_at_end = form & 1};
			struct outcome outcome = send_request(BODY_BYTES, form & 2, &transmission);

			assert_false(is_final(outcome.status));
			assert_int_equal(served_count, 0);
			assert_true(outcome.closed_after_s >= 0);
			assert_true(outcome.closed_after_s <= request_time_limit_s);
		}
	}
}

/* A sender that never pauses for long must not hold its connection, either. */
static void
a_request_sent_too_slowly_gets_no_final_status_and_its_connection_is_closed(void **state)
{
	const struct sim_transmission transmission = {
		.duration_s = 60, .piece_count = 600, .sent_share = 1};
	struct outcome outcome;

	(void)state;
	outcome = send_request(BODY_BYTES, false, &transmission);
	assert_false(is_final(outcome.status));
	assert_int_equal(served_count, 0);
	assert_true(outcome.closed_after_s >= 0 && outcome.closed_after_s <= request_time_limit_s);
}

/* Users retry after 413, so a body that is too large gets 400, but only once it is whole. */
static void an_oversized_body_is_malformed_only_when_it_is_whole(void **state)
{
	const struct sim_transmission whole = {.duration_s = 3, .piece_count = 30, .sent_share = 1};
	const struct sim_transmission half = {
		.duration_s = 1, .piece_count = 10, .sent_share = 0.5};

	(void)state;
	for (int chunked = 0; chunked < 2; chunked++) {
		assert_int_equal(send_request(OVERSIZED_BODY_BYTES, chunked, &whole).status, 400);
		assert_false(is_final(send_request(OVERSIZED_BODY_BYTES, chunked, &half).status));
	}
	assert_int_equal(served_count, 0);
}

static void a_whole_request_that_is_not_http_is_malformed(void **state)
{
	const struct sim_transmission at_once = {.piece_count = 1, .sent_share = 1};

	(void)state;
	assert_int_equal(send_text("no HTTP at all\r\n\r\n", &at_once).status, 400);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		VIRTUAL_TIME_TEST(a_request_sent_within_the_users_timeout_is_served),
		VIRTUAL_TIME_TEST(
			a_request_that_begins_as_its_connection_has_been_idle_for_long_is_served),
		VIRTUAL_TIME_TEST(
			an_incomplete_request_gets_no_final_status_and_its_connection_is_closed),
		VIRTUAL_TIME_TEST(
			a_request_sent_too_slowly_gets_no_final_status_and_its_connection_is_closed),
		VIRTUAL_TIME_TEST(an_oversized_body_is_malformed_only_when_it_is_whole),
		VIRTUAL_TIME_TEST(a_whole_request_that_is_not_http_is_malformed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
