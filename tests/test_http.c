/* HTTP client and server on loopback: reuse of connections, limits, and addresses. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "http_fixture.h"
#include "transport/coroutine.h"
#include "transport/http_client.h"
#include "transport/socket_io.h"

enum {
	CONNECTIONS = 16,
	OVERSIZED_BODY_BYTES = 69999,  /* above the maximum of a request */
	HEARTBEAT_BODY_BYTES = 200000, /* the maximum of one path */
	LARGE_BODY_BYTES = 60000,
	BODY_MEMORY_LIMIT_BYTES = 100000, /* enough for one large body but not for two */
	FULL_SERVER_CONNECTIONS = 32,
	SLOW_PIECES = 20,
	HALF_SENT_REQUESTS = 4,
	FLOOD_CHUNK_BYTES = 60000,
	FLOOD_S = 15
};

static const double slow_sending_s = 4.4;

/* What the server and the client record; the test checks it after the run. */
struct exchange {
	int served_count;
	char responses[3][400];
};

static void echo_body(void *context, const struct fl_http_request *request,
                      struct fl_http_response *response)
{
	struct exchange *exchange = context;

	exchange->served_count++;
	response->status = 200;
	response->body = strdup(request->body);
	if (strcmp(request->path, "/close") == 0)
		response->close_connection = true;
	if (strcmp(request->path, "/slow") == 0)
		fl_sleep(5);
}

static void run_exchange(struct exchange *exchange, int max_connections,
                         void (*client)(const char *address, void *context))
{
	memset(exchange, 0, sizeof(*exchange));
	run_http_client(&(struct http_run){.max_connections = max_connections,
	                                   .handler = echo_body,
	                                   .client = client,
	                                   .context = exchange});
}

static void assert_starts_with(const char *text, const char *expected)
{
	assert_memory_equal(text, expected, strlen(expected));
}

static void assert_response(struct fl_http_client *client, const char *path, const char *body,
                            int status)
{
	struct fl_http_reply reply;

	assert_int_equal(fl_http_call(client, "POST", path, body, 5, &reply), 0);
	assert_int_equal(reply.status, status);
	if (status == 200)
		assert_string_equal(reply.body.data, body);
	fl_buffer_free(&reply.body);
}

static void make_repeated_calls(const char *address, void *context)
{
	struct fl_http_client client;
	struct fl_http_reply reply;
	char *oversized = malloc(OVERSIZED_BODY_BYTES + 1);

	(void)context;
	assert_int_equal(fl_http_client_init(&client, address, 2), 0);
	assert_response(&client, "/x", "{\"a\":1}", 200);
	assert_response(&client, "/close", "{\"a\":1}", 200);
	assert_response(&client, "/x", "{\"a\":1}", 200);
	/* An idle connection that was closed must not make the next call fail. */
	assert_int_equal(client.idle_count, 1);
	shutdown(client.idle_fds[0], SHUT_RDWR);
	assert_response(&client, "/x", "{}", 200);
	memset(oversized, 'x', OVERSIZED_BODY_BYTES);
	oversized[OVERSIZED_BODY_BYTES] = 0;
	/* The status is not 413, since users retry after any status other than 400 and 422. */
	assert_response(&client, "/x", oversized, 400);
	assert_int_equal(fl_http_call(&client, "POST", "/slow", "{}", 0.05, &reply), -ETIMEDOUT);
	free(oversized);
	fl_http_client_close(&client);
}

static void calls_reuse_connections_and_have_size_and_time_limits(void **state)
{
	struct exchange exchange;

	(void)state;
	run_exchange(&exchange, CONNECTIONS, make_repeated_calls);

	assert_int_equal(exchange.served_count, 5);
}

/* One path has a limit of its own, above that of the other paths. */
static void send_bodies_to_large_path(const char *address, void *context)
{
	struct fl_http_client client;
	char *large = malloc(HEARTBEAT_BODY_BYTES + 2);

	(void)context;
	assert_int_equal(fl_http_client_init(&client, address, 2), 0);
	memset(large, 'x', HEARTBEAT_BODY_BYTES + 1);
	large[HEARTBEAT_BODY_BYTES] = 0;
	assert_response(&client, "/hello", large, 200);
	assert_response(&client, "/hello2", large, 400);
	large[HEARTBEAT_BODY_BYTES] = 'x';
	large[HEARTBEAT_BODY_BYTES + 1] = 0;
	assert_response(&client, "/hello", large, 400);
	free(large);
	fl_http_client_close(&client);
}

