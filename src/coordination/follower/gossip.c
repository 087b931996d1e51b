#include "coordination/follower/gossip.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/workers/command.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "protocol/peers.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/coroutine.h"
#include "transport/text.h"

static const struct {
	double gossip_s, gossip_wait_s, gossip_slack_s;
} tunables = {
	.gossip_s = 1.0,       /* s between two exchanges with each peer */
	.gossip_wait_s = 1.0,  /* s; a link that takes longer counts as down */
	.gossip_slack_s = 1.0, /* s; told once more, for clocks that drift apart */
};

double fl_gossip_last_heard(const struct fl_node *node)
{
	double last = -1e9;

	for (int i = 0; i < node->peer_count; i++)
		if (node->peers[i].last_heard_at > last)
			last = node->peers[i].last_heard_at;
	return last;
}

static void learn_cancelled(struct fl_node *node, const struct fl_gossip *gossip)
{
	for (int i = 0; i < gossip->cancelled_count; i++) {
		const struct fl_cancellation *cancellation = &gossip->cancelled[i];
		struct fl_job *job;

		if (fl_finished_job_find(&node->cluster, cancellation->ref))
			continue;
		fl_cluster_learn_cancelled(&node->cluster, cancellation->ref,
		                           fl_now() - cancellation->age_s);
		job = node->leadership.active ? fl_job_find(&node->cluster, cancellation->ref)
		                              : NULL;
		if (job)
			fl_command_stop_job(node, job);
		fl_info("jobs", "%s is cancelled, says %s", cancellation->ref, gossip->node);
	}
}

/*
 * What a peer has learned since what this node knows makes this node know as much as the peer. And
 * no user hears of a cancellation but from a controller that has learned of it: if all of them have
 * answered, nothing that anybody was told before the oldest of these questions is missing here,
 * whatever the state service does meanwhile. A process that has not read the jobs itself since it
 * started speaks for nobody: the one before it may have told a user.
 */
static void learn(struct fl_node *node, struct fl_peer *peer, const struct fl_gossip *gossip,
                  double sent)
{
	double all = sent;

	learn_cancelled(node, gossip);
	/* Standing still after it was said how old our knowledge is, we were told too little. */
	if (!gossip->complete || !node->jobs_known ||
	    fl_now() > sent + tunables.gossip_wait_s + tunables.gossip_slack_s / 2)
		return;
	peer->complete_as_of = sent;
	for (int i = 0; i < node->peer_count; i++)
		all = fmin(all, node->peers[i].complete_as_of);
	node->cancellation_watermark =
		fmax(node->cancellation_watermark, fmax(all, sent - gossip->watermark_age_s));
}

static void learn_leadership(struct fl_node *node, const struct fl_gossip *gossip, double sent)
{
	double proof = sent - gossip->leadership_age_s;

	if (gossip->fencing_token < node->leader_view.fencing_token || gossip->fencing_token == 0)
		return;
	/* A valid lease needs no forwarded word: the higher epoch is its own, raised this moment.
	 */
	if (gossip->fencing_token > node->leader_view.fencing_token && node->leader_lease.held) {
		if (fl_leader_lease_is_valid(node) ||
		    strcmp(gossip->leader, node->config->node) == 0)
			return;
		fl_leader_lease_step_down(node, "a peer knows a higher epoch");
	}
	if (gossip->fencing_token > node->leader_view.fencing_token ||
	    proof > node->leader_view.confirmed_at) {
		node->leader_view.fencing_token = gossip->fencing_token;
		if (gossip->leader[0])
			fl_copy_string(node->leader_view.leader, sizeof(node->leader_view.leader),
			               gossip->leader);
		if (proof > node->leader_view.confirmed_at)
			node->leader_view.confirmed_at = proof;
	}
}

static double age(double at) { return fmin(1e6, fmax(0, fl_now() - at)); }

