/* The controllers of the simulation: configuration, processes, and a fake of the HTTP server. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/persistence/record_writer.h"
#include "copy_text.h"
#include "transport/clock.h"

struct registered_handler {
	fl_http_handler handler;
	void *context;
};

static struct {
	int process[SIM_NODES]; /* number of the node's process; 0: the node is down */
	struct registered_handler public[SIM_NODES], peers[SIM_NODES];
	int process_count; /* processes started so far */
	int starting_node; /* node whose process is being started */
} nodes;

/* ---- settings ---- */

static const char *const zone_names[SIM_ZONES] = {"a", "b", "c"};

int sim_node_zone(int node) { return node % sim.zone_count; }

static void configure_peers(struct fl_config *config, int node)
{
	for (int i = 0; i < sim.node_count; i++) {
		struct fl_config_peer *peer = &config->peers[config->peer_count];

		if (i == node)
			continue;
		snprintf(peer->node, sizeof(peer->node), "host-%d", i + 1);
		copy_text(peer->location, sizeof(peer->location), zone_names[sim_node_zone(i)]);
		sim_endpoint_address((struct sim_endpoint){ENDPOINT_PEER, i}, peer->addr);
		config->peer_count++;
	}
}

static void configure_teams(struct fl_config *config)
{
	for (int i = 0; i < SIM_TEAMS; i++) {
		const struct sim_team *from = &sim_teams[i];
		struct fl_config_team *team = &config->teams[config->team_count++];

		copy_text(team->name, sizeof(team->name), from->name);
		team->cpus = from->cpus;
		team->cpus_max = from->cpus_max;
		team->gpus = from->gpus;
		team->gpus_max = from->gpus_max;
	}
}

static void configure_limits(struct fl_config *config)
{
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

void sim_configure_node(int node)
{
	struct fl_config *config = &sim.config[node];
	int zone_count = sim.zone_count;

	sim_require(zone_count <= SIM_ZONES);
	memset(config, 0, sizeof(*config));
	snprintf(config->node, sizeof(config->node), "host-%d", node + 1);
	copy_text(config->location, sizeof(config->location), zone_names[sim_node_zone(node)]);
	sim_endpoint_address((struct sim_endpoint){ENDPOINT_NODE, node}, config->bind);
	sim_endpoint_address((struct sim_endpoint){ENDPOINT_PEER, node}, config->cluster_listen);
	sim_endpoint_address((struct sim_endpoint){ENDPOINT_KV_STORE, 0}, config->state);
	sim_endpoint_address((struct sim_endpoint){ENDPOINT_CLOUD, 0}, config->cloud);
	for (int i = 0; i < zone_count; i++)
		copy_text(config->zones[i], sizeof(config->zones[i]), zone_names[i]);
	config->zone_count = zone_count;
	configure_peers(config, node);
	configure_teams(config);
	configure_limits(config);
}

/* ---- the HTTP server of the controllers ---- */

struct fl_http_server *fl_http_serve(const char *addr, int max_connections, double idle_timeout_s,
                                     fl_http_handler handler, void *context)
{
	struct registered_handler *registered = nodes.public;
	struct sockaddr_in address;

	(void)max_connections, (void)idle_timeout_s;
	sim_require(fl_address_parse(addr, &address) == 0);
	if (sim_endpoint_from_address(&address).kind == ENDPOINT_PEER)
		registered = nodes.peers;
	registered[nodes.starting_node] = (struct registered_handler){handler, context};
	return (struct fl_http_server *)&nodes;
}

/* Bodies are passed whole, without limit. */
void fl_http_server_limit_body(struct fl_http_server *server, const char *path, size_t max_bytes)
{
	(void)server, (void)path, (void)max_bytes;
}

void sim_node_serve(struct sim_endpoint to, const struct fl_http_request *request,
                    struct fl_http_response *response)
{
	const struct registered_handler *registered =
		to.kind == ENDPOINT_PEER ? nodes.peers : nodes.public;

	registered[to.index].handler(registered[to.index].context, request, response);
}

/* ---- processes ---- */

int sim_node_process(int node) { return nodes.process[node]; }

int sim_node_of_process(int process)
{
	int node = -1;

	for (int i = 0; i < sim.node_count; i++)
		if (process && nodes.process[i] == process)
			node = i;
	return node;
}

static void start_node(void *arg)
{
	const struct fl_config *config = arg;

	nodes.starting_node = (int)(config - sim.config);
	sim_require(fl_node_start(config) == FL_NODE_STARTED);
}

void sim_node_start(int node)
{
	if (nodes.process[node])
		return;
	nodes.process[node] = ++nodes.process_count;
	sim_spawn(nodes.process[node], start_node, &sim.config[node]);
}

static void free_follower(struct fl_follower *follower)
{
	struct fl_cached_heartbeat *cached, *tmp;
	struct fl_misplaced_worker *worker, *next;

	HASH_ITER (hh, follower->cached_heartbeats, cached, tmp)
		fl_cached_heartbeat_drop(follower, cached);
	HASH_ITER (hh, follower->misplaced_workers, worker, next) {
		HASH_DEL(follower->misplaced_workers, worker);
		free(worker);
	}
}

/* Frees the memory of a process whose coroutines have ended. */
static void free_node(int index)
{
	struct fl_node *node = nodes.public[index].context;

	if (!node)
		return;
	fl_record_writer_reset(&node->record_writer);
	free_follower(&node->follower);
	fl_cluster_free(&node->cluster);
	free(node);
	nodes.public[index] = nodes.peers[index] = (struct registered_handler){0};
}

void sim_node_kill(int node)
{
	int process = nodes.process[node];

	if (!process)
		return;
	nodes.process[node] = 0;
	sim_process_cancel(process);
	fl_sleep(0);
	sim_require(fl_coroutine_cancelled() || sim_process_coroutine_count(process) == 0);
	if (!fl_coroutine_cancelled())
		free_node(node);
}

void sim_nodes_end(void)
{
	for (int i = 0; i < SIM_NODES; i++)
		free_node(i);
	memset(&nodes, 0, sizeof(nodes));
}
