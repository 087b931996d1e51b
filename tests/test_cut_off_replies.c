/*
 * Replies that are cut off, late or repeated, on loopback: none of them may be read as a whole
 * reply, as a refusal, or as the reply to another request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coroutine_fixture.h"
#include "protocol/cloud.h"
#include "protocol/kv_store.h"
#include "protocol/workers.h"
#include "transport/coroutine.h"
#include "transport/http_client.h"
#include "transport/socket_io.h"

enum { REQUEST_BYTES_MAX = 4096 };

static const double timeout_s = 0.3;

/* A server that sends the same bytes on each connection, then closes it or falls silent. */
static struct {
	int listener;
	char address[32];
	const char *reply;
	bool closes;
} server;

static void answer_connection(void *arg)
{
	char request[REQUEST_BYTES_MAX];
	int fd = *(int *)arg;

	free(arg);
	if (fl_io_wait(fd, EV_READ, 5) == 0 && recv(fd, request, sizeof(request), 0) > 0)
		fl_write_all(fd, server.reply, strlen(server.reply), 1);
	if (!server.closes)
		fl_sleep(4 * timeout_s);
	fl_socket_close(fd);
}

static void accept_connections(void *arg)
{
	(void)arg;
	while (fl_io_wait(server.listener, EV_READ, -1) == 0) {
		int *fd = malloc(sizeof(*fd));

		*fd = accept4(server.listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (*fd < 0 || !fl_coroutine_spawn(answer_connection, fd))
			free(fd);
	}
	fl_io_unregister(server.listener);
}

static int set_up(void **state)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);

	(void)state;
	fl_coroutines_init(ev_default_loop(0));
	server.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(server.listener, (struct sockaddr *)&address, length), 0);
	assert_int_equal(listen(server.listener, 64), 0);
	assert_int_equal(getsockname(server.listener, (struct sockaddr *)&address, &length), 0);
	snprintf(server.address, sizeof(server.address), "127.0.0.1:%d", ntohs(address.sin_port));
	assert_non_null(fl_coroutine_spawn(accept_connections, NULL));
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	fl_coroutines_shutdown();
	close(server.listener);
	return 0;
}

/* ---- the HTTP client ---- */

static const char *const cut_off_replies[] = {
	"",
	"HTTP/1.1 404",
	"HTTP/1.1 404 Not Found\r\n",
	"HTTP/1.1 404 Not Found\r\nContent-Length: 17\r\n\r\n{\"LedgerRev\":43",
	"HTTP/1.1 409 Conflict\r\nContent-Length: 17\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 23\r\n\r\n{\"error\":\"no cap",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n{\"LedgerRev\":431}\r\n",
	/* Without a length, the end of the connection may be the end of the reply or a cut. */
	"HTTP/1.1 404 Not Found\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\n\r\n{\"LedgerRev\":431}",
	"HTTP/1.1 200 OK\r\n\r\n{\"LedgerRev\":431,\"Items\":[],\"More\":false}",
};

struct call_result {
	int rc, idle_count;
};

static void call_once(void *arg)
{
	struct call_result *result = arg;
	struct fl_http_client client;
	struct fl_http_reply reply;

	fl_http_client_init(&client, server.address, 2);
	result->rc = fl_http_call(&client, "GET", "/x", NULL, timeout_s, &reply);
	result->idle_count = client.idle_count;
	if (result->rc == 0)
		fl_buffer_free(&reply.body);
	fl_http_client_close(&client);
}

static struct call_result call_with_reply(const char *reply, bool closes)
{
	struct call_result result;

	server.reply = reply;
	server.closes = closes;
	run_coroutine(call_once, &result);
	return result;
}

static void a_reply_that_is_cut_off_is_no_reply(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cut_off_replies) / sizeof(cut_off_replies[0]); i++) {
		assert_int_equal(call_with_reply(cut_off_replies[i], true).rc, -ECONNRESET);
		assert_int_equal(call_with_reply(cut_off_replies[i], false).rc, -ETIMEDOUT);
	}
}

/* The rest of a late reply must not be read as the reply to the next request. */
static void a_connection_whose_reply_is_late_is_not_used_again(void **state)
{
	(void)state;
	assert_int_equal(
		call_with_reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{", false).idle_count,
		0);
	assert_int_equal(
		call_with_reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false).idle_count,
		1);
}

