#include "coordination/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/api/admission.h"
#include "coordination/election/election.h"
#include "coordination/follower/follower.h"
#include "coordination/job_watch.h"
#include "coordination/machine_types.h"
#include "coordination/request_router.h"
#include "protocol/peer_heartbeats.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	int peer_idle_connections, cloud_idle_connections, outbound_connections;
	double finished_memory_share, public_connection_share;
	double idle_timeout_intervals, idle_timeout_min_s;
} tunables = {
	.peer_idle_connections = 6,     /* kept open to each peer */
	.cloud_idle_connections = 2,    /* kept open to the cloud */
	.outbound_connections = 48,     /* reserved for key-value store, cloud and machines */
	.finished_memory_share = 0.1,   /* of ram_mb, for final states of jobs */
	.public_connection_share = 0.6, /* of all connections, at least, for users and workers */
	.idle_timeout_intervals = 4.0,  /* heartbeat intervals until an idle connection is closed */
	.idle_timeout_min_s = 20.0,     /* lower bound, since users query every 5 s */
};

/* Assigns indices to the zones and job classes of the settings; false: out of memory. */
static bool intern_zones_and_classes(struct fl_node *node)
{
	const struct fl_config *config = node->config;
	struct fl_cluster *cluster = &node->cluster;

	for (int i = 0; i < config->zone_count; i++)
		if (fl_symbol_intern(&cluster->zones, config->zones[i]) == FL_INDEX_NONE)
			return false;
	for (int i = 0; i < config->slo_count; i++)
		if (config->slos[i].job_class[0] &&
		    fl_symbol_intern(&cluster->classes, config->slos[i].job_class) == FL_INDEX_NONE)
			return false;
	node->slo_class_count = cluster->classes.count;
	return true;
}

static void init_teams(struct fl_teams *teams, const struct fl_config *config)
{
	for (int i = 0; i < config->team_count; i++) {
		const struct fl_config_team *settings = &config->teams[i];
		struct fl_team *team = &teams->by_index[teams->count++];

		fl_copy_string(team->name, sizeof(team->name), settings->name);
		team->guaranteed_cpus = settings->cpus;
		team->guaranteed_gpus = settings->gpus;
		team->max_cpus = settings->cpus_max;
		team->max_gpus = settings->gpus_max;
	}
}

static enum fl_node_start_result init_peers(struct fl_node *node)
{
	for (int i = 0; i < node->config->peer_count; i++) {
		const struct fl_config_peer *settings = &node->config->peers[i];
		struct fl_peer *peer = &node->peers[node->peer_count++];

		peer->node = node;
		fl_copy_string(peer->name, sizeof(peer->name), settings->node);
		fl_copy_string(peer->location, sizeof(peer->location), settings->location);
		if (fl_http_client_init(&peer->http, settings->addr,
		                        tunables.peer_idle_connections) != 0)
			return FL_NODE_BAD_ADDRESS;
	}
	return FL_NODE_STARTED;
}

void fl_node_init_store_limits(struct fl_node *node)
{
	const struct fl_config *config = node->config;
	const struct fl_kv_write_limits current = {.value_bytes = (size_t)(config->value_kb * 1024),
	                                           .txn_operations = config->txn_ops,
	                                           .writes_per_s = config->state_write_rps};
	struct fl_kv_write_limits announced = current;

	if (config->next_value_kb > 0)
		announced.value_bytes = (size_t)(config->next_value_kb * 1024);
	if (config->next_txn_ops > 0)
		announced.txn_operations = config->next_txn_ops;
	if (config->next_state_write_rps > 0)
		announced.writes_per_s = config->next_state_write_rps;
	fl_kv_limits_init(&node->kv_store.limits, &current, &announced);
}

static enum fl_node_start_result init_node(struct fl_node *node, const struct fl_config *config)
{
	enum fl_node_start_result result;

