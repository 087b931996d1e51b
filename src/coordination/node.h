/* One controller: what every node holds, whether it leads or not, and its two servers. */
#ifndef FL_COORDINATION_NODE_H
#define FL_COORDINATION_NODE_H

#include "storage/jobs.h"
#include "storage/records.h"
#include "config.h"
#include "coordination/follower/gossip.h"
#include "coordination/api/job_lookup.h"
#include "coordination/follower/follower.h"
#include "coordination/election/leadership.h"
#include "coordination/election/election.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "coordination/follower/request_batch.h"
#include "coordination/api/status_query.h"
#include "coordination/api/user_requests.h"
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
	double up_since;       /* steady; while up */
	double last_heard_at;  /* steady; of the last exchange that came back */
	double complete_as_of; /* steady; of our sending of the last one that told us all it knows
	                        */
	bool up;
};

/* One controller process. */
struct fl_node {
	const struct fl_config *config;
	struct fl_cluster cluster;
	struct fl_kv_store kv_store;
	struct fl_cloud cloud;
	struct fl_peer peers[FL_CONFIG_PEERS];
	int peer_count;
	char process_id[96]; /* names this process, not only this node */
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

	/* What is known of leadership, with the steady time at which it was surely true. */
	char leader_name[FL_NAME_MAX];
	uint64_t fencing_token;
	double leadership_confirmed_at;
	struct fl_condition leadership_changed;
	struct fl_job_lookup *job_lookups; /* by ref: reads under way for polls */
	struct fl_token_bucket status_read_budget;
	struct fl_batch_queue status_queries;     /* for users' polls */
	struct fl_batch_queue heartbeat_forwards; /* workers' reports */
	int forwarded_requests; /* users' calls under way to other controllers, one by one */
	double last_readiness_probe_at; /* steady; when the users' balancer last asked for /ready */

	struct fl_election election;
	struct fl_leadership leadership;
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
/* Answers a user's call here, passing on what only the leader can say. */
void fl_node_handle_user_request(struct fl_node *node, enum fl_user_request kind, const char *ref,
                                 const char *body, size_t len, enum fl_forward_hop hop,
                                 struct fl_http_response *response);
/* Fills a response with an error text. */
void fl_respond_error(struct fl_http_response *response, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* "Not now": at once, with when to come back, on another connection. */
void fl_respond_unavailable(struct fl_http_response *response, const char *why);

#endif