static void one_path_may_have_larger_bodies(void **state)
{
	struct exchange exchange = {0};

	(void)state;
	run_http_client(&(struct http_run){.max_connections = CONNECTIONS,
	                                   .body_limit = {"/hello", HEARTBEAT_BODY_BYTES},
	                                   .handler = echo_body,
	                                   .client = send_bodies_to_large_path,
	                                   .context = &exchange});
	assert_int_equal(exchange.served_count, 1);
}

static int connect_to(const char *address)
{
	struct sockaddr_in parsed;
	int fd = fl_socket_open();

	assert_int_equal(fl_address_parse(address, &parsed), 0);
	assert_true(connect(fd, (struct sockaddr *)&parsed, sizeof(parsed)) == 0 ||
	            errno == EINPROGRESS);
	assert_int_equal(fl_io_wait(fd, EV_WRITE, 1), 0);
	return fd;
}

/* Reads the data that arrives first, within 8 s, and closes the connection. */
static void read_response_and_close(int fd, char *text, size_t size)
{
	ssize_t received = 0;

	if (fl_io_wait(fd, EV_READ, 8) == 0)
		received = recv(fd, text, size - 1, 0);
	text[received > 0 ? received : 0] = 0;
	fl_socket_close(fd);
}

/* Sends less body than announced, and shuts down the sending side if `half_close`. */
static void send_short_body(const char *address, bool half_close, char *response_text, size_t size)
{
	static const char text[] = "POST /x HTTP/1.1\r\nContent-Length: 50\r\n\r\n{}";
	int fd = connect_to(address);

	assert_int_equal(fl_write_all(fd, text, sizeof(text) - 1, 1), 0);
	if (half_close)
		shutdown(fd, SHUT_WR);
	read_response_and_close(fd, response_text, size);
}

static void send_short_bodies(const char *address, void *context)
{
	struct exchange *exchange = context;

	send_short_body(address, true, exchange->responses[0], sizeof(exchange->responses[0]));
	send_short_body(address, false, exchange->responses[1], sizeof(exchange->responses[1]));
}

static void assert_retried_at_once(const char *response)
{
	assert_starts_with(response, "HTTP/1.1 408");
	assert_non_null(strstr(response, "Connection: close"));
}

/* Guards against lost jobs: users do not retry 400. Without a response they would wait for 5 s. */
static void a_body_shorter_than_its_content_length_gets_a_response_that_users_retry(void **state)
{
	struct exchange exchange;

	(void)state;
	run_exchange(&exchange, CONNECTIONS, send_short_bodies);

	assert_retried_at_once(exchange.responses[0]);
	assert_retried_at_once(exchange.responses[1]);
	assert_int_equal(exchange.served_count, 0);
}

/* Sends the text evenly over a time that is above four seconds and below the users' five. */
static void send_slowly(const char *address, const char *text, char *response, size_t size)
{
	const size_t length = strlen(text);
	int fd = connect_to(address);

	for (size_t sent = 0; sent < length;) {
		size_t count = length / SLOW_PIECES + 1;

		if (count > length - sent)
			count = length - sent;
		assert_int_equal(fl_write_all(fd, text + sent, count, 1), 0);
		sent += count;
		fl_sleep(slow_sending_s / SLOW_PIECES);
	}
	read_response_and_close(fd, response, size);
}

