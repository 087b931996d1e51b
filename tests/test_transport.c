/* Routines and their scheduling, HTTP client and server, addresses, settings, the write budget. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "storage/records.h"
#include "config.h"
#include "coordination/api/admission.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/coroutine.h"

static struct {
	struct fl_condition signal;
	int woken, cancelled, cleaned;
	char addr[32];
	int status[4], served;
	bool finished;
} seen;

static void wait_for_signal(void *arg)
{
	int rc = fl_condition_wait(&seen.signal, -1);

	(void)arg;
	if (rc == 0)
		seen.woken++;
	if (rc == -ECANCELED) {
		seen.cancelled++;
		/* Once cancelled, no wait waits any more: the routine unwinds. */
		if (fl_sleep(1000) == -ECANCELED && fl_io_wait(0, EV_READ, -1) == -ECANCELED)
			seen.cleaned++;
	}
}

static void cancel_one_waiter(void *arg)
{
	struct fl_coroutine *victim;

	(void)arg;
	fl_coroutine_spawn(wait_for_signal, NULL);
	fl_coroutine_spawn(wait_for_signal, NULL);
	victim = fl_coroutine_spawn(wait_for_signal, NULL);
	fl_sleep(0);
	fl_coroutine_cancel(victim);
	fl_sleep(0);
	fl_condition_broadcast(&seen.signal);
	fl_sleep(0);
	assert_int_equal(fl_condition_wait(&seen.signal, 0.001), -ETIMEDOUT);
	seen.finished = true;
	ev_break(fl_loop(), EVBREAK_ALL);
}

static void a_cancelled_routine_unwinds_by_itself(void **state)
{
	(void)state;
	memset(&seen, 0, sizeof(seen));
	fl_coroutines_init(ev_default_loop(0));
	fl_coroutine_spawn(cancel_one_waiter, NULL);
	fl_coroutines_run();
	assert_true(seen.finished);
	assert_int_equal(seen.woken, 2);
	assert_int_equal(seen.cancelled, 1);
	assert_int_equal(seen.cleaned, 1);
	fl_coroutines_shutdown();
}

/* ---- turns ---- */

struct turns {
	int pipe[2], n;
	char order[8];
};

static void spin(void *arg)
{
	struct turns *turns = arg;
	double until = fl_now() + 0.02; /* longer than a turn, however fast the machine */

	if (turns->n == 0)
		assert_int_equal(write(turns->pipe[1], "x", 1), 1);
	turns->order[turns->n++] = 'b';
	while (fl_now() < until)
		;
	if (turns->n == 4)
		ev_break(fl_loop(), EVBREAK_ALL);
}

static void wait_urgently(void *arg)
{
	struct turns *turns = arg;

	fl_coroutine_set_urgent();
	for (int i = 0; i < 3; i++)
		fl_coroutine_spawn(spin, turns);
	assert_int_equal(fl_io_wait(turns->pipe[0], EV_READ, 10), 0);
	turns->order[turns->n++] = 'u';
	/* After a standstill the answer and the end of its time come at once: it was not missed. */
	assert_int_equal(fl_io_wait(turns->pipe[0], EV_READ, 0), 0);
}

/*
 * Found with controllers eight times slower: whatever was ready ran to its end before the answer
 * to a renewal was looked at, and the lease, which had been renewed in time, was lost.
 */
static void urgent_routines_run_before_others(void **state)
{
	struct turns turns = {0};

	(void)state;
	assert_int_equal(pipe(turns.pipe), 0);
	fl_coroutines_init(ev_default_loop(0));
	fl_coroutine_spawn(wait_urgently, &turns);
	fl_coroutines_run();
	assert_string_equal(turns.order, "bubb");
	fl_coroutines_shutdown();
	close(turns.pipe[0]);
	close(turns.pipe[1]);
}

static void on_request(void *context, const struct fl_http_request *request,
                       struct fl_http_response *response)
{
	(void)context;
	seen.served++;
	response->status = 200;
	response->body = strdup(request->body);
	if (strcmp(request->path, "/close") == 0)
		response->close = true;
	if (strcmp(request->path, "/slow") == 0)
		fl_sleep(5);
}

