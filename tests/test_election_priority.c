/*
 * A busy controller keeps its leader lease, because the coroutines of the lease run before all
 * other ready coroutines. Uses virtual time and a fake of the key-value store and the cloud.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/election/election.h"
#include "coordination/node.h"
#include "transport/clock.h"
#include "virtual_time_fixture.h"

enum { PROCESS = 1, BUSY_COROUTINES = 300 };
static const double computation_s = 0.005; /* duration of each piece of work */
static const double one_way_latency_s = 0.002;
static const double idle_duration_s = 2, busy_duration_s = 30;

static struct {
	struct fl_node node;
	struct fl_config config;
	bool busy;
	int renewals, lease_grants;
} fixture;

/* Each piece of work of a busy controller takes time during which it runs no other coroutine. */
void sim_process_delay_if_slow(int process)
{
	if (fixture.busy)
		sim_process_pause_until(process, fl_now() + computation_s);
}

/* Returns the reply of an empty key-value store that grants leases, or of an empty cloud. */
static const char *response_text(const char *path)
{
	if (strstr(path, "/extend")) {
		fixture.renewals++;
		return "{}";
	}
	if (strcmp(path, "/holds") == 0) {
		fixture.lease_grants++;
		return "{\"Grant\":7}";
	}
	if (strncmp(path, "/follow", strlen("/follow")) == 0) {
		fl_sleep(10);
		return "{\"LedgerRev\":1,\"Log\":[]}";
	}
	if (strncmp(path, "/rentals", strlen("/rentals")) == 0)
		return "{\"Hosts\":[],\"More\":false}";
	return "{\"Items\":[],\"More\":false,\"LedgerRev\":1,\"HostKinds\":[]}";
}

int fl_http_call(struct fl_http_client *client, const char *method, const char *path,
                 const char *body, double timeout_s, struct fl_http_reply *out)
{
	const char *text;

	(void)client, (void)method, (void)body, (void)timeout_s;
	memset(out, 0, sizeof(*out));
	fl_sleep(one_way_latency_s);
	text = response_text(path);
	if (fl_sleep(one_way_latency_s) != 0)
		return -ECANCELED;
	out->status = 200;
	return fl_buffer_append(&out->body, text, strlen(text));
}

static void start_election(void *arg)
{
	static const struct fl_election_callbacks callbacks = {fl_leadership_begin,
	                                                       fl_leadership_end};

	(void)arg;
	fl_election_start(&fixture.node, &callbacks);
}

/* A coroutine that is ready again as soon as it has run. */
static void yield_forever(void *arg)
{
	(void)arg;
	while (fl_sleep(0) == 0)
		;
}

/*
 * Without the precedence of the lease's coroutines, each wait of a renewal lasts until all ready
 * coroutines have run, 1.5 s here, and the lease of 3 s expires.
 */
static void a_leader_keeps_its_lease_when_its_controller_is_busy(void **state)
{
	struct fl_node *node = &fixture.node;
	int renewals_before;

	(void)state;
	sim_time_begin();
	node->config = &fixture.config;
	strcpy(fixture.config.node, "host-1");
	fixture.config.core_share = 1;
	fixture.config.state_rps = fixture.config.state_write_rps = 100;
	fixture.config.cloud_rps = 1;
	fixture.config.txn_ops = 8;
	fixture.config.value_kb = 4;
	fl_node_init_store_limits(node);
	node->machine_types_loaded = node->live_jobs_loaded = true;
	assert_non_null(sim_spawn(PROCESS, start_election, NULL));

	sim_time_run(fl_now() + idle_duration_s);
	assert_true(node->leader_lease.held);

	renewals_before = fixture.renewals;
	fixture.busy = true;
	for (int i = 0; i < BUSY_COROUTINES; i++)
		assert_non_null(sim_spawn(PROCESS, yield_forever, NULL));

	sim_time_run(fl_now() + busy_duration_s);
	assert_true(fl_leader_lease_is_valid(&node->leader_lease));
	assert_int_equal(fixture.lease_grants, 1);

	/* A renewal is due every 0.8 s, plus the time of the work that runs before it. */
	assert_true(fixture.renewals - renewals_before >= (int)busy_duration_s);

	virtual_time_end();
	fl_cluster_free(&node->cluster);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_leader_keeps_its_lease_when_its_controller_is_busy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
