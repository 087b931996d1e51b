#include "coordination/node.h"

#include <errno.h>
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
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/text.h"

/* A steady time before any other. */
#define LONG_AGO (-1e9)

static const struct {
	int peer_conns;
	double finished_share;
	int own_conns;
	double user_least, idle_reports, idle_least_s;
} tunables = {
	.peer_conns = 6,       /* connections kept open to each peer */
	.finished_share = 0.1, /* share of the memory for final states kept at hand */
	.own_conns = 48,       /* connections to state service, cloud and machines at once */
	.user_least = 0.6,    /* share of all connections that users and workers have in any case */
	.idle_reports = 4.0,  /* report intervals after which a silent connection is closed */
	.idle_least_s = 20.0, /* s for which it is kept in any case: users ask every 5 s */
};

static int init_node(struct fl_node *node, const struct fl_config *config)
{
	node->config = config;
	node->cluster.finished_dropped_at = LONG_AGO;
	node->cancellation_watermark = LONG_AGO;
	node->cluster.finished_max =
		(unsigned)(config->ram_mb * 1024 * 1024 * tunables.finished_share /
	                   sizeof(struct fl_finished_job));
	snprintf(node->process_id, sizeof(node->process_id), "%s-%.6f", config->node, fl_wall());
	for (int i = 0; i < config->zone_count; i++)
		if (fl_symbol_intern(&node->cluster.zones, config->zones[i]) == FL_INDEX_NONE)
			return -ENOMEM;
	for (int i = 0; i < config->slo_count; i++)
		if (config->slos[i].job_class[0] &&
		    fl_symbol_intern(&node->cluster.classes, config->slos[i].job_class) ==
		            FL_INDEX_NONE)
			return -ENOMEM;
	node->slo_class_count = node->cluster.classes.count;
	for (int i = 0; i < config->team_count; i++) {
		struct fl_team *team = &node->cluster.teams.by_index[node->cluster.teams.count++];

		fl_copy_string(team->name, sizeof(team->name), config->teams[i].name);
		team->guaranteed_cpus = config->teams[i].cpus;
		team->guaranteed_gpus = config->teams[i].gpus;
		team->max_cpus = config->teams[i].cpus_max;
		team->max_gpus = config->teams[i].gpus_max;
	}
	for (int i = 0; i < config->peer_count; i++) {
		struct fl_peer *peer = &node->peers[node->peer_count++];

		peer->node = node;
		fl_copy_string(peer->name, sizeof(peer->name), config->peers[i].node);
		fl_copy_string(peer->location, sizeof(peer->location), config->peers[i].location);
		if (fl_http_client_init(&peer->http, config->peers[i].addr, tunables.peer_conns) !=
		    0)
			return -EINVAL;
	}
	fl_job_lookups_init(node);
	if (!fl_kv_init(&node->kv_store, config->state))
		return -EINVAL;
	return fl_http_client_init(&node->cloud.http, config->cloud, 2);
}

/*
 * Found with 2,000 workers on one controller: the fifth of all sockets that was set aside for the
 * peers was missing for users. What peers need does not grow with the machines.
 */
int fl_node_public_conns(const struct fl_config *config)
{
	/* Of each peer what it may open here, and to one of them, the leader, the same from here.
	 */
	int peers = (config->peer_count + 1) * FL_PEER_CONNS_MAX + config->peer_count;
	int rest = config->max_connections - peers - tunables.own_conns;
	int least = (int)(config->max_connections * tunables.user_least);

	return rest > least ? rest : least;
}

static void log_tight_settings(const struct fl_config *config)
{
	char text[256];

	for (int at = 0; fl_admission_tight_setting(config, at, text, sizeof(text)); at++)
		fl_error("node", "%s", text);
}

static const struct fl_election_callbacks election_callbacks = {
	.begin_leadership = fl_leadership_begin,
	.end_leadership = fl_leadership_end,
};

int fl_node_start(const struct fl_config *config)
{
	struct fl_node *node = calloc(1, sizeof(*node));
	int conns = fl_node_public_conns(config);
	double idle_s = fmax(tunables.idle_least_s, tunables.idle_reports * config->report_s);
	int allowed = fl_raise_open_file_limit(config->max_connections + tunables.own_conns);

	log_tight_settings(config);
	fl_http_set_body_memory_limit(fl_admission_body_bytes(config));
	if (allowed < config->max_connections)
		fl_error("node", "max_connections is %d, but the system allows %d open files",
		         config->max_connections, allowed);
	if (!node || init_node(node, config) != 0 ||
	    !fl_http_serve(config->bind, conns, idle_s, fl_route_public_request, node) ||
	    !fl_http_serve(config->cluster_listen, config->max_connections - conns, idle_s,
	                   fl_route_peer_request, node)) {
		free(node);
		return -1;
	}
	fl_election_start(node, &election_callbacks);
	fl_follower_start(node);
	fl_machine_types_start(node);
	fl_job_watch_start(node);
	fl_info("node", "%s (%s) listens on %s", config->node, config->location, config->bind);
	return 0;
}