static void make_calls(void *arg)
{
	struct fl_http_client client;
	struct fl_http_reply reply;
	char *big = malloc(70000);

	(void)arg;
	assert_int_equal(fl_http_client_init(&client, seen.addr, 2), 0);
	for (int i = 0; i < 3; i++) {
		assert_int_equal(fl_http_call(&client, "POST", i == 1 ? "/close" : "/x",
		                              "{\"a\":1}", 5, &reply),
		                 0);
		assert_int_equal(reply.status, 200);
		assert_string_equal(reply.body.data, "{\"a\":1}");
		fl_buffer_free(&reply.body);
	}
	/* An idle connection that the other side has closed must not fail the next call. */
	assert_int_equal(client.idle_count, 1);
	shutdown(client.idle_fds[0], SHUT_RDWR);
	assert_int_equal(fl_http_call(&client, "POST", "/x", "{}", 5, &reply), 0);
	assert_int_equal(reply.status, 200);
	fl_buffer_free(&reply.body);
	memset(big, 'x', 69999);
	big[69999] = 0;
	assert_int_equal(fl_http_call(&client, "POST", "/x", big, 5, &reply), 0);
	/* Not 413: users repeat a call after any status other than 400 and 422. */
	assert_int_equal(reply.status, 400);
	fl_buffer_free(&reply.body);
	assert_int_equal(fl_http_call(&client, "POST", "/slow", "{}", 0.05, &reply), -ETIMEDOUT);
	free(big);
	fl_http_client_close(&client);
	seen.finished = true;
	ev_break(fl_loop(), EVBREAK_ALL);
}

static int connect_to_server(void)
{
	struct sockaddr_in address;
	int fd = fl_socket();

	assert_int_equal(fl_address_parse(seen.addr, &address), 0);
	assert_true(connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 ||
	            errno == EINPROGRESS);
	assert_int_equal(fl_io_wait(fd, EV_WRITE, 1), 0);
	return fd;
}

/* Sends the head of a longer body; what comes back in the first line, or an empty string. */
static void send_short_body(bool end, char *line, size_t cap)
{
	static const char text[] = "POST /x HTTP/1.1\r\nContent-Length: 50\r\n\r\n{}";
	int fd = connect_to_server();
	ssize_t n;

	line[0] = 0;
	assert_int_equal(fl_write_all(fd, text, sizeof(text) - 1, 1), 0);
	if (end)
		shutdown(fd, SHUT_WR);
	if (fl_io_wait(fd, EV_READ, 5) == 0) {
		n = recv(fd, line, cap - 1, 0);
		line[n > 0 ? n : 0] = 0;
	}
	fl_close(fd);
}

static void send_short_bodies(void *arg)
{
	char ended[200], waits[200];

	(void)arg;
	send_short_body(true, ended, sizeof(ended));
	send_short_body(false, waits, sizeof(waits));
	seen.finished =
		strncmp(ended, "HTTP/1.1 400", 12) == 0 && strncmp(waits, "HTTP/1.1 400", 12) == 0;
	ev_break(fl_loop(), EVBREAK_ALL);
}

/* Its caller would wait 5 s for nothing and try again for a minute. */
static void a_body_shorter_than_its_length_is_refused(void **state)
{
	struct fl_http_server *server;

	(void)state;
	memset(&seen, 0, sizeof(seen));
	fl_coroutines_init(ev_default_loop(0));
	server = fl_http_serve("127.0.0.1:0", 16, 90, on_request, NULL);
	assert_non_null(server);
	snprintf(seen.addr, sizeof(seen.addr), "127.0.0.1:%d", fl_http_server_port(server));
	fl_coroutine_spawn(send_short_bodies, NULL);
	fl_coroutines_run();
	assert_true(seen.finished);
	assert_int_equal(seen.served, 0);
	fl_coroutines_shutdown();
	free(server);
}

enum { BODY = 60000, BODIES_MOST = 100000 };

/* Begins a request with a large body and sends none of it; its socket. */
static int begin_large_body(void)
{
	static const char head[] = "POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";
	int fd = connect_to_server();

	assert_int_equal(fl_write_all(fd, head, sizeof(head) - 1, 1), 0);
	return fd;
}

