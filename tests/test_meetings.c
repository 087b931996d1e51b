/*
 * Meetings of troubles: several controllers' real coordination code in virtual time, against
 * models of everything else, and a checker that knows the protocol's rules and nothing of ours.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "world.h"

struct world world;

struct meeting {
	const char *name;
	const char *guards; /* what in src it protects */
	int seeds;
	void (*plan)(int variant);
};

/* ---- settings ---- */

int world_node_zone(int node) { return node % world.n_zones; }

static void configure(struct fl_config *c, int node)
{
	static const char *const zones[WORLD_ZONES] = {"a", "b", "c"};

	memset(c, 0, sizeof(*c));
	snprintf(c->node, sizeof(c->node), "host-%d", node + 1);
	strcpy(c->location, zones[world_node_zone(node)]);
	world_address((struct world_end){END_NODE, node}, c->bind);
	world_address((struct world_end){END_PEER, node}, c->cluster_listen);
	world_address((struct world_end){END_STATE, 0}, c->state);
	world_address((struct world_end){END_CLOUD, 0}, c->cloud);
	for (int i = 0; i < world.n_nodes; i++) {
		struct fl_config_peer *p = &c->peers[c->n_peers];

		if (i == node)
			continue;
		snprintf(p->node, sizeof(p->node), "host-%d", i + 1);
		strcpy(p->location, zones[world_node_zone(i)]);
		world_address((struct world_end){END_PEER, i}, p->addr);
		c->n_peers++;
	}
	for (c->n_zones = 0; c->n_zones < world.n_zones; c->n_zones++)
		strcpy(c->zones[c->n_zones], zones[c->n_zones]);
	for (int i = 0; i < WORLD_TEAMS; i++) {
		const struct world_team *t = &world_teams[i];
		struct fl_config_team *to = &c->teams[c->n_teams++];

		strcpy(to->name, t->name);
		to->cpus = t->cpus;
		to->cpus_max = t->cpus_max;
		to->gpus = t->gpus;
		to->gpus_max = t->gpus_max;
	}
	c->report_s = world.report_s;
	c->lease_s = world.lease_s;
	c->cancel_s = world.cancel_s;
	c->state_rps = 220;
	c->state_write_rps = 70;
	c->value_kb = 4;
	c->txn_ops = 16;
	c->cloud_rps = 4;
	c->list_lag_s = 2;
	c->core_share = 1;
	c->ram_mb = 64;
	c->max_connections = 400;
}

static void set_up(uint64_t seed, const char *name)
{
	bool longer;

	memset(&world, 0, sizeof(world));
	world.seed = seed;
	world.name = name;
	world_seed(seed);
	longer = world_chance(0.4);
	world.n_nodes = 3 + world_pick(3);
	world.n_zones = 2 + world_pick(2);
	world.report_s = 1.5;
	world.lease_s = longer ? 14 : 10;
	world.cancel_s = longer ? 44 : 40;
	for (int i = 0; i < world.n_nodes; i++)
		configure(&world.config[i], i);
	for (int i = 15 + world_pick(11); i > 0; i--)
		world_job_add(world_between(0, 45));
}

/* ---- running ---- */

static void play(const struct meeting *m, int at)
{
	uint64_t seed = (uint64_t)at * 1000 + 7;

	for (const char *c = m->name; *c; c++)
		seed = seed * 31 + (unsigned char)*c;
	seed %= 1000000;
	world_time_begin();
	set_up(seed, m->name);
	world.begin = fl_now();
	m->plan(at);
	world_state_begin();
	world_cloud_begin();
	world_workers_begin();
	for (int i = 0; i < world.n_nodes; i++)
		world_node_start(i);
	world_users_begin();
	world_check_begin();
	world_troubles_start();
	world.end_s = world.calm_s + 95;
	world_time_run(world.begin + world.end_s);
	world_check_end();
	if (getenv("WORLD_VERBOSE") || world.failures > 0)
		print_message("%s, seed %llu (variant %d): %d nodes, %d zones, lease %g, %.0f s, "
		              "%d jobs, %d machines, %d starts, %d done, %d polls, %d late "
		              "starts\n%s",
		              m->name, (unsigned long long)seed, at, world.n_nodes, world.n_zones,
		              world.lease_s, world.end_s, world.n_jobs, world.n_machines,
		              world.starts, world.completions, world.polls, world.late_starts,
		              world.report);
	world_net_end();
	world_state_end();
	world_cloud_end();
	for (int i = 0; i < world.n_jobs; i++)
		free(world.job[i].text);
}

struct one {
	const struct meeting *meeting;
	int at;
	char name[96];
};

static void test_one(void **state)
{
	const struct one *one = *state;

	play(one->meeting, one->at);
	if (world.failures > 0)
		fail_msg("%s breaks %d rules; it protects: %s", one->name, world.failures,
		         one->meeting->guards);
}

/* ---- the meetings ---- */

/*
 * The state service refuses the leader alone; another leads and confirms cancellations; then it is
 * out for all, for longer than cancel_s, while machines still report to the old leader.
 */
static void gap(int variant)
{
	double t = world_between(48, 60), gone = t + world_between(3.3, 5);
	double out = gone + world_between(0.2, 6),
	       over = out + world.cancel_s + world_between(5, 15);

	world_trouble(STATE_REFUSES, t, over - t, THE_LEADER, 0, 0);
	world_trouble(CANCEL_NOW, gone, 0, 0, 0, 3 + world_pick(4));
	world_trouble(CANCEL_NOW, world_between(gone, out), 0, 0, 0, 2);
	world_trouble(STATE_OUT, out, over - out, 0, 0, 0);
	switch (variant % 6) {
	case 1:
		world_trouble(LATE_WRITES, t, over - t, 0, 0.3, 0);
		break;
	case 2:
		world_trouble(STATE_SLOW, t, over - t, 0, 1.5, 0);
		break;
	case 3:
		world_trouble(world_chance(0.5) ? HANG : MUTE, gone, 15, 0, 0.4, 0);
		break;
	case 4:
		world_trouble(NODE_DOWN, out, over - out, THE_LEADER, 0, 0);
		break;
	case 5:
		world_trouble(CUT_PEERS, t, over - t, THE_LEADER, 0, 0);
		break;
	}
}

static const struct meeting meetings[] = {
	{"gap", "keeper.c: holds_overdue, knows_jobs, has_epoch", 12, gap},
};

enum { CASES = 256 };

int main(int argc, char **argv)
{
	static struct one one[CASES];
	static struct CMUnitTest tests[CASES];
	size_t n = 0;

	fl_log_set_level(getenv("WORLD_LOG") ? getenv("WORLD_LOG") : "error");
	for (size_t i = 0; i < sizeof(meetings) / sizeof(meetings[0]); i++)
		for (int at = 0; at < meetings[i].seeds; at++) {
			const struct meeting *m = &meetings[i];

			/* One meeting, or one variant of it, by name. */
			if ((argc > 1 && strcmp(argv[1], m->name) != 0) ||
			    (argc > 2 && atoi(argv[2]) != at))
				continue;
			world_must(n < CASES);
			one[n].meeting = m;
			one[n].at = at;
			snprintf(one[n].name, sizeof(one[n].name), "%s %d", m->name, at);
			tests[n].name = one[n].name;
			tests[n].test_func = test_one;
			tests[n].initial_state = &one[n];
			n++;
		}
	return _cmocka_run_group_tests("meetings", tests, n, NULL, NULL);
}
