/* Users who look at all nodes within milliseconds of whatever was said to them. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>

#include "transport/clock.h"

static const struct {
	double wait_s; /* s for an answer */
	int looks;     /* of one who looks at one node */
} rule = {2.0, 4};

struct read_burst {
	struct sim_job *job;
	int node;
	bool repeat;
};

static void look_once(const struct read_burst *burst)
{
	double sent = fl_now();
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), burst->repeat ? "/v2/runs" : "/v2/runs/%s",
	         burst->job->spec.ref);
	if (sim_call((struct sim_endpoint){ENDPOINT_USER, 0},
	             (struct sim_endpoint){ENDPOINT_NODE, burst->node},
	             burst->repeat ? "POST" : "GET", path, burst->repeat ? burst->job->text : NULL,
	             rule.wait_s, &reply) != 0)
		return;
	sim.polls++;
	if (burst->repeat)
		sim_check_submitted(burst->job, sent, reply.status, reply.body.data);
	else
		sim_check_polled(burst->job, sent, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
}

static void look_routine(void *arg)
{
	struct read_burst *burst = arg;

	for (int i = 0; i < rule.looks; i++) {
		if (fl_sleep(sim_between(0, i < 2 ? 0.004 : 0.3)) != 0)
			break;
		look_once(burst);
	}
	free(burst);
}

static void look_at_node(struct sim_job *job, int at, bool repeat)
{
	struct read_burst *burst = malloc(sizeof(*burst));

	sim_require(burst != NULL);
	*burst = (struct read_burst){job, at, repeat};
	sim_spawn(0, look_routine, burst);
}

/* At every node, by several users of a team at once; some repeat it, and some cancel at once. */
void sim_user_reads_all_nodes(struct sim_job *job)
{
	if (!sim_fault_active(FAULT_CONCURRENT_READS, -1) || job->bad)
		return;
	for (int i = 0; i < sim.node_count; i++) {
		look_at_node(job, i, false);
		if (sim_chance(0.4))
			look_at_node(job, i, true);
	}
	if (sim_chance(0.2))
		sim_user_cancels(job);
}
