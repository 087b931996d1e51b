/*
 * One controller: the state that every node has, leader or follower, and its two servers. The state
 * is used by coroutines of one thread, so it changes only where a coroutine waits. Times are in
 * seconds of the monotonic clock.
 */
#ifndef FL_COORDINATION_NODE_H
#define FL_COORDINATION_NODE_H

#include "config.h"
#include "coordination/api/job_lookup.h"
#include "coordination/api/request_forwarding.h"
#include "coordination/api/status_query_batch.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/election/leader_lease.h"
#include "coordination/election/leader_view.h"
#include "coordination/follower/follower.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "coordination/follower/request_batch.h"
#include "coordination/leadership/leadership.h"
#include "coordination/persistence/record_writer.h"
#include "protocol/cloud.h"
#include "protocol/kv_store.h"
#include "storage/jobs.h"
#include "storage/token_bucket.h"
#include "transport/http_server.h"

struct fl_election_callbacks;

/* Another controller, and the state of the gossip exchanges with it. */
struct fl_peer {
	struct fl_node *node;
	char name[FL_NAME_MAX];
	struct fl_http_client http;
	char location[FL_NAME_MAX];
	double up_since;         /* start of the current up period; valid while `up` */
	double last_response_at; /* when the peer last responded */
	/* When the last request was sent whose reply had all cancellations of the peer. */
	double cancellations_complete_as_of;
	bool up; /* the last gossip exchange got a reply */
};

/* The state of users' requests on a node. */
struct fl_user_api {
	struct fl_job_lookup *job_lookups; /* reads of job records for status queries, by job id */
	struct fl_token_bucket record_read_budget;
	struct fl_batch_queue status_queries; /* batches of status queries to the leader */
	int forwarded_in_flight;              /* other requests in flight to the leader */
	double last_readiness_probe_at;       /* when the load balancer last requested /ready */
};

/* One controller process. */
struct fl_node {
	const struct fl_config *config;
	struct fl_cluster cluster;
	struct fl_kv_store kv_store;
	struct fl_cloud cloud;
	struct fl_peer peers[FL_CONFIG_PEERS_MAX];
	int peer_count;
	char process_id[FL_PROCESS_ID_MAX]; /* unique to each start of the node */
	bool machine_types_loaded, live_jobs_loaded;
	/* Number of job classes with an objective in the settings; their indices are below it. */
	int slo_class_count;
	/*
	 * Every cancellation that was confirmed to any user, or known to any controller, up to
	 * this time is in the cluster state: see "Renewal of worker leases by followers" in
	 * docs/design.md.
	 */
	double cancellation_watermark;
	struct fl_condition jobs_listed; /* signalled once the first list of live jobs is read */

	struct fl_user_api api;
	const struct fl_election_callbacks *election_callbacks;
	struct fl_leader_view leader_view;
	struct fl_leader_lease leader_lease;
	struct fl_leadership leadership;
	struct fl_record_writer record_writer;
	struct fl_follower follower;
	struct fl_autoscaler autoscaler;
};

/* Unless the result is FL_NODE_STARTED, the controller cannot serve and should exit. */
enum fl_node_start_result {
	FL_NODE_STARTED = 0,
	FL_NODE_OUT_OF_MEMORY,
	FL_NODE_BAD_ADDRESS,  /* an address in the settings cannot be parsed */
	FL_NODE_CANNOT_LISTEN /* a server cannot listen on its address */
};

/* Starts a controller and its servers. A started one is never freed and keeps `config`. */
enum fl_node_start_result fl_node_start(const struct fl_config *config);

/* Sets the limits of the key-value store's client from the settings. */
void fl_node_init_store_limits(struct fl_node *node);

/* Maximum number of connections from one controller to another; the + 1 is for gossip. */
enum {
	FL_PEER_CONNECTIONS_MAX =
		FL_HEARTBEAT_REQUESTS_MAX + FL_STATUS_REQUESTS_MAX + FL_PEER_USER_REQUESTS_MAX + 1
};

/* Returns the maximum number of connections of users and workers, out of max_connections. */
int fl_node_public_connections_max(const struct fl_config *config);

#endif
