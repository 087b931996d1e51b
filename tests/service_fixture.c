#include "service_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fake_services.h"
#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/http_client.h"

static struct controller {
	int port, peer_port;
	pid_t pid; /* 0: the controller is down */
	char config_file[64];
	struct fl_http_client client;
} controllers[CONTROLLERS];

/* ---- settings ---- */

static const char *next_limits = ""; /* a table of the settings */

static int find_free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &length), 0);
	close(fd);
	return ntohs(address.sin_port);
}

static void write_peers(FILE *file, int controller)
{
	for (int i = 0; i < CONTROLLERS; i++)
		if (i != controller)
			fprintf(file,
			        "[[known]]\nnode = \"n%d\"\nlocation = \"a\"\n"
			        "addr = \"127.0.0.1:%d\"\n",
			        i, controllers[i].peer_port);
}

static void write_settings(int index)
{
	struct controller *controller = &controllers[index];
	FILE *file;

	snprintf(controller->config_file, sizeof(controller->config_file), "service-%d-%d.toml",
	         (int)getpid(), index);
	file = fopen(controller->config_file, "w");
	assert_non_null(file);
	fprintf(file,
	        "node = \"n%d\"\nlocation = \"a\"\nbind = \"127.0.0.1:%d\"\n"
	        "cluster_listen = \"127.0.0.1:%d\"\n",
	        index, controller->port, controller->peer_port);
	write_peers(file, index);
	fprintf(file,
	        "[external]\ncloud = \"%s\"\nstate = \"%s\"\n"
	        "[settings]\ninitial_size = 3\nzones = [\"a\"]\nclock_off_ms = 5.0\n"
	        "[[settings.teams]]\nname = \"t\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
	        "gpus_max = 0.0\n"
	        "[settings.workers]\nreport_s = 0.25\nlease_s = 8.0\ncancel_s = 30.0\n"
	        "[settings.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 4.0\ntxn_ops = 8\n"
	        "%s"
	        "[settings.cloud]\nrps = 50.0\nlist_lag_s = 0.5\n"
	        "[settings.resources]\ncore_share = 1.0\nram_mb = 256.0\nmax_connections = 400\n",
	        fake_services.cloud_addr, fake_services.kv_store_addr, next_limits);
	fclose(file);
}

/* ---- processes ---- */

void start_controller(int index)
{
	struct controller *controller = &controllers[index];
	char *argv[] = {(char *)FL_PROGRAM, (char *)"--config", controller->config_file, NULL};
	char *env[] = {(char *)"LOG_LEVEL=error", NULL};

	assert_int_equal(posix_spawn(&controller->pid, FL_PROGRAM, NULL, NULL, argv, env), 0);
}

void kill_controller(int index)
{
	struct controller *controller = &controllers[index];

	if (!controller->pid)
		return;
	kill(controller->pid, SIGKILL);
	waitpid(controller->pid, NULL, 0);
	controller->pid = 0;
	fl_http_client_close(&controller->client);
}

int kill_leader(void)
{
	const char *leader = fake_services_leader_node();
	int controller = leader[0] ? leader[1] - '0' : 0;

	kill_controller(controller);
	return controller;
}

void start_stopped_controllers(void)
{
	for (int i = 0; i < CONTROLLERS; i++)
		if (!controllers[i].pid)
			start_controller(i);
}

void restart_all_controllers(void)
{
	for (int i = 0; i < CONTROLLERS; i++)
		kill_controller(i);
	for (int i = 0; i < CONTROLLERS; i++)
		start_controller(i);
}

/* ---- users ---- */

int call_running_controller(int first_controller, const char *method, const char *path,
                            const char *body, char *text, size_t size)
{
	for (int i = 0; i < CONTROLLERS; i++) {
		struct controller *controller = &controllers[(first_controller + i) % CONTROLLERS];
		struct fl_http_reply reply;

		if (!controller->pid ||
		    fl_http_call(&controller->client, method, path, body, 5.0, &reply) != 0)
			continue;
		snprintf(text, size, "%s", reply.body.data);
		fl_buffer_free(&reply.body);
		return reply.status;
	}
	return -1;
}

void append_submission(struct fl_buffer *out, const char *ref, const char *kind, int task_count,
                       const char *more)
{
	fl_buffer_printf(out,
	                 "{\"Ref\":\"%s\",\"JobClass\":\"c\",\"Owner\":\"t\",\"JobKind\":\"%s\","
	                 "\"Tier\":\"standard\",\"Parts\":%d,\"Vcpus\":1,\"Accelerators\":0,"
	                 "\"RamGb\":1,\"Bundle\":\"img\",\"ImageGb\":1,\"Together\":false,"
	                 "\"Apart\":false,\"Reclaimable\":true,\"ExpectedS\":1,"
	                 "\"SnapshotEveryS\":0,\"SnapshotCostS\":0%s}",
	                 ref, kind, task_count, more);
}

/* Returns the status of the first final answer to a submission; -1: none within TIMEOUT_S. */
static int submit_until_answered(const char *body, int first_controller)
{
	double deadline = fl_now() + TIMEOUT_S;
	char text[512];

	while (fl_now() < deadline) {
		int status = call_running_controller(first_controller++, "POST", "/v2/runs", body,
		                                     text, sizeof(text));

		if (status == 201 || status == 200 || status == 400 || status == 422)
			return status;
		fl_sleep(0.2);
	}
	return -1;
}

