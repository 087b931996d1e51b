#include "coordination/follower/follower.h"

#include <errno.h>
#include <string.h>

#include "coordination/node.h"
#include "coordination/workers/reconciliation.h"
#include "coordination/follower/heartbeat_forwarding.h"
#include "transport/clock.h"
#include "transport/log.h"
#include "transport/coroutine.h"

static const struct {
	double refresh_s, refresh_wait_s, digest_s, margin_s, alone_s;
} tunables = {
	.refresh_s = 0.5,      /* s; least time between two reads for a fresher proof */
	.refresh_wait_s = 1.5, /* s for which a report waits for such a read */
	.digest_s = 2.0,       /* s between two digests in the state service */
	.margin_s = 1.0,       /* s off the renewal time, for drift and late timers */
	.alone_s = 1.5,        /* s without any word before a node counts as alone */
};

/*
 * A cancellation is answered only after it is stored, so a proof read before it is at most this
 * old when the last standby refuses; then the worker's own lease ends the tasks within cancel_s.
 */
double fl_follower_renewal_window_s(const struct fl_node *node)
{
	const struct fl_config *config = node->config;

	return config->cancel_s - config->lease_s - tunables.margin_s;
}

/*
 * Never a lower epoch: the worker would drop it and wait there until its lease ends. How old it is
 * does not matter: a lease renewed with an old epoch decides nothing, and a worker that has met a
 * newer one drops the answer.
 */
static bool has_fencing_token(const struct fl_node *node, uint64_t fencing_token)
{
	return node->fencing_token > 0 && node->fencing_token >= fencing_token;
}

static bool watermark_is_fresh(const struct fl_node *node)
{
	return fl_now() - node->cancellation_watermark <= fl_follower_renewal_window_s(node);
}

static bool may_vouch(const struct fl_node *node, uint64_t fencing_token)
{
	return has_fencing_token(node, fencing_token) && watermark_is_fresh(node);
}

/*
 * Found with controllers eight times slower: none led for long, none got a stop through, and all
 * of them renewed with fresh proofs what had been cancelled a minute ago. What was cancelled so
 * long ago that it may outlive its time with another lease is therefore nobody's to renew; and a
 * cancellation that this node has not heard of is younger than what it knows of the jobs.
 */
static bool holds_overdue_cancelled_task(const struct fl_node *node,
                                         const struct fl_heartbeat *heartbeat)
{
	double before = fl_now() - fl_follower_renewal_window_s(node);

	for (int i = 0; i < heartbeat->task_count; i++) {
		const struct fl_finished_job *finished =
			fl_finished_job_find(&node->cluster, heartbeat->tasks[i].ref);

		if (heartbeat->tasks[i].state != FL_TASK_STATE_EXITED && finished &&
		    finished->status == FL_CANCELLED && finished->cancelled_at < before)
			return true;
	}
	return false;
}

/*
 * What is known to be cancelled is stopped by whoever answers, not only no longer renewed: the
 * final state is stored, so the stop is right whichever node orders it, and comes with the answer
 * that renews the lease, or neither does.
 */
static void stop_cancelled(const struct fl_node *node, const struct fl_heartbeat *heartbeat,
                           struct fl_command_list *commands)
{
	for (int i = 0; i < heartbeat->task_count; i++) {
		const struct fl_task_status *status = &heartbeat->tasks[i];
		const struct fl_finished_job *finished =
			fl_finished_job_find(&node->cluster, status->ref);

		if (status->state != FL_TASK_STATE_EXITED && finished &&
		    finished->status == FL_CANCELLED)
			fl_command_list_add(commands, FL_COMMAND_STOP, status->ref, status->index,
			                    status->attempt, 0);
	}
}

/* Reads who leads; one read serves all that wait for it. */
static void refresh_fencing_token(struct fl_node *node, double until)
{
	struct fl_follower *follower = &node->follower;

	if (follower->refreshing) {
		fl_condition_wait(&follower->refreshed, until - fl_now());
	} else if (fl_now() > follower->refreshed_at + tunables.refresh_s) {
		follower->refreshing = true;
		fl_election_refresh(node);
		follower->refreshing = false;
		follower->refreshed_at = fl_now();
		fl_condition_broadcast(&follower->refreshed);
	}
}

/*
 * A node that has just started is asked by many workers at once and has no proof yet: neither the
 * epoch nor the jobs. It waits for both: a worker refused meanwhile loses seconds of its lease on
 * nodes that are down. Found in logs of the return of all controllers: whoever had waited for the
 * epoch was refused because the jobs were not listed yet, some 50 workers each time.
 */