static void read_answer(int fd, char *text, size_t cap)
{
	ssize_t n;

	assert_int_equal(fl_io_wait(fd, EV_READ, 5), 0);
	n = recv(fd, text, cap - 1, 0);
	text[n > 0 ? n : 0] = 0;
	fl_close(fd);
}

static void send_large_bodies(void *arg)
{
	char *body = calloc(1, BODY + 1), text[400];
	int first, second;

	(void)arg;
	memset(body, ' ', BODY);
	first = begin_large_body();
	/* The first is there before the second. */
	fl_sleep(0.05);
	second = begin_large_body();
	read_answer(second, text, sizeof(text));
	seen.finished = strncmp(text, "HTTP/1.1 503", 12) == 0 && strstr(text, "Retry-After: 1");
	assert_int_equal(fl_write_all(first, body, BODY, 5), 0);
	read_answer(first, text, sizeof(text));
	seen.finished = seen.finished && strncmp(text, "HTTP/1.1 200", 12) == 0;
	fl_sleep(0.05);
	/* There is room again. */
	second = begin_large_body();
	assert_int_equal(fl_write_all(second, body, BODY, 5), 0);
	read_answer(second, text, sizeof(text));
	seen.finished = seen.finished && strncmp(text, "HTTP/1.1 200", 12) == 0;
	free(body);
	ev_break(fl_loop(), EVBREAK_ALL);
}

/* A thousand connections may send 64 KiB each at once: more than a small controller has. */
static void bodies_have_a_limit_together(void **state)
{
	struct fl_http_server *server;

	(void)state;
	memset(&seen, 0, sizeof(seen));
	fl_coroutines_init(ev_default_loop(0));
	fl_http_set_body_memory_limit(BODIES_MOST);
	server = fl_http_serve("127.0.0.1:0", 16, 90, on_request, NULL);
	assert_non_null(server);
	snprintf(seen.addr, sizeof(seen.addr), "127.0.0.1:%d", fl_http_server_port(server));
	fl_coroutine_spawn(send_large_bodies, NULL);
	fl_coroutines_run();
	assert_true(seen.finished);
	fl_coroutines_shutdown();
	fl_http_set_body_memory_limit(0);
	free(server);
}

static void calls_are_answered_reuse_connections_and_are_bounded(void **state)
{
	struct fl_http_server *server;

	(void)state;
	memset(&seen, 0, sizeof(seen));
	fl_coroutines_init(ev_default_loop(0));
	server = fl_http_serve("127.0.0.1:0", 16, 90, on_request, NULL);
	assert_non_null(server);
	snprintf(seen.addr, sizeof(seen.addr), "127.0.0.1:%d", fl_http_server_port(server));
	fl_coroutine_spawn(make_calls, NULL);
	fl_coroutines_run();
	assert_true(seen.finished);
	assert_int_equal(seen.served, 5);
	fl_coroutines_shutdown();
	free(server);
}

enum { CLIENTS = 32 };

static void fill_server(void *arg)
{
	struct fl_http_client c[CLIENTS + 1];
	struct fl_http_reply reply;

	(void)arg;
	/* All stay open but the last, closed once answered, so that one more can connect. */
	for (int i = 0; i <= CLIENTS; i++) {
		assert_int_equal(fl_http_client_init(&c[i], seen.addr, 1), 0);
		assert_int_equal(fl_http_call(&c[i], "POST", "/x", "{}", 5, &reply), 0);
		assert_int_equal(reply.status, 200);
		assert_int_equal(c[i].idle_count, i < CLIENTS - 1);
		fl_buffer_free(&reply.body);
	}
	for (int i = 0; i <= CLIENTS; i++)
		fl_http_client_close(&c[i]);
	seen.finished = true;
	ev_break(fl_loop(), EVBREAK_ALL);
}

