/* Users who query all nodes within milliseconds of a change of their job. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>

#include "transport/clock.h"

static const struct {
	double query_timeout_s;
	int reads_per_burst;
} tunables = {2.0, 4};

/* The reads of one user at one node. */
struct read_burst {
	struct sim_job *job;
	int node;
	bool resubmits; /* submits the job again, instead of a status query */
};

static int send_read(const struct read_burst *burst, struct fl_http_reply *reply)
{
	const struct sim_job *job = burst->job;
	struct sim_endpoint from = {ENDPOINT_USER, 0}, to = {ENDPOINT_NODE, burst->node};
	char path[64];

	if (burst->resubmits)
		return sim_call(from, to, "POST", "/v2/runs", job->request_body,
		                tunables.query_timeout_s, reply);
	snprintf(path, sizeof(path), "/v2/runs/%s", job->spec.ref);
	return sim_call(from, to, "GET", path, NULL, tunables.query_timeout_s, reply);
}

static void read_once(const struct read_burst *burst)
{
	double sent_at = fl_now();
	struct fl_http_reply reply;

	if (send_read(burst, &reply) != 0)
		return;
	sim.status_queries++;
	if (burst->resubmits)
		sim_check_submit_reply(burst->job, sent_at, reply.status, reply.body.data);
	else
		sim_check_query_reply(burst->job, sent_at, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
}

static void run_read_burst(void *arg)
{
	struct read_burst *burst = arg;

	for (int i = 0; i < tunables.reads_per_burst; i++) {
		if (fl_sleep(sim_random_between(0, i < 2 ? 0.004 : 0.3)) != 0)
			break;
		read_once(burst);
	}
	free(burst);
}

static void start_read_burst(struct sim_job *job, int node, bool resubmits)
{
	struct read_burst *burst = malloc(sizeof(*burst));

	sim_require(burst != NULL);
	*burst = (struct read_burst){job, node, resubmits};
	sim_spawn(0, run_read_burst, burst);
}

/* Users query the job at all nodes; some also submit it again, and at times one cancels it. */
void sim_user_read_all_nodes(struct sim_job *job)
{
	if (!sim_fault_active(FAULT_CONCURRENT_READS, -1) || job->invalid)
		return;
	for (int i = 0; i < sim.node_count; i++) {
		start_read_burst(job, i, false);
		if (sim_chance(0.4))
			start_read_burst(job, i, true);
	}
	if (sim_chance(0.2))
		sim_user_cancel(job);
}