static void send_slow_requests(const char *address, void *context)
{
	struct exchange *exchange = context;

	send_slowly(address,
	            "POST /x HTTP/1.1\r\nContent-Length: 20\r\n\r\n{\"Ref\":\"run-000412\"}",
	            exchange->responses[0], sizeof(exchange->responses[0]));
	send_slowly(address,
	            "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	            "14\r\n{\"Ref\":\"run-000412\"}\r\n0\r\n\r\n",
	            exchange->responses[1], sizeof(exchange->responses[1]));
	send_slowly(address, "GET /x HTTP/1.1\r\nHost: controllers\r\n\r\n", exchange->responses[2],
	            sizeof(exchange->responses[2]));
}

/* Guards against `forgotten`: a repeated submission whose body took over 4 s got 400. */
static void a_request_sent_over_more_than_four_seconds_is_served(void **state)
{
	struct exchange exchange;

	(void)state;
	run_exchange(&exchange, CONNECTIONS, send_slow_requests);

	for (int i = 0; i < 3; i++)
		assert_starts_with(exchange.responses[i], "HTTP/1.1 200");
	assert_int_equal(exchange.served_count, 3);
}

/* Sends a chunked body whose chunks have one byte and a long extension each, for some seconds. */
static void flood(const char *address)
{
	static const char head[] = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
	static char chunk[FLOOD_CHUNK_BYTES];
	struct sockaddr_in parsed;
	time_t end = time(NULL) + FLOOD_S;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(chunk, 'x', sizeof(chunk));
	memcpy(chunk, "1;", 2);
	memcpy(chunk + sizeof(chunk) - 5, "\r\ny\r\n", 5);
	if (fl_address_parse(address, &parsed) != 0 ||
	    connect(fd, (struct sockaddr *)&parsed, sizeof(parsed)) != 0 ||
	    send(fd, head, sizeof(head) - 1, MSG_NOSIGNAL) < 0)
		_exit(1);
	while (time(NULL) < end && send(fd, chunk, sizeof(chunk), MSG_NOSIGNAL) > 0)
		;
	_exit(0);
}

static void call_beside_flood(const char *address, void *context)
{
	struct fl_http_client client;
	pid_t pid = fork();

	(void)context;
	assert_true(pid >= 0);
	if (pid == 0)
		flood(address);
	fl_sleep(0.2);
	assert_int_equal(fl_http_client_init(&client, address, 1), 0);
	for (int i = 0; i < 5; i++) {
		assert_response(&client, "/x", "{}", 200);
		fl_sleep(0.2);
	}
	fl_http_client_close(&client);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

/* A client that sends as fast as the server reads must not keep it from serving others. */
static void others_are_served_beside_a_client_that_never_pauses(void **state)
{
	struct exchange exchange;

	(void)state;
	run_exchange(&exchange, CONNECTIONS, call_beside_flood);

	assert_int_equal(exchange.served_count, 5);
}

/* Sends a request without the last byte of its large body; returns the socket. */
static int begin_large_body(const char *address, const char *path, const char *body)
{
	struct fl_buffer head = {0};
	int fd = connect_to(address);

	fl_buffer_printf(&head, "POST %s HTTP/1.1\r\nContent-Length: %d\r\n\r\n", path,
	                 LARGE_BODY_BYTES);
	assert_int_equal(fl_write_all(fd, head.data, head.length, 1), 0);
	assert_int_equal(fl_write_all(fd, body, LARGE_BODY_BYTES - 1, 5), 0);
	fl_buffer_free(&head);
	return fd;
}

static void send_large_bodies(const char *address, void *context)
{
	struct exchange *exchange = context;
	char *body = malloc(LARGE_BODY_BYTES);
	int first, second;

	memset(body, ' ', LARGE_BODY_BYTES);
	/* The handler of the first request takes a while, and its body is kept meanwhile. */
	first = begin_large_body(address, "/slow", body);
	assert_int_equal(fl_write_all(first, body, 1, 1), 0);
	fl_sleep(0.05);
	second = begin_large_body(address, "/x", body);
	read_response_and_close(second, exchange->responses[0], sizeof(exchange->responses[0]));
	read_response_and_close(first, exchange->responses[1], sizeof(exchange->responses[1]));
	fl_sleep(0.05);
	/* The memory of the first body is free again. */
	second = begin_large_body(address, "/x", body);
	assert_int_equal(fl_write_all(second, body, 1, 1), 0);
	read_response_and_close(second, exchange->responses[2], sizeof(exchange->responses[2]));
	free(body);
}

/* A thousand connections with 64 KiB each would exceed the memory of a small controller. */
static void a_body_is_rejected_when_the_bodies_being_served_reach_the_memory_limit(void **state)
{
	struct exchange exchange;

	(void)state;
	fl_http_set_body_memory_limit(BODY_MEMORY_LIMIT_BYTES);
	run_exchange(&exchange, CONNECTIONS, send_large_bodies);
	fl_http_set_body_memory_limit(0);

	assert_starts_with(exchange.responses[0], "HTTP/1.1 503");
	assert_non_null(strstr(exchange.responses[0], "Retry-After: 1"));
	assert_starts_with(exchange.responses[1], "HTTP/1.1 200");
	assert_starts_with(exchange.responses[2], "HTTP/1.1 200");
}

static void send_half_sent_and_whole_bodies(const char *address, void *context)
{
	struct exchange *exchange = context;
	char *body = malloc(LARGE_BODY_BYTES);
	int half_sent[HALF_SENT_REQUESTS], whole;

	memset(body, ' ', LARGE_BODY_BYTES);
	for (int i = 0; i < HALF_SENT_REQUESTS; i++) {
		half_sent[i] = begin_large_body(address, "/x", body);
		fl_sleep(0.05);
	}
	whole = begin_large_body(address, "/x", body);
	assert_int_equal(fl_write_all(whole, body, 1, 1), 0);
	read_response_and_close(whole, exchange->responses[0], sizeof(exchange->responses[0]));
	read_response_and_close(half_sent[0], exchange->responses[1],
	                        sizeof(exchange->responses[1]));
	for (int i = 1; i < HALF_SENT_REQUESTS; i++)
		fl_socket_close(half_sent[i]);
	free(body);
}

/* Half-sent requests that hold the memory must not keep a controller from serving others. */
static void the_slowest_half_sent_bodies_give_way_at_the_memory_limit(void **state)
{
	struct exchange exchange;

	(void)state;
	fl_http_set_body_memory_limit(BODY_MEMORY_LIMIT_BYTES);
	run_exchange(&exchange, CONNECTIONS, send_half_sent_and_whole_bodies);
	fl_http_set_body_memory_limit(0);

	assert_starts_with(exchange.responses[0], "HTTP/1.1 200");
	assert_string_equal(exchange.responses[1], "");
	assert_int_equal(exchange.served_count, 1);
}

static void fill_server(const char *address, void *context)
{
	struct fl_http_client clients[FULL_SERVER_CONNECTIONS + 1];

	(void)context;
	/* The last connections are closed after their responses, so that one more can connect. */
	for (int i = 0; i <= FULL_SERVER_CONNECTIONS; i++) {
		assert_int_equal(fl_http_client_init(&clients[i], address, 1), 0);
		assert_response(&clients[i], "/x", "{}", 200);
		assert_int_equal(clients[i].idle_count, i < FULL_SERVER_CONNECTIONS - 1);
	}
	for (int i = 0; i <= FULL_SERVER_CONNECTIONS; i++)
		fl_http_client_close(&clients[i]);
}

/* With 2,000 workers on one controller, their idle connections left none for users. */
static void a_nearly_full_server_closes_answered_connections(void **state)
{
	struct exchange exchange;

	(void)state;
	run_exchange(&exchange, FULL_SERVER_CONNECTIONS, fill_server);

	assert_int_equal(exchange.served_count, FULL_SERVER_CONNECTIONS + 1);
}

static void an_address_is_rejected_unless_it_is_ipv4_and_port(void **state)
{
	struct sockaddr_in address;

	(void)state;
	assert_int_equal(fl_address_parse("10.0.0.1:8080", &address), 0);
	assert_int_not_equal(fl_address_parse("host:8080", &address), 0);
	assert_int_not_equal(fl_address_parse("10.0.0.1", &address), 0);
	assert_int_not_equal(fl_address_parse("10.0.0.1:99999", &address), 0);
	assert_int_not_equal(fl_address_parse("10.0.0.1:", &address), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calls_reuse_connections_and_have_size_and_time_limits),
		cmocka_unit_test(one_path_may_have_larger_bodies),
		cmocka_unit_test(
			a_body_shorter_than_its_content_length_gets_a_response_that_users_retry),
		cmocka_unit_test(a_request_sent_over_more_than_four_seconds_is_served),
		cmocka_unit_test(
			a_body_is_rejected_when_the_bodies_being_served_reach_the_memory_limit),
		cmocka_unit_test(the_slowest_half_sent_bodies_give_way_at_the_memory_limit),
		cmocka_unit_test(others_are_served_beside_a_client_that_never_pauses),
		cmocka_unit_test(a_nearly_full_server_closes_answered_connections),
		cmocka_unit_test(an_address_is_rejected_unless_it_is_ipv4_and_port),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