/* Found with 2,000 workers on one controller: their idle connections left none for users. */
static void a_nearly_full_server_closes_answered_connections(void **state)
{
	struct fl_config c = {.max_connections = 3565, .peer_count = 4};
	struct fl_http_server *server;

	(void)state;
	memset(&seen, 0, sizeof(seen));
	fl_coroutines_init(ev_default_loop(0));
	server = fl_http_serve("127.0.0.1:0", CLIENTS, 90, on_request, NULL);
	assert_non_null(server);
	snprintf(seen.addr, sizeof(seen.addr), "127.0.0.1:%d", fl_http_server_port(server));
	fl_coroutine_spawn(fill_server, NULL);
	fl_coroutines_run();
	assert_true(seen.finished);
	fl_coroutines_shutdown();
	free(server);
	/* What is set aside for peers grows with them, and not with the machines. */
	assert_true(fl_node_public_connections(&c) >= 3000);
	c.max_connections = 16;
	assert_in_range(fl_node_public_connections(&c), 8, 15);
}

/*
 * Four peers may each want their part of a leader with few sockets, while its public side is full:
 * peers, state service, cloud and commands keep their share, and so do users and workers.
 */
static void every_side_keeps_its_share_of_the_sockets(void **state)
{
	static const int limits[] = {900, 1500, 4000};
	const int commands_and_services = 48;

	(void)state;
	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		struct fl_config c = {.peer_count = 4, .max_connections = limits[i]};
		int public = fl_node_public_connections(&c);
		int from_peers = c.peer_count * FL_PEER_CONNECTIONS_MAX;
		int to_leader = FL_PEER_CONNECTIONS_MAX + c.peer_count;

		assert_true(public >= (int)(0.6 * limits[i]));
		assert_true(limits[i] - public >= from_peers);
		assert_true(public + from_peers + to_leader + commands_and_services <= limits[i]);
	}
}

static void addresses_are_checked(void **state)
{
	struct sockaddr_in address;

	(void)state;
	assert_int_equal(fl_address_parse("10.0.0.1:8080", &address), 0);
	assert_int_not_equal(fl_address_parse("host:8080", &address), 0);
	assert_int_not_equal(fl_address_parse("10.0.0.1", &address), 0);
	assert_int_not_equal(fl_address_parse("10.0.0.1:99999", &address), 0);
	assert_int_not_equal(fl_address_parse("10.0.0.1:", &address), 0);
}

static const char good_settings[] =
	"node = \"n0\"\nlocation = \"a\"\nbind = \"127.0.0.1:1\"\n"
	"cluster_listen = \"127.0.0.1:2\"\nextra = 3\n"
	"[external]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n"
	"[settings]\nzones = [\"a\"]\n"
	"[settings.workers]\nreport_s = 2\nlease_s = 14.0\ncancel_s = 44.0\n"
	"[settings.state]\nrps = 70.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 20\n"
	"[settings.cloud]\nrps = 3.0\nlist_lag_s = 10.0\n"
	"[settings.resources]\ncore_share = 0.12\nram_mb = 72.0\nmax_connections = 1500\n";

/* Reads the settings with one piece of text replaced. */
static int read_with(const char *old, const char *new, char *error, size_t cap)
{
	struct fl_config *config = calloc(1, sizeof(*config));
	const char *at = old ? strstr(good_settings, old) : NULL;
	struct fl_config_error found;
	char name[64];
	FILE *f;
	int rc;

	snprintf(name, sizeof(name), "settings-%d.toml", (int)getpid());
	f = fopen(name, "w");
	assert_non_null(f);
	assert_true(!old || at);
	if (at)
		fprintf(f, "%.*s%s%s", (int)(at - good_settings), good_settings, new,
		        at + strlen(old));
	else
		fputs(good_settings, f);
	fclose(f);
	error[0] = 0;
	rc = fl_config_read(name, config, &found);
	if (rc != FL_CONFIG_OK)
		fl_config_error_text(&found, error, cap);
	unlink(name);
	free(config);
	return rc;
}

