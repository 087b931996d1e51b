#include "coordination/node.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/api/admission.h"
#include "coordination/workers/command.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "coordination/api/submission.h"
#include "coordination/api/user_requests.h"
#include "protocol/status_messages.h"
#include "protocol/peer_heartbeats.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/coroutine.h"
#include "transport/text.h"

static const struct {
	double retry_s, hold_s;
	int later_s, peer_conns;
	double finished_share;
	int own_conns, polls_waiting;
	double user_least, idle_reports, idle_least_s;
} tunables = {
	.retry_s = 0.5,        /* s between tries at what a node needs before it can serve */
	.hold_s = 1.0,         /* s; length of a watch, whose end shows that nothing was missed */
	.later_s = 1,          /* s; Retry-After of a 503 */
	.peer_conns = 6,       /* connections kept open to each peer */
	.finished_share = 0.1, /* share of the memory for final states kept at hand */
	.own_conns = 48,       /* connections to state service, cloud and machines at once */
	.polls_waiting = 64,   /* polls that wait for a slow controller; answered within a second */
	.user_least = 0.6,    /* share of all connections that users and workers have in any case */
	.idle_reports = 4.0,  /* report intervals after which a silent connection is closed */
	.idle_least_s = 20.0, /* s for which it is kept in any case: users ask every 5 s */
};

void fl_respond_error(struct fl_http_response *response, int status, const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	free(response->body);
	response->status = status;
	response->body = fl_json_error("%s", text);
}

void fl_respond_unavailable(struct fl_http_response *response, const char *why)
{
	fl_respond_error(response, 503, "%s", why);
	response->retry_after_s = tunables.later_s;
	/* The balancer may find a better node for the next try than this one. */
	response->close = true;
}

/* ---- the two servers ---- */

void fl_node_handle_user_request(struct fl_node *node, enum fl_user_request kind, const char *ref,
                                 const char *body, size_t len, enum fl_forward_hop hop,
                                 struct fl_http_response *response)
{
	switch (kind) {
	case FL_USER_REQUEST_SUBMIT:
		fl_submit(node, body, len, hop, response);
		break;
	case FL_USER_REQUEST_STATUS:
	case FL_USER_REQUEST_CANCEL:
		fl_respond_status_or_cancel(node, kind, ref, hop, response);
		break;
	case FL_USER_REQUEST_HEARTBEAT:
		fl_follower_handle_heartbeat(node, body, len, response);
		break;
	case FL_USER_REQUEST_READY:
		node->last_readiness_probe_at = fl_now();
		response->status = node->machine_types_known && node->jobs_known &&
		                                   !fl_follower_is_isolated(node)
		                           ? 200
		                           : 503;
		break;
	default:
		fl_respond_error(response, 404, "no such path");
	}
}

static void handle_public_request(void *context, const struct fl_http_request *request,
                                  struct fl_http_response *response)
{
	char ref[FL_REF_MAX];
	enum fl_user_request kind = fl_user_route(request->path, ref);
	enum http_method want = kind == FL_USER_REQUEST_STATUS || kind == FL_USER_REQUEST_READY
	                                ? HTTP_GET
	                                : HTTP_POST;

	if (kind != FL_USER_REQUEST_UNKNOWN && request->method != want) {
		fl_respond_error(response, 405, "wrong method");
		/* After a HEAD the body would be taken for the next answer. */
		response->close = true;
		return;
	}
	/*
	 * A controller that is behind answers probes, submissions, cancellations and reports first.
	 * A poll comes again in any case, and one that is turned away at once may find a better
	 * node. Where enough are answered, none goes without for long: one a turn always is.
	 */
	if (kind == FL_USER_REQUEST_STATUS && !fl_coroutine_defer(tunables.polls_waiting)) {
		fl_respond_unavailable(response, "there are too many questions at the moment");
		return;
	}
	fl_node_handle_user_request(context, kind, ref, request->body, request->body_len,
	                            FL_HOP_FIRST, response);
}

static void handle_peer_request(void *context, const struct fl_http_request *request,
                                struct fl_http_response *response)
{
	struct fl_node *node = context;
	struct fl_forwarded_request forwarded;

	if (strcmp(request->path, "/gossip") == 0) {
		fl_gossip_serve(node, request->body, request->body_len, response);
		return;
	}
	if (strcmp(request->path, FL_PATH_STATUS) == 0) {
		/* For up to 256 users at once, and answered from memory. */
		fl_coroutine_set_urgent();
		fl_status_query_serve(node, request->body, request->body_len, response);
		return;
	}
	if (strcmp(request->path, FL_PATH_HEARTBEATS) == 0) {
		fl_heartbeat_forward_serve(node, request->body, request->body_len, response);
		return;
	}
	if (strcmp(request->path, FL_PATH_FORWARD) != 0) {
		fl_respond_error(response, 404, "no such path");
		return;
	}
	if (fl_forwarded_request_decode(request->body, request->body_len, &forwarded) != 0) {
		fl_error("peers", "what came as a relayed call is none");
		fl_respond_error(response, 400, "not a relayed call");
		return;
	}
	/* Only a leader answers; one hop further, if the sender could not reach it itself. */
	if (!fl_is_leader(node) && fl_forward_ends_here(node, forwarded.last_hop))
		fl_respond_error(response, 421, "not the leader");
	else
		fl_node_handle_user_request(node, forwarded.kind, forwarded.ref, forwarded.body,
		                            forwarded.body ? strlen(forwarded.body) : 0,
		                            FL_HOP_LAST, response);
	fl_forwarded_request_free(&forwarded);
}

