/* A site of the simulation: the settings of its controllers, its start and its end. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int sim_node_zone(int node) { return node % sim.n_zones; }

void sim_configure(int node)
{
	static const char *const zones[SIM_ZONES] = {"a", "b", "c"};
	struct fl_config *c = &sim.config[node];

	memset(c, 0, sizeof(*c));
	snprintf(c->node, sizeof(c->node), "host-%d", node + 1);
	sim_copy(c->location, sizeof(c->location), zones[sim_node_zone(node)]);
	sim_address((struct sim_end){END_NODE, node}, c->bind);
	sim_address((struct sim_end){END_PEER, node}, c->cluster_listen);
	sim_address((struct sim_end){END_STATE, 0}, c->state);
	sim_address((struct sim_end){END_CLOUD, 0}, c->cloud);
	for (int i = 0; i < sim.n_nodes; i++) {
		struct fl_config_peer *peer = &c->peers[c->peer_count];

		if (i == node)
			continue;
		snprintf(peer->node, sizeof(peer->node), "host-%d", i + 1);
		sim_copy(peer->location, sizeof(peer->location), zones[sim_node_zone(i)]);
		sim_address((struct sim_end){END_PEER, i}, peer->addr);
		c->peer_count++;
	}
	for (c->zone_count = 0; c->zone_count < sim.n_zones; c->zone_count++)
		sim_copy(c->zones[c->zone_count], sizeof(c->zones[c->zone_count]),
		         zones[c->zone_count]);
	for (int i = 0; i < SIM_TEAMS; i++) {
		const struct sim_team *t = &sim_teams[i];
		struct fl_config_team *to = &c->teams[c->team_count++];

		sim_copy(to->name, sizeof(to->name), t->name);
		to->cpus = t->cpus;
		to->cpus_max = t->cpus_max;
		to->gpus = t->gpus;
		to->gpus_max = t->gpus_max;
	}
	c->report_s = sim.report_s;
	c->lease_s = sim.lease_s;
	c->cancel_s = sim.cancel_s;
	c->state_rps = 220;
	c->state_write_rps = 70;
	c->value_kb = 4;
	c->txn_ops = 16;
	c->cloud_rps = 4;
	c->list_lag_s = 5;
	c->core_share = 1;
	c->ram_mb = 64;
	c->max_connections = 400;
}

void sim_start(void)
{
	sim_state_begin();
	sim_workers_begin();
	for (int i = 0; i < sim.n_nodes; i++)
		sim_node_start(i);
	sim_users_begin();
	sim_check_begin();
	sim_troubles_start();
}

void sim_end(void)
{
	sim_net_end();
	sim_state_end();
	sim_cloud_end();
	sim_reports_end();
	for (int i = 0; i < sim.n_jobs; i++)
		free(sim.job[i].text);
}
