/* Users who look at all nodes within milliseconds of whatever was said to them. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>

#include "transport/clock.h"

static const struct {
	double query_timeout_s; /* s for an answer */
	int reads_per_node;     /* of one who looks at one node */
} rule = {2.0, 4};

struct read_burst {
	struct sim_job *job;
	int node;
	bool repeat;
};

static void read_once(const struct read_burst *burst)
{
	double sent = fl_now();
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), burst->repeat ? "/v2/runs" : "/v2/runs/%s",
	         burst->job->spec.ref);
	if (sim_call((struct sim_endpoint){ENDPOINT_USER, 0},
	             (struct sim_endpoint){ENDPOINT_NODE, burst->node},
	             burst->repeat ? "POST" : "GET", path,
	             burst->repeat ? burst->job->request_body : NULL, rule.query_timeout_s,
	             &reply) != 0)
		return;
	sim.status_queries++;
	if (burst->repeat)
		sim_check_submit_reply(burst->job, sent, reply.status, reply.body.data);
	else
		sim_check_query_reply(burst->job, sent, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
}

static void run_read_burst(void *arg)
{
	struct read_burst *burst = arg;

	for (int i = 0; i < rule.reads_per_node; i++) {
		if (fl_sleep(sim_between(0, i < 2 ? 0.004 : 0.3)) != 0)
			break;
		read_once(burst);
	}
	free(burst);
}

static void start_read_burst(struct sim_job *job, int at, bool repeat)
{
	struct read_burst *burst = malloc(sizeof(*burst));

	sim_require(burst != NULL);
	*burst = (struct read_burst){job, at, repeat};
	sim_spawn(0, run_read_burst, burst);
}

/* At every node, by several users of a team at once; some repeat it, and some cancel at once. */
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