static void a_connection_with_a_second_reply_is_not_used_again(void **state)
{
	const struct call_result result =
		call_with_reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	                        "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
	                        false);

	(void)state;
	assert_int_equal(result.rc, 0);
	assert_int_equal(result.idle_count, 0);
}

/* ---- the clients of the key-value store, the cloud and the workers ---- */

struct protocol_results {
	enum fl_kv_result get, commit, list, watch;
	uint64_t watch_revision;
	enum fl_worker_result command;
	enum fl_cloud_result rental, deletion;
};

static void ignore_event(void *context, const struct fl_kv_event *event)
{
	(void)context, (void)event;
}

static void call_key_value_store(struct protocol_results *results)
{
	const struct fl_kv_watch_request watch = {"c/", timeout_s, ignore_event, NULL};
	struct fl_kv_store store;
	struct fl_kv_txn txn;
	uint64_t revision = 0;
	cJSON *value;

	fl_kv_init(&store, server.address);
	results->get = fl_kv_get(&store, "j/run-000412", &value, &revision, NULL);
	cJSON_Delete(value);
	fl_kv_txn_init(&txn);
	fl_kv_txn_delete(&txn, "j/run-000412");
	results->commit = fl_kv_txn_commit(&store, &txn, &revision, NULL);
	results->list = fl_kv_list(&store, "j/", ignore_event, NULL, &revision);
	results->watch_revision = 5;
	results->watch = fl_kv_watch(&store, &watch, &results->watch_revision);
	fl_http_client_close(&store.client);
	fl_http_client_close(&store.watch_client);
}

static void call_cloud_and_worker(struct protocol_results *results)
{
	const struct fl_cloud_rental rental = {
		.name = "r-1", .type = "g8", .zone = "a", .count = 1};
	const char *const hosts[] = {"m-000231"};
	struct fl_cloud cloud = {0};
	struct fl_heartbeat heartbeat;
	char(*rented)[FL_NAME_MAX];
	int rented_count;

	fl_http_client_init(&cloud.http, server.address, 1);
	results->rental = fl_cloud_rent_machines(&cloud, &rental, &rented, &rented_count);
	free(rented);
	results->deletion = fl_cloud_delete_machines(&cloud, hosts, 1);
	fl_http_client_close(&cloud.http);
	results->command = fl_worker_send_commands(server.address, "{}", timeout_s, &heartbeat);
	if (results->command == FL_WORKER_ACCEPTED || results->command == FL_WORKER_REJECTED)
		fl_heartbeat_free(&heartbeat);
}

static void call_protocols(void *arg)
{
	call_key_value_store(arg);
	call_cloud_and_worker(arg);
}

static void assert_nothing_is_concluded(const char *reply)
{
	struct protocol_results results;

	server.reply = reply;
	server.closes = true;
	run_coroutine(call_protocols, &results);
	assert_int_equal(results.get, FL_KV_OUTCOME_UNKNOWN);
	assert_int_equal(results.commit, FL_KV_OUTCOME_UNKNOWN);
	assert_int_equal(results.list, FL_KV_OUTCOME_UNKNOWN);
	assert_int_equal(results.watch_revision, 5);
	assert_int_equal(results.rental, FL_CLOUD_OUTCOME_UNKNOWN);
	assert_int_equal(results.deletion, FL_CLOUD_OUTCOME_UNKNOWN);
	assert_int_equal(results.command, FL_WORKER_OUTCOME_UNKNOWN);
}

/* A 404 would show that an accepted job is not known, a 409 that a write was refused. */
static void nothing_is_concluded_from_a_reply_that_is_cut_off(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cut_off_replies) / sizeof(cut_off_replies[0]); i++)
		assert_nothing_is_concluded(cut_off_replies[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(a_reply_that_is_cut_off_is_no_reply, set_up,
	                                        tear_down),
		cmocka_unit_test_setup_teardown(a_connection_whose_reply_is_late_is_not_used_again,
	                                        set_up, tear_down),
		cmocka_unit_test_setup_teardown(a_connection_with_a_second_reply_is_not_used_again,
	                                        set_up, tear_down),
		cmocka_unit_test_setup_teardown(nothing_is_concluded_from_a_reply_that_is_cut_off,
	                                        set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
