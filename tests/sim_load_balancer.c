/* The users' load balancer: probes the nodes' readiness and spreads requests over ready nodes. */
#include "sim.h"

#include <errno.h>
#include <string.h>

#include "transport/clock.h"

static const struct {
	double probe_interval_s, probe_timeout_s;
	double min_unhealthy_s; /* least time for which a removed node stays out */
	int failures_to_remove, successes_to_return;
	int max_tries; /* most calls to nodes for a request */
} tunables = {1.0, 1.0, 3, 2, 2, 3};

static struct backend {
	bool healthy, was_healthy;
	int consecutive_failures, consecutive_successes;
	double unhealthy_until;
} backends[SIM_NODES];

static int call_node(int node, const char *method, const char *path, const char *body,
                     double timeout_s, struct fl_http_reply *out)
{
	return sim_call((struct sim_endpoint){ENDPOINT_USER, 0},
	                (struct sim_endpoint){ENDPOINT_NODE, node}, method, path, body, timeout_s,
	                out);
}

static bool probe_succeeds(int node)
{
	struct fl_http_reply reply;

	if (call_node(node, "GET", "/ready", NULL, tunables.probe_timeout_s, &reply) != 0)
		return false;
	fl_buffer_free(&reply.body);
	return reply.status == 200;
}

static void record_probe(struct backend *backend, bool passed)
{
	/* A node that was never healthy needs one success only. */
	int needed = backend->was_healthy ? tunables.successes_to_return : 1;

	backend->consecutive_failures = passed ? 0 : backend->consecutive_failures + 1;
	backend->consecutive_successes = passed ? backend->consecutive_successes + 1 : 0;
	if (backend->consecutive_failures == tunables.failures_to_remove && backend->healthy) {
		backend->healthy = false;
		backend->unhealthy_until = fl_now() + tunables.min_unhealthy_s;
	}
	if (backend->consecutive_successes >= needed && fl_now() > backend->unhealthy_until)
		backend->healthy = backend->was_healthy = true;
}

static void probe_node(void *arg)
{
	struct backend *backend = arg;

	while (fl_sleep(tunables.probe_interval_s) == 0)
		record_probe(backend, probe_succeeds((int)(backend - backends)));
}

/* Returns a random healthy node; -1: none. */
static int choose_node(void)
{
	int healthy_count = 0, chosen = -1;

	for (int i = 0; i < sim.node_count; i++)
		if (backends[i].healthy && sim_random_index(++healthy_count) == 0)
			chosen = i;
	return chosen;
}

int sim_load_balancer_call(const char *method, const char *path, const char *body, double timeout_s,
                           struct fl_http_reply *out)
{
	double until = fl_now() + timeout_s;
	int rc = -EHOSTUNREACH;

	for (int i = 0; i < tunables.max_tries && rc && rc != -ETIMEDOUT; i++) {
		int node = choose_node();

		if (node < 0)
			return fl_coroutine_cancelled() ? -ECANCELED : -EHOSTUNREACH;
		rc = call_node(node, method, path, body, until - fl_now(), out);
		if (rc == -ECANCELED)
			break;
	}
	return rc;
}

void sim_load_balancer_begin(void)
{
	memset(backends, 0, sizeof(backends));
	for (int i = 0; i < sim.node_count; i++)
		sim_spawn(0, probe_node, &backends[i]);
}