static void bad_settings_are_named(void **state)
{
	static const struct {
		const char *old, *new, *named;
	} bad[] = {
		{"node = \"n0\"\n", "", "node: missing"},
		{"\"n0\"", "7", "node: must be a string"},
		{"\"127.0.0.1:1\"", "\"nowhere\"", "bind: must be an IPv4 address"},
		{"lease_s = 14.0", "lease_s = \"x\"", "settings.workers.lease_s: must be a number"},
		{"lease_s = 14.0", "lease_s = -1", "settings.workers.lease_s: must lie"},
		{"txn_ops = 20", "txn_ops = 2.5", "settings.state.txn_ops: must be a whole"},
		{"[settings.cloud]", "[settings.clouds]", "settings.cloud: missing"},
		{"zones = [\"a\"]", "zones = []", "settings.zones: must name"},
		{"[external]", "[external", "line 6"},
		{"core_share = 0.12", "core_share = 0", "settings.resources.core_share: must lie"},
		{"core_share = 0.12", "core_share = -1", "settings.resources.core_share: must lie"},
		{"core_share = 0.12", "core_share = nan", "core_share: must be a number"},
		{"core_share = 0.12", "core_share = \"x\"", "core_share: must be a number"},
		{"core_share = 0.12", "core_share = 0.001", "core_share: must lie"},
		{"ram_mb = 72.0", "ram_mb = 0", "settings.resources.ram_mb: must lie"},
		{"ram_mb = 72.0", "ram_mb = -72", "settings.resources.ram_mb: must lie"},
		{"ram_mb = 72.0", "ram_mb = inf", "ram_mb: must be a number"},
		{"ram_mb = 72.0", "ram_mb = 8", "settings.resources.ram_mb: must lie"},
		{"max_connections = 1500", "max_connections = 0", "max_connections: must lie"},
		{"max_connections = 1500", "max_connections = 32", "max_connections: must lie"},
		{"max_connections = 1500", "max_connections = 99.5", "must be a whole"},
	};
	char error[512];

	(void)state;
	assert_int_equal(read_with(NULL, NULL, error, sizeof(error)), 0);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		assert_int_not_equal(read_with(bad[i].old, bad[i].new, error, sizeof(error)), 0);
		if (!strstr(error, bad[i].named))
			fail_msg("'%s' does not say '%s'", error, bad[i].named);
	}
	{
		struct fl_config *config = calloc(1, sizeof(*config));
		struct fl_config_error found;

		assert_int_equal(fl_config_read("no/such/file", config, &found),
		                 FL_CONFIG_UNREADABLE);
		fl_config_error_text(&found, error, sizeof(error));
		assert_non_null(strstr(error, "no/such/file"));
		free(config);
	}
}

static void tight_settings_are_named_with_their_cost(void **state)
{
	struct fl_config c = {.core_share = 0.029, .ram_mb = 37, .max_connections = 900};
	char text[256];

	(void)state;
	assert_false(fl_admission_tight_setting(&c, 0, text, sizeof(text)));
	c.ram_mb = 16;
	assert_true(fl_admission_tight_setting(&c, 0, text, sizeof(text)));
	assert_non_null(strstr(text, "ram_mb is 16: 900 connections take 8 MB"));
	c.core_share = 0.01;
	assert_true(fl_admission_tight_setting(&c, 1, text, sizeof(text)));
	assert_non_null(strstr(text, "core_share is 0.01: a leader answers about 40 heartbeats"));
	assert_false(fl_admission_tight_setting(&c, 2, text, sizeof(text)));
}

static void the_write_budget_holds_its_rate(void **state)
{
	struct fl_token_bucket budget;
	double now = 0, spent = 0;

	(void)state;
	fl_token_bucket_init(&budget, 10, 10, now);
	while (now < 60) {
		double wait = fl_token_bucket_take(&budget, 3, now);

		if (wait == 0)
			spent += 3;
		now += wait > 0 ? wait : 0;
	}
	assert_true(spent <= 10 + 600 + 3 && spent > 590);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_cancelled_routine_unwinds_by_itself),
		cmocka_unit_test(urgent_routines_run_before_others),
		cmocka_unit_test(calls_are_answered_reuse_connections_and_are_bounded),
		cmocka_unit_test(a_body_shorter_than_its_length_is_refused),
		cmocka_unit_test(bodies_have_a_limit_together),
		cmocka_unit_test(a_nearly_full_server_closes_answered_connections),
		cmocka_unit_test(every_side_keeps_its_share_of_the_sockets),
		cmocka_unit_test(addresses_are_checked),
		cmocka_unit_test(bad_settings_are_named),
		cmocka_unit_test(tight_settings_are_named_with_their_cost),
		cmocka_unit_test(the_write_budget_holds_its_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
