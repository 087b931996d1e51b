/* Users who look at all nodes within milliseconds of whatever was said to them. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>

#include "transport/clock.h"

static const struct {
	double wait_s; /* s for an answer */
	int looks;     /* of one who looks at one node */
} rule = {2.0, 4};

struct look {
	struct sim_job *job;
	int node;
	bool repeat;
};

static void look_once(const struct look *l)
{
	double sent = fl_now();
	struct fl_http_reply reply;
	char path[64];

	snprintf(path, sizeof(path), l->repeat ? "/v2/runs" : "/v2/runs/%s", l->job->run.ref);
	if (sim_call((struct sim_end){END_USER, 0}, (struct sim_end){END_NODE, l->node},
	             l->repeat ? "POST" : "GET", path, l->repeat ? l->job->text : NULL, rule.wait_s,
	             &reply) != 0)
		return;
	sim.polls++;
	if (l->repeat)
		sim_check_submitted(l->job, sent, reply.status, reply.body.data);
	else
		sim_check_polled(l->job, sent, reply.status, reply.body.data);
	fl_buffer_free(&reply.body);
}

static void look_routine(void *arg)
{
	struct look *l = arg;

	for (int i = 0; i < rule.looks; i++) {
		if (fl_sleep(sim_between(0, i < 2 ? 0.004 : 0.3)) != 0)
			break;
		look_once(l);
	}
	free(l);
}

static void look_at_node(struct sim_job *job, int at, bool repeat)
{
	struct look *l = malloc(sizeof(*l));

	sim_must(l != NULL);
	*l = (struct look){job, at, repeat};
	sim_spawn(0, look_routine, l);
}

/* At every node, by several users of a team at once; some repeat it, and some cancel at once. */
void sim_user_looks(struct sim_job *job)
{
	if (!sim_troubled(CLOSE_LOOKS, -1) || job->bad)
		return;
	for (int i = 0; i < sim.n_nodes; i++) {
		look_at_node(job, i, false);
		if (sim_chance(0.4))
			look_at_node(job, i, true);
	}
	if (sim_chance(0.2))
		sim_user_cancels(job);
}
