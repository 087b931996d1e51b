#include "coordination/follower/gossip.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/workers/command.h"
#include "protocol/peers.h"
#include "transport/clock.h"
#include "transport/coroutine.h"
#include "transport/log.h"
#include "transport/text.h"

static const struct {
	double interval_s, timeout_s, clock_slack_s;
} tunables = {
	.interval_s = 1.0,    /* between two exchanges with a peer */
	.timeout_s = 1.0,     /* of an exchange; a slower peer counts as unreachable */
	.clock_slack_s = 1.0, /* overlap between replies, for clock drift */
};

/* Upper limit of the ages in messages, which need not be exact beyond it. */
#define AGE_MAX_S 1e6

double fl_gossip_last_response_at(const struct fl_node *node)
{
	double last = FL_LONG_AGO;

	for (int i = 0; i < node->peer_count; i++)
		if (node->peers[i].last_response_at > last)
			last = node->peers[i].last_response_at;
	return last;
}

static void apply_received_cancellations(struct fl_node *node, const struct fl_gossip *gossip)
{
	for (int i = 0; i < gossip->cancelled_count; i++) {
		const struct fl_cancellation *cancellation = &gossip->cancelled[i];
		struct fl_job *job;

		if (fl_finished_job_find(&node->cluster, cancellation->ref))
			continue;
		fl_cluster_mark_cancelled(&node->cluster, cancellation->ref,
		                          fl_now() - cancellation->age_s);
		job = node->leadership.active ? fl_job_find(&node->cluster, cancellation->ref)
		                              : NULL;
		if (job)
			fl_command_stop_cancelled_job(node, job);
		fl_info("jobs", "job cancellation received job=%s peer=%s", cancellation->ref,
		        gossip->node);
	}
}

/*
 * A complete reply has all cancellations that the peer has learned of since this node's watermark,
 * and a user is told of a cancellation only by a controller that has learned of it. So once all
 * peers have replied, this node has every cancellation that any user was told of before the oldest
 * of these requests, even if the key-value store is unavailable. This does not hold for a process
 * that has not read the job records since its start: its predecessor may have told a user of a
 * cancellation that the new process lacks.
 */
static void raise_watermark(struct fl_node *node, struct fl_peer *peer,
                            const struct fl_gossip *gossip, double sent_at)
{
	double oldest_sent_at = sent_at;

	/* If this node was suspended during the exchange, the reply may lack cancellations. */
	if (!gossip->cancellations_complete || !node->live_jobs_loaded ||
	    fl_now() > sent_at + tunables.timeout_s + tunables.clock_slack_s / 2)
		return;
	peer->cancellations_complete_as_of = sent_at;
	for (int i = 0; i < node->peer_count; i++)
		oldest_sent_at = fmin(oldest_sent_at, node->peers[i].cancellations_complete_as_of);
	node->cancellation_watermark =
		fmax(node->cancellation_watermark,
	             fmax(oldest_sent_at, sent_at - gossip->watermark_age_s));
}

static void apply_received_leadership(struct fl_node *node, const struct fl_gossip *gossip,
                                      double sent_at)
{
	/* If this node's lease is valid, the higher token is its own, which it is raising. */
	if (gossip->fencing_token > node->leader_view.fencing_token && node->leader_lease.held) {
		if (fl_leader_lease_is_valid(&node->leader_lease) ||
		    strcmp(gossip->leader, node->config->node) == 0)
			return;
		fl_leader_lease_step_down(node, "a peer reported a higher fencing token");
	}
	fl_leader_view_merge(&node->leader_view, gossip->fencing_token, gossip->leader,
	                     sent_at - gossip->leader_confirmed_age_s);
}

/* Returns the seconds since `at`, at most AGE_MAX_S. */
static double seconds_since(double at) { return fmin(AGE_MAX_S, fmax(0, fl_now() - at)); }

/* Adds all cancellations learned of since `since`, or none: then the reply is not complete. */
static void add_cancellations(const struct fl_node *node, double since, struct fl_gossip *gossip)
{
	const struct fl_finished_job *list[FL_GOSSIP_CANCELLED_MAX];
	int count;

	if (!node->live_jobs_loaded ||
	    !fl_finished_jobs_cancelled_since(&node->cluster, since, FL_GOSSIP_CANCELLED_MAX, list,
	                                      &count))
		return;
	gossip->cancelled = calloc((size_t)count + 1, sizeof(*gossip->cancelled));
	if (!gossip->cancelled)
		return;
	gossip->cancellations_complete = true;
	gossip->cancelled_count = count;
	for (int i = 0; i < count; i++) {
		fl_copy_string(gossip->cancelled[i].ref, sizeof(gossip->cancelled[i].ref),
		               list[i]->ref);
		gossip->cancelled[i].age_s = seconds_since(list[i]->cancelled_at);
	}
}

