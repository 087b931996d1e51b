/* One controller: what every node holds, whether it leads or not, and its two servers. */
#ifndef FL_COORDINATION_NODE_H
#define FL_COORDINATION_NODE_H

#include "storage/jobs.h"
#include "storage/records.h"
#include "config.h"
#include "coordination/follower/gossip.h"
#include "coordination/api/job_lookup.h"
#include "coordination/follower/follower.h"
#include "coordination/leadership/leadership.h"
#include "coordination/election/election.h"
#include "coordination/election/leader_lease.h"
#include "coordination/election/leader_view.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/persistence/record_writer.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "coordination/follower/request_batch.h"
#include "coordination/api/request_forwarding.h"
#include "coordination/api/status_query.h"
#include "protocol/cloud.h"
#include "protocol/peers.h"
#include "protocol/kv_store.h"
#include "transport/http_server.h"

/* Another controller, and whether exchanges with it come back. */
struct fl_peer {
	struct fl_node *node;
	char name[FL_NAME_MAX];
	struct fl_http_client http;
	char location[FL_NAME_MAX];
	double up_since;         /* steady; while up */
	double last_exchange_at; /* steady; of the last exchange that completed */
	double complete_as_of;   /* steady; of our sending of the last one that told us all it knows
	                          */
	bool up;
};

/* What a node holds for users' requests under way. */
struct fl_user_api {
	struct fl_job_lookup *job_lookups; /* by ref: reads of records for status queries */
	struct fl_token_bucket read_budget;
	struct fl_batch_queue status_queries; /* to the leader */
	int forwarded_in_flight;        /* other requests on their way to the leader, one by one */
	double last_readiness_probe_at; /* steady; when the load balancer last asked for /ready */
};

/* One controller process. */
struct fl_node {
	const struct fl_config *config;
	struct fl_cluster cluster;
	struct fl_kv_store kv_store;
	struct fl_cloud cloud;
	struct fl_peer peers[FL_CONFIG_PEERS];
	int peer_count;
	char process_id[FL_PROCESS_ID_MAX]; /* names this process, not only this node */
	bool machine_types_known, jobs_known;
	/* Indices below it are of the classes for which the settings name an objective. */
	int slo_class_count;
	/*
	 * Steady. Every cancellation that any user was told of, or any controller had learned of,
	 * up to then is in the cluster state: see "Standby renewal of worker leases" in
	 * docs/design.md.
	 */
	double cancellation_watermark;
	struct fl_condition jobs_listed; /* the first list of them has come */

	struct fl_user_api api;
	const struct fl_election_callbacks *election_callbacks;
	struct fl_leader_view leader_view;
	struct fl_leader_lease leader_lease;
	struct fl_leadership leadership;
	struct fl_record_writer record_writer;
	struct fl_follower follower;
	struct fl_autoscaler autoscaler;
};

/* Starts a controller with its servers and routines; it is never freed. -1: it cannot serve. */
int fl_node_start(const struct fl_config *config);
/* Connections that one controller opens to another at most; the last is for the exchange. */
enum {
	FL_PEER_CONNS_MAX =
		FL_HEARTBEAT_REQUESTS_MAX + FL_STATUS_REQUESTS_MAX + FL_PEER_USER_REQUESTS_MAX + 1
};

/* How many of all connections users and workers may hold. */
int fl_node_public_conns(const struct fl_config *config);

#endif
