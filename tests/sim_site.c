/* A site of the simulation: the settings of its controllers, its start and its end. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "copy_text.h"

int sim_node_zone(int node) { return node % sim.zone_count; }

void sim_configure(int node)
{
	static const char *const zones[SIM_ZONES] = {"a", "b", "c"};
	struct fl_config *config = &sim.config[node];

	memset(config, 0, sizeof(*config));
	snprintf(config->node, sizeof(config->node), "host-%d", node + 1);
	copy_text(config->location, sizeof(config->location), zones[sim_node_zone(node)]);
	sim_address((struct sim_endpoint){ENDPOINT_NODE, node}, config->bind);
	sim_address((struct sim_endpoint){ENDPOINT_PEER, node}, config->cluster_listen);
	sim_address((struct sim_endpoint){ENDPOINT_KV_STORE, 0}, config->state);
	sim_address((struct sim_endpoint){ENDPOINT_CLOUD, 0}, config->cloud);
	for (int i = 0; i < sim.node_count; i++) {
		struct fl_config_peer *peer = &config->peers[config->peer_count];

		if (i == node)
			continue;
		snprintf(peer->node, sizeof(peer->node), "host-%d", i + 1);
		copy_text(peer->location, sizeof(peer->location), zones[sim_node_zone(i)]);
		sim_address((struct sim_endpoint){ENDPOINT_PEER, i}, peer->addr);
		config->peer_count++;
	}
	for (config->zone_count = 0; config->zone_count < sim.zone_count; config->zone_count++)
		copy_text(config->zones[config->zone_count],
		          sizeof(config->zones[config->zone_count]), zones[config->zone_count]);
	for (int i = 0; i < SIM_TEAMS; i++) {
		const struct sim_team *t = &sim_teams[i];
		struct fl_config_team *to = &config->teams[config->team_count++];

		copy_text(to->name, sizeof(to->name), t->name);
		to->cpus = t->cpus;
		to->cpus_max = t->cpus_max;
		to->gpus = t->gpus;
		to->gpus_max = t->gpus_max;
	}
	config->report_s = sim.heartbeat_interval_s;
	config->lease_s = sim.lease_s;
	config->cancel_s = sim.cancel_s;
	config->state_rps = 220;
	config->state_write_rps = 70;
	config->value_kb = 4;
	config->txn_ops = 16;
	config->cloud_rps = 4;
	config->list_lag_s = 5;
	config->core_share = 1;
	config->ram_mb = 64;
	config->max_connections = 400;
}

void sim_start(void)
{
	sim_kv_begin();
	sim_workers_begin();
	for (int i = 0; i < sim.node_count; i++)
		sim_node_start(i);
	sim_users_begin();
	sim_check_begin();
	sim_faults_start();
}

void sim_end(void)
{
	sim_net_end();
	sim_kv_end();
	sim_cloud_end();
	sim_heartbeats_end();
	for (int i = 0; i < sim.job_count; i++)
		free(sim.jobs[i].request_body);
}