/* What this node has learned since `since`, for an answer that can be relied on. */
static void add_cancelled(const struct fl_node *node, double since, struct fl_gossip *gossip)
{
	const struct fl_finished_job *list[FL_GOSSIP_CANCELLED_MAX];
	int count;

	if (!fl_finished_jobs_cancelled_since(&node->cluster, since, FL_GOSSIP_CANCELLED_MAX, list,
	                                      &count) ||
	    !node->jobs_known)
		return;
	gossip->cancelled = calloc((size_t)count + 1, sizeof(*gossip->cancelled));
	if (!gossip->cancelled)
		return;
	gossip->complete = true;
	gossip->cancelled_count = count;
	for (int i = 0; i < count; i++) {
		fl_copy_string(gossip->cancelled[i].ref, sizeof(gossip->cancelled[i].ref),
		               list[i]->ref);
		gossip->cancelled[i].age_s = age(list[i]->cancelled_at);
	}
}

static void describe_self(struct fl_node *node, struct fl_gossip *gossip)
{
	memset(gossip, 0, sizeof(*gossip));
	fl_copy_string(gossip->node, sizeof(gossip->node), node->config->node);
	fl_copy_string(gossip->leader, sizeof(gossip->leader), node->leader_view.leader);
	gossip->fencing_token = node->leader_view.fencing_token;
	gossip->leadership_age_s = age(node->leader_view.confirmed_at);
	gossip->watermark_age_s = age(node->cancellation_watermark);
	gossip->is_leader = fl_leader_lease_is_valid(node);
}

void fl_gossip_serve(struct fl_node *node, const char *body, size_t len,
                     struct fl_http_response *response)
{
	struct fl_gossip gossip;
	double since;

	if (fl_gossip_decode(body, len, &gossip) != FL_DECODE_OK) {
		fl_error("peers", "a message that is not gossip");
		fl_respond_error(response, 400, "not gossip");
		return;
	}
	/*
	 * No proof from here: a request may have been held back on its way for minutes. But then
	 * nobody waits for the answer any more, so the asker's age was this at most a wait ago.
	 */
	since = fl_now() - gossip.watermark_age_s - tunables.gossip_wait_s -
	        tunables.gossip_slack_s;
	fl_gossip_free(&gossip);
	describe_self(node, &gossip);
	add_cancelled(node, since, &gossip);
	response->status = 200;
	response->body = fl_gossip_encode(&gossip);
	fl_gossip_free(&gossip);
}

char *fl_gossip_request(struct fl_node *node)
{
	struct fl_gossip mine;

	describe_self(node, &mine);
	return fl_gossip_encode(&mine);
}

void fl_gossip_handle_reply(struct fl_node *node, struct fl_peer *peer, const char *body,
                            size_t len, double sent)
{
	struct fl_gossip theirs;

	if (fl_gossip_decode(body, len, &theirs) != FL_DECODE_OK) {
		fl_error("peers", "%s answers what is not gossip", peer->name);
		return;
	}
	learn(node, peer, &theirs, sent);
	learn_leadership(node, &theirs, sent);
	fl_gossip_free(&theirs);
}

static void gossip_coroutine(void *arg)
{
	struct fl_peer *peer = arg;
	struct fl_node *node = peer->node;

	while (fl_sleep(tunables.gossip_s) == 0) {
		double sent = fl_now();
		struct fl_http_reply reply;
		char *text = fl_gossip_request(node);
		int rc;

		rc = fl_http_call(&peer->http, "POST", "/gossip", text, tunables.gossip_wait_s,
		                  &reply);
		free(text);
		if (rc == 0) {
			peer->last_heard_at = fl_now();
			if (reply.status == 200)
				fl_gossip_handle_reply(node, peer, reply.body.data,
				                       reply.body.length, sent);
			fl_buffer_free(&reply.body);
		}
		if (peer->up != (rc == 0)) {
			peer->up_since = fl_now();
			fl_info("peers", "%s is %s", peer->name, rc == 0 ? "up" : "not answering");
		}
		peer->up = rc == 0;
	}
}

void fl_gossip_start(struct fl_node *node)
{
	for (int i = 0; i < node->peer_count; i++) {
		node->peers[i].last_heard_at = node->peers[i].complete_as_of = -1e9;
		fl_coroutine_spawn(gossip_coroutine, &node->peers[i]);
	}
}