static bool may_renew(struct fl_node *node, uint64_t fencing_token)
{
	double until = fl_now() + tunables.refresh_wait_s;

	if (may_vouch(node, fencing_token))
		return true;
	if (!has_fencing_token(node, fencing_token))
		refresh_fencing_token(node, until);
	if (has_fencing_token(node, fencing_token) && !node->jobs_known && fl_now() < until)
		fl_condition_wait(&node->jobs_listed, until - fl_now());
	return may_vouch(node, fencing_token);
}

static void respond_renewal(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                            struct fl_http_response *response)
{
	struct fl_command_list commands;

	if (!may_renew(node, heartbeat->fencing_token)) {
		fl_debug("standby", "%s is refused: epoch %llu, known %llu, proof %.1f s old",
		         heartbeat->host, (unsigned long long)heartbeat->fencing_token,
		         (unsigned long long)node->fencing_token,
		         fl_now() - node->cancellation_watermark);
		fl_respond_error(response, 503, "no proof of the epoch");
		return;
	}
	/* Only now: a node just started has waited for the jobs, and knew of no cancellation. */
	if (holds_overdue_cancelled_task(node, heartbeat)) {
		fl_debug("standby", "%s is refused: it holds what is cancelled", heartbeat->host);
		fl_respond_error(response, 503, "a cancelled job's task is there");
		return;
	}
	fl_command_list_init(&commands, node->fencing_token);
	stop_cancelled(node, heartbeat, &commands);
	response->status = 200;
	response->body = fl_command_list_take(&commands);
	fl_heartbeat_cache(node, heartbeat);
	if (node->leadership.active)
		fl_reconcile_renewal(node, heartbeat);
}

bool fl_follower_is_isolated(const struct fl_node *node)
{
	double last = fl_gossip_last_heard(node);

	if (node->peer_count == 0 || !fl_kv_is_unavailable(&node->kv_store))
		return false;
	for (int i = 0; i < node->peer_count; i++)
		if (node->peers[i].up)
			return false;
	if (node->kv_store.last_success_at > last)
		last = node->kv_store.last_success_at;
	return fl_now() > last + tunables.alone_s;
}

void fl_follower_reply_as_leader(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                                 struct fl_http_response *response)
{
	struct fl_command_list commands;
	int rc;

	fl_command_list_init(&commands, node->election.fencing_token);
	rc = fl_reconcile_heartbeat(node, heartbeat, &commands, FL_HEARTBEAT_FROM_WORKER);
	/* What is only answered, not taken in, gets no stop either: see holds_overdue. */
	if (rc == 0 && watermark_is_fresh(node) &&
	    (commands.count > 0 || !holds_overdue_cancelled_task(node, heartbeat))) {
		/* The same report relayed twice, or from before this leadership. */
		if (commands.count == 0)
			stop_cancelled(node, heartbeat, &commands);
		response->status = 200;
		response->body = fl_command_list_take(&commands);
	} else {
		cJSON_Delete(commands.root);
		fl_respond_error(response, 503,
		                 rc ? "this machine is not known any more"
		                 : !watermark_is_fresh(node)
		                         ? "the jobs have not been heard of for too long"
		                         : "a cancelled job's task is there");
	}
}

void fl_follower_handle_heartbeat(struct fl_node *node, const char *body, size_t len,
                                  struct fl_http_response *response)
{
	const struct fl_peer *home;
	struct fl_heartbeat heartbeat;

	if (fl_heartbeat_decode(body, len, &heartbeat) != 0) {
		fl_error("workers", "what came by a worker's way is no report");
		fl_respond_error(response, 400, "not a report");
		return;
	}
	heartbeat.entry_node = fl_node_index(node, node->config->node);
	home = fl_redirect_target(node, &heartbeat);
	if (home) {
		fl_debug("standby", "%s is sent to %s", heartbeat.host, home->name);
		response->status = 421;
		response->body = fl_redirect_encode(home->name);
	} else if (fl_is_leader(node)) {
		fl_follower_reply_as_leader(node, &heartbeat, response);
	} else if (fl_heartbeat_forward(node, body, len, response) != 0) {
		respond_renewal(node, &heartbeat, response);
	}
	fl_heartbeat_free(&heartbeat);
}

/* One routine for both: what is kept about workers is dropped before a digest is written. */
static void upkeep_coroutine(void *arg)
{
	struct fl_node *node = arg;

	while (fl_sleep(tunables.digest_s) == 0) {
		double now = fl_now();

		fl_redirect_forget(node, now);
		fl_heartbeat_digest_write(node, now, tunables.digest_s);
	}
}

void fl_follower_start(struct fl_node *node)
{
	fl_heartbeat_digest_init(node, tunables.digest_s);
	fl_gossip_start(node);
	fl_coroutine_spawn(upkeep_coroutine, node);
}