/* ---- what every node knows ---- */

static void on_job_event(void *context, const struct fl_kv_event *event)
{
	struct fl_node *node = context;
	const char *ref = event->key + strlen(FL_PREFIX_JOBS);
	struct fl_job *job;
	bool known;

	if (strlen(ref) >= FL_REF_MAX)
		return;
	job = fl_job_find(&node->cluster, ref);
	known = job && job->cancelled;
	job = fl_cluster_apply_job_record(&node->cluster, ref, event->value, event->mod_revision);
	if (!job || !node->leadership.active)
		return;
	if (job->cancelled && !known) {
		fl_info("jobs", "%s is cancelled, says its record", ref);
		fl_command_stop_job(node, job);
	}
	node->leadership.cycle_due = true;
	fl_condition_broadcast(&node->leadership.work_available);
}

static void job_watch_coroutine(void *arg)
{
	struct fl_node *node = arg;
	uint64_t revision = 0;

	while (!node->machine_types_known)
		if (fl_sleep(tunables.retry_s / 5) != 0)
			return;
	while (!fl_coroutine_cancelled()) {
		double sent = fl_now();
		int rc;

		if (revision == 0) {
			if (!node->cluster.leading)
				fl_cluster_list_begin(&node->cluster);
			rc = fl_kv_list(&node->kv_store, FL_PREFIX_JOBS, on_job_event, node,
			                &revision);
			if (rc == 0 && !node->cluster.leading)
				fl_cluster_list_end(&node->cluster, revision);
		} else {
			rc = fl_kv_watch(&node->kv_store, FL_PREFIX_JOBS, &revision,
			                 tunables.hold_s, on_job_event, node);
		}
		if (rc == 0)
			node->cancellation_watermark = fmax(node->cancellation_watermark, sent);
		if (rc == 0 && !node->jobs_known) {
			node->jobs_known = true;
			fl_condition_broadcast(&node->jobs_listed);
			fl_info("node", "%s is ready", node->config->node);
		}
		if (rc == -ERANGE)
			revision = 0;
		if (rc && fl_sleep(tunables.retry_s) != 0)
			return;
	}
}

/*
 * From the record that a leader keeps of them, else from the cloud. Found on a day of our own: all
 * controllers ended while the cloud was out, and none of them could serve until it was back.
 */
static int read_machine_types(struct fl_node *node, struct fl_cloud_machine_type **types,
                              int *count)
{
	uint64_t revision;
	cJSON *value = NULL;
	int rc = fl_kv_get(&node->kv_store, FL_KEY_MACHINE_TYPES, &value, &revision, NULL);

	if (!rc)
		rc = fl_machine_types_decode(value, types, count);
	cJSON_Delete(value);
	return rc ? fl_cloud_machine_types(&node->cloud, types, count) : 0;
}

static void machine_types_coroutine(void *arg)
{
	struct fl_node *node = arg;

	while (!node->machine_types_known) {
		struct fl_cloud_machine_type *types;
		int count, rc = read_machine_types(node, &types, &count);

		if (rc == -EPROTO)
			fl_error("cloud", "its machine types cannot be read");
		if (rc == 0) {
			fl_machine_types_set(&node->cluster.machines, &node->cluster.zones, types,
			                     count);
			free(types);
			node->machine_types_known = true;
			return;
		}
		if (fl_sleep(tunables.retry_s) != 0)
			return;
	}
}

static int init_node(struct fl_node *node, const struct fl_config *config)
{
	node->config = config;
	node->cluster.finished_dropped_at = -1e9;
	node->cluster.finished_max =
		(unsigned)(config->ram_mb * 1024 * 1024 * tunables.finished_share /
	                   sizeof(struct fl_finished_job));
	snprintf(node->process_id, sizeof(node->process_id), "%s-%.6f", config->node, fl_wall());
	for (int i = 0; i < config->zone_count; i++)
		if (fl_symbol_intern(&node->cluster.zones, config->zones[i]) < 0)
			return -ENOMEM;
	for (int i = 0; i < config->slo_count; i++)
		if (config->slos[i].job_class[0] &&
		    fl_symbol_intern(&node->cluster.classes, config->slos[i].job_class) < 0)
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
	if (fl_kv_init(&node->kv_store, config->state) != 0)
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
	    !fl_http_serve(config->bind, conns, idle_s, handle_public_request, node) ||
	    !fl_http_serve(config->cluster_listen, config->max_connections - conns, idle_s,
	                   handle_peer_request, node)) {
		free(node);
		return -1;
	}
	fl_election_start(node);
	fl_follower_start(node);
	fl_coroutine_spawn(machine_types_coroutine, node);
	fl_coroutine_spawn(job_watch_coroutine, node);
	fl_info("node", "%s (%s) listens on %s", config->node, config->location, config->bind);
	return 0;
}
