/*
 * What a message costs in system calls, and an idle connection in memory, by counts. The calls are
 * counted by functions of the same names in this program, which go before the library's.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "http_fixture.h"
#include "protocol/json.h"
#include "transport/http_client.h"
#include "transport/coroutine.h"

enum { CONNECTIONS = 16, MESSAGES = 200, IDLE_CONNECTIONS = 400, WARM_UP_MESSAGES = 3 };

/*
 * Memory of a connection that has been served once and is idle. The sanitizers' own records of
 * stacks and blocks count as memory too.
 */
#if defined(__SANITIZE_ADDRESS__)
enum { IDLE_BYTES_MAX = 32 * 1024 };
#else
enum { IDLE_BYTES_MAX = 10 * 1024 };
#endif

static struct {
	long recv_calls, send_calls, epoll_ctl_calls;
} syscall_counts;

static struct {
	bool handler_waits;
	long idle_bytes;
} run;

/* The names of their parameters are the library's. */
ssize_t recv(int fd, void *buf, size_t n, int flags)
{
	syscall_counts.recv_calls++;
	return syscall(SYS_recvfrom, fd, buf, n, flags, NULL, NULL);
}

ssize_t send(int fd, const void *buf, size_t n, int flags)
{
	syscall_counts.send_calls++;
	return syscall(SYS_sendto, fd, buf, n, flags, NULL, 0);
}

int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event)
{
	syscall_counts.epoll_ctl_calls++;
	return (int)syscall(SYS_epoll_ctl, epfd, op, fd, event);
}

/* As deep as a heartbeat is read: the stack below is touched. */
static void echo_body(void *context, const struct fl_http_request *request,
                      struct fl_http_response *response)
{
	cJSON *object = fl_json_parse(request->body, request->body_len);

	(void)context;
	if (run.handler_waits)
		fl_sleep(0);
	response->status = object ? 200 : 400;
	response->body = fl_json_print_and_delete(object ? object : cJSON_CreateObject());
}

static const char *const heartbeat =
	"{\"Host\":\"m-000231\",\"Endpoint\":\"10.1.0.232:9000\",\"Tenure\":1,\"Parts\":["
	"{\"Part\":\"run-000412/3\",\"Try\":2,\"Status\":\"running\"},"
	"{\"Part\":\"run-000398/0\",\"Try\":1,\"Status\":\"ended\",\"ExitReason\":\"done\"}]}";

static void exchange_heartbeat(struct fl_http_client *client)
{
	struct fl_http_reply reply;

	assert_int_equal(fl_http_call(client, "POST", "/hello", heartbeat, 10, &reply), 0);
	assert_int_equal(reply.status, 200);
	fl_buffer_free(&reply.body);
}

static void exchange_messages(const char *address, void *context)
{
	struct fl_http_client client;

	(void)context;
	assert_int_equal(fl_http_client_init(&client, address, 1), 0);
	for (int i = 0; i < WARM_UP_MESSAGES; i++)
		exchange_heartbeat(&client);
	memset(&syscall_counts, 0, sizeof(syscall_counts));
	for (int i = 0; i < MESSAGES; i++)
		exchange_heartbeat(&client);
	fl_http_client_close(&client);
}

static void run_with_server(void (*client)(const char *address, void *context), int max_connections)
{
	run_http_client(&(struct http_run){
		.max_connections = max_connections, .handler = echo_body, .client = client});
}

/*
 * Found with 3% of a core: beside its read and its write each message cost a read of nothing and
 * one or two registrations. Both ends are counted: two reads and two writes an exchange, and the
 * client, which gives its connection back to be used by others, registers anew.
 */
static void a_message_costs_one_read_and_no_epoll_registration(void **state)
{
	(void)state;
	run.handler_waits = false;
	run_with_server(exchange_messages, CONNECTIONS);
	assert_int_equal(syscall_counts.recv_calls, 2 * MESSAGES);
	assert_int_equal(syscall_counts.send_calls, 2 * MESSAGES);
	assert_true(syscall_counts.epoll_ctl_calls <= MESSAGES + WARM_UP_MESSAGES);
}

/* A server's connection keeps its registration while the answer is waited for, too. */
static void a_message_costs_no_epoll_registration_when_its_handler_waits(void **state)
{
	(void)state;
	run.handler_waits = true;
	run_with_server(exchange_messages, CONNECTIONS);
	assert_int_equal(syscall_counts.recv_calls, 2 * MESSAGES);
	assert_true(syscall_counts.epoll_ctl_calls <= MESSAGES + WARM_UP_MESSAGES);
}

static long resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	long size, resident;

	assert_non_null(file);
	assert_int_equal(fscanf(file, "%ld %ld", &size, &resident), 2);
	fclose(file);
	return resident * sysconf(_SC_PAGESIZE);
}

static void open_connections(const char *address, void *context)
{
	static struct fl_http_client clients[IDLE_CONNECTIONS];
	long bytes_before;

	(void)context;
	assert_int_equal(fl_http_client_init(&clients[0], address, 1), 0);
	exchange_heartbeat(&clients[0]);
	bytes_before = resident_bytes();
	for (int i = 1; i < IDLE_CONNECTIONS; i++) {
		assert_int_equal(fl_http_client_init(&clients[i], address, 1), 0);
		exchange_heartbeat(&clients[i]);
	}
	run.idle_bytes = (resident_bytes() - bytes_before) / (IDLE_CONNECTIONS - 1);
	for (int i = 0; i < IDLE_CONNECTIONS; i++)
		fl_http_client_close(&clients[i]);
}

/* 1,500 of them must fit into 46 MB, beside all else. */
static void an_idle_connection_holds_little_memory(void **state)
{
	(void)state;
	run.handler_waits = false;
	assert_true(fl_raise_open_file_limit(3 * IDLE_CONNECTIONS) >=
	            2 * IDLE_CONNECTIONS + CONNECTIONS);

	run_with_server(open_connections, IDLE_CONNECTIONS + CONNECTIONS);
	print_message("%ld bytes an idle connection\n", run.idle_bytes);
	assert_true(run.idle_bytes > 0);
	assert_true(run.idle_bytes <= IDLE_BYTES_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_message_costs_one_read_and_no_epoll_registration),
		cmocka_unit_test(a_message_costs_no_epoll_registration_when_its_handler_waits),
		cmocka_unit_test(an_idle_connection_holds_little_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