bool submit_job(const char *ref, const char *kind, int task_count, int first_controller)
{
	struct fl_buffer body = {0};
	int status;

	append_submission(&body, ref, kind, task_count, "");
	status = submit_until_answered(body.data, first_controller);
	fl_buffer_free(&body);
	return status == 201 || status == 200;
}

bool cancel_job(const char *ref)
{
	char path[64], text[512];
	double deadline = fl_now() + TIMEOUT_S;

	snprintf(path, sizeof(path), "/v2/runs/%s/cancel", ref);
	for (int first_controller = 0; fl_now() < deadline; first_controller++) {
		if (call_running_controller(first_controller, "POST", path, "{}", text,
		                            sizeof(text)) == 200)
			return strstr(text, "aborted") != NULL;
		fl_sleep(0.2);
	}
	return false;
}

/* ---- waiting ---- */

bool wait_until_ready(void)
{
	char text[512];
	double deadline = fl_now() + TIMEOUT_S;

	while (call_running_controller(0, "GET", "/ready", NULL, text, sizeof(text)) != 200) {
		if (fl_now() >= deadline)
			return false;
		fl_sleep(0.1);
	}
	return true;
}

bool wait_for_leader(void)
{
	double deadline = fl_now() + TIMEOUT_S;

	while (!fake_services_leader_node()[0] && fl_now() < deadline)
		fl_sleep(0.05);
	return fake_services_leader_node()[0];
}

bool wait_for_job_status(const char *ref, const char *expected, int first_controller)
{
	char path[64], text[512];
	double deadline = fl_now() + TIMEOUT_S;

	snprintf(path, sizeof(path), "/v2/runs/%s", ref);
	while (fl_now() < deadline) {
		if (call_running_controller(first_controller++, "GET", path, NULL, text,
		                            sizeof(text)) == 200 &&
		    strstr(text, expected))
			return true;
		fl_sleep(0.1);
	}
	return false;
}

bool wait_for_job_status_on_all_controllers(const char *ref, const char *expected)
{
	for (int i = 0; i < CONTROLLERS; i++)
		if (!wait_for_job_status(ref, expected, i))
			return false;
	return true;
}

bool wait_until_job_stopped(const char *ref)
{
	double deadline = fl_now() + TIMEOUT_S;

	while (fake_services_running_task_count(ref) > 0 && fl_now() < deadline)
		fl_sleep(0.1);
	return fake_services_running_task_count(ref) == 0;
}

bool wait_until_unreachable_machines_are_rented(void)
{
	double deadline = fl_now() + TIMEOUT_S;

	while (fake_services.unreachable_machines_to_rent > 0 && fl_now() < deadline)
		fl_sleep(0.1);
	return fake_services.unreachable_machines_to_rent == 0;
}

bool wait_until_unreachable_machines_are_deleted(void)
{
	double deadline = fl_now() + TIMEOUT_S;

	while (fake_services_unreachable_machine_count() > 0 && fl_now() < deadline)
		fl_sleep(0.1);
	return fake_services_unreachable_machine_count() == 0;
}

/* ---- invariants ---- */

bool no_service_invariant_was_violated(void)
{
	EXPECT(fake_services.duplicate_starts == 0);
	EXPECT(fake_services.tokens_reused == 0);
	EXPECT(fake_services.rental_names_reused == 0);
	EXPECT(fake_services.starts_on_deleted_machines == 0);
	return true;
}

/* ---- stages ---- */

const char *service_failed_condition;

static void run_stages_in_coroutine(void *argument)
{
	bool (**run_stages)(void) = argument;

	if (!(*run_stages)() && !service_failed_condition)
		service_failed_condition = "a stage that succeeds";
	ev_break(fl_event_loop(), EVBREAK_ALL);
}

void service_run_stages(bool (*run_stages)(void))
{
	assert_non_null(fl_coroutine_spawn(run_stages_in_coroutine, &run_stages));
	fl_coroutines_run();
	if (service_failed_condition)
		fail_msg("expected: %s", service_failed_condition);
}

/* ---- set-up ---- */

static void configure_fakes(void)
{
	fake_services.heartbeat_interval_s = 0.25;
	fake_services.lease_s = 8;
	fake_services.task_duration_s = 0.5;
	fake_services.repeated_command_every = 3;
}

static void choose_ports(void)
{
	for (int i = 0; i < CONTROLLERS; i++) {
		struct controller *controller = &controllers[i];
		char addr[32];

		controller->port = find_free_port();
		controller->peer_port = find_free_port();
		fake_services.controller_ports[fake_services.controller_count++] = controller->port;
		snprintf(addr, sizeof(addr), "127.0.0.1:%d", controller->port);
		fl_http_client_init(&controller->client, addr, 2);
	}
}

int service_set_up(void **state)
{
	(void)state;
	signal(SIGPIPE, SIG_IGN);
	fl_coroutines_init(ev_default_loop(0));
	configure_fakes();
	fake_services_start();
	choose_ports();
	for (int i = 0; i < CONTROLLERS; i++) {
		write_settings(i);
		start_controller(i);
	}
	return 0;
}

int service_set_up_with_next_limits(const char *table)
{
	next_limits = table;
	return service_set_up(NULL);
}

int service_tear_down(void **state)
{
	(void)state;
	for (int i = 0; i < CONTROLLERS; i++) {
		kill_controller(i);
		unlink(controllers[i].config_file);
	}
	/* Suspended coroutines are cancelled and release their resources as they unwind. */
	fl_coroutines_shutdown();
	fake_services_free();
	for (int i = 0; i < CONTROLLERS; i++)
		fl_http_client_close(&controllers[i].client);
	return 0;
}