	node->config = config;
	node->cluster.finished_dropped_up_to = FL_LONG_AGO;
	node->cancellation_watermark = FL_LONG_AGO;
	node->cluster.finished_max =
		(unsigned)(config->ram_mb * 1024 * 1024 * tunables.finished_memory_share /
	                   sizeof(struct fl_finished_job));
	snprintf(node->process_id, sizeof(node->process_id), "%s-%.6f", config->node,
	         fl_wall_time());
	if (!intern_zones_and_classes(node))
		return FL_NODE_OUT_OF_MEMORY;
	init_teams(&node->cluster.teams, config);
	result = init_peers(node);
	if (result != FL_NODE_STARTED)
		return result;
	fl_job_lookups_init(node);
	if (!fl_kv_init(&node->kv_store, config->state) ||
	    fl_http_client_init(&node->cloud.http, config->cloud,
	                        tunables.cloud_idle_connections) != 0)
		return FL_NODE_BAD_ADDRESS;
	fl_node_init_store_limits(node);
	return FL_NODE_STARTED;
}

/* Starts the public server and the server for other controllers. */
static enum fl_node_start_result start_servers(struct fl_node *node)
{
	const struct fl_config *config = node->config;
	int public_connections = fl_node_public_connections_max(config);
	double idle_timeout_s = fmax(tunables.idle_timeout_min_s,
	                             tunables.idle_timeout_intervals * config->report_s);

	struct fl_http_server *public_server, *peer_server;

	public_server = fl_http_serve(config->bind, public_connections, idle_timeout_s,
	                              fl_route_public_request, node);
	if (!public_server)
		return FL_NODE_CANNOT_LISTEN;
	fl_http_server_limit_body(public_server, FL_PATH_WORKER_HEARTBEAT, FL_HEARTBEAT_BYTES_MAX);
	peer_server =
		fl_http_serve(config->cluster_listen, config->max_connections - public_connections,
	                      idle_timeout_s, fl_route_peer_request, node);
	if (!peer_server)
		return FL_NODE_CANNOT_LISTEN;
	fl_http_server_limit_body(peer_server, FL_PATH_HEARTBEATS,
	                          FL_PEER_HEARTBEATS_BODY_BYTES_MAX);
	return FL_NODE_STARTED;
}

/*
 * Reserves only the connections that peers need, which do not grow with the number of machines.
 * With a fifth of all connections reserved for peers and 2,000 workers on one controller, users
 * lacked connections.
 */
int fl_node_public_connections_max(const struct fl_config *config)
{
	/* The maximum from each peer, and the same from this node to one of them, the leader. */
	int peer_connections =
		(config->peer_count + 1) * FL_PEER_CONNECTIONS_MAX + config->peer_count;
	int remaining = config->max_connections - peer_connections - tunables.outbound_connections;
	int min_connections = (int)(config->max_connections * tunables.public_connection_share);

	return remaining > min_connections ? remaining : min_connections;
}

static void log_tight_settings(const struct fl_config *config)
{
	char text[256];

	for (int i = 0; fl_admission_describe_tight_setting(config, i, text, sizeof(text)); i++)
		fl_error("node", "%s", text);
}

static void raise_open_file_limit(const struct fl_config *config)
{
	int limit =
		fl_raise_open_file_limit(config->max_connections + tunables.outbound_connections);

	if (limit < config->max_connections)
		fl_error("node",
		         "open file limit too low; connections above it wait or fail limit=%d "
		         "max_connections=%d",
		         limit, config->max_connections);
}

static const struct fl_election_callbacks election_callbacks = {
	.begin_leadership = fl_leadership_begin,
	.end_leadership = fl_leadership_end,
};

enum fl_node_start_result fl_node_start(const struct fl_config *config)
{
	struct fl_node *node = calloc(1, sizeof(*node));
	enum fl_node_start_result result;

	log_tight_settings(config);
	fl_http_set_body_memory_limit(fl_admission_max_body_bytes(config));
	raise_open_file_limit(config);
	if (!node)
		return FL_NODE_OUT_OF_MEMORY;
	result = init_node(node, config);
	if (result == FL_NODE_STARTED)
		result = start_servers(node);
	if (result != FL_NODE_STARTED) {
		free(node);
		return result;
	}
	fl_election_start(node, &election_callbacks);
	fl_follower_start(node);
	fl_machine_types_loader_start(node);
	fl_job_watch_start(node);
	fl_info("node", "controller started node=%s bind=%s location=%s", config->node,
	        config->bind, config->location);
	return FL_NODE_STARTED;
}