static void init_own_gossip(struct fl_node *node, struct fl_gossip *gossip)
{
	memset(gossip, 0, sizeof(*gossip));
	fl_copy_string(gossip->node, sizeof(gossip->node), node->config->node);
	fl_copy_string(gossip->leader, sizeof(gossip->leader), node->leader_view.leader);
	gossip->fencing_token = node->leader_view.fencing_token;
	gossip->leader_confirmed_age_s = seconds_since(node->leader_view.confirmed_at);
	gossip->watermark_age_s = seconds_since(node->cancellation_watermark);
	gossip->sender_is_leader = fl_leader_lease_is_valid(&node->leader_lease);
}

void fl_gossip_serve(struct fl_node *node, const char *body, size_t len,
                     struct fl_http_response *response)
{
	struct fl_gossip gossip;
	double since;

	if (fl_gossip_decode(body, len, &gossip) != FL_DECODE_OK) {
		fl_error("peers", "gossip request malformed; rejected path=%s", FL_PATH_GOSSIP);
		fl_respond_error(response, 400, "malformed gossip");
		return;
	}
	/*
	 * A request raises no watermark here, since it may have been delayed for minutes. The
	 * requester waits only one timeout for the reply, though: if it still does, its watermark
	 * had this age at most one timeout ago.
	 */
	since = fl_now() - gossip.watermark_age_s - tunables.timeout_s - tunables.clock_slack_s;
	fl_gossip_free(&gossip);
	init_own_gossip(node, &gossip);
	add_cancellations(node, since, &gossip);
	response->status = 200;
	response->body = fl_gossip_encode(&gossip);
	fl_gossip_free(&gossip);
}

char *fl_gossip_request_encode(struct fl_node *node)
{
	struct fl_gossip gossip;

	init_own_gossip(node, &gossip);
	return fl_gossip_encode(&gossip);
}

void fl_gossip_handle_reply(struct fl_node *node, struct fl_peer *peer, const char *body,
                            size_t len, double sent_at)
{
	struct fl_gossip gossip;

	if (fl_gossip_decode(body, len, &gossip) != FL_DECODE_OK) {
		fl_error("peers", "gossip reply malformed; ignored path=%s peer=%s", FL_PATH_GOSSIP,
		         peer->name);
		return;
	}
	apply_received_cancellations(node, &gossip);
	raise_watermark(node, peer, &gossip, sent_at);
	apply_received_leadership(node, &gossip, sent_at);
	fl_gossip_free(&gossip);
}

/* Exchanges gossip with a peer; returns whether a reply with any status arrived. */
static bool exchange_with_peer(struct fl_peer *peer)
{
	double sent_at = fl_now();
	struct fl_http_reply reply;
	char *text = fl_gossip_request_encode(peer->node);
	int rc =
		fl_http_call(&peer->http, "POST", FL_PATH_GOSSIP, text, tunables.timeout_s, &reply);

	free(text);
	if (rc != 0)
		return false;
	peer->last_response_at = fl_now();
	if (reply.status == 200)
		fl_gossip_handle_reply(peer->node, peer, reply.body.data, reply.body.length,
		                       sent_at);
	fl_buffer_free(&reply.body);
	return true;
}

static void record_link_state(struct fl_peer *peer, bool up)
{
	if (peer->up != up) {
		peer->up_since = fl_now();
		fl_info("peers", "peer %s peer=%s", up ? "reachable" : "unreachable", peer->name);
	}
	peer->up = up;
}

static void gossip_coroutine(void *arg)
{
	struct fl_peer *peer = arg;

	while (fl_sleep(tunables.interval_s) == 0)
		record_link_state(peer, exchange_with_peer(peer));
}

void fl_gossip_start(struct fl_node *node)
{
	for (int i = 0; i < node->peer_count; i++) {
		node->peers[i].last_response_at = node->peers[i].cancellations_complete_as_of =
			FL_LONG_AGO;
		fl_coroutine_spawn(gossip_coroutine, &node->peers[i]);
	}
}
