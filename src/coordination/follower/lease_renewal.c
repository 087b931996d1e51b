#include "coordination/follower/lease_renewal.h"

#include "coordination/follower/heartbeat_digest.h"
#include "coordination/node.h"
#include "coordination/responses.h"
#include "coordination/workers/reconciliation.h"
#include "coordination/workers/renewal_rules.h"
#include "transport/clock.h"
#include "transport/log.h"

static const struct {
	double refresh_interval_s, wait_timeout_s;
} tunables = {
	.refresh_interval_s = 0.5, /* minimum time between two reads of the leader view */
	.wait_timeout_s = 1.5,     /* maximum wait of a heartbeat for the token and the job list */
};

/*
 * Returns whether this node has a fencing token that is not lower than the worker's: the worker
 * would drop a reply with a lower one and stay with this node until its lease ends. The age of the
 * token does not matter: nothing is decided by a lease that was renewed with an old token, and a
 * worker that has seen a newer token drops the reply.
 */
static bool has_current_fencing_token(const struct fl_node *node, uint64_t fencing_token)
{
	return node->leader_view.fencing_token > 0 &&
	       node->leader_view.fencing_token >= fencing_token;
}

static bool can_renew(const struct fl_node *node, uint64_t fencing_token)
{
	return has_current_fencing_token(node, fencing_token) &&
	       fl_renewal_watermark_is_fresh(node);
}

/* Reads the leader view; all heartbeats that wait meanwhile share the read. */
static void refresh_fencing_token(struct fl_node *node, double deadline)
{
	struct fl_fencing_token_refresh *refresh = &node->follower.fencing_token_refresh;

	if (refresh->in_flight) {
		fl_condition_wait(&refresh->completed, deadline - fl_now());
	} else if (fl_now() > refresh->refreshed_at + tunables.refresh_interval_s) {
		refresh->in_flight = true;
		fl_leader_view_refresh(node);
		refresh->in_flight = false;
		refresh->refreshed_at = fl_now();
		fl_condition_broadcast(&refresh->completed);
	}
}

/*
 * Waits for the fencing token and the job list, if this node lacks them, and returns whether it can
 * renew leases. A node that has just started has neither, and so no cancellation watermark, when
 * many workers send it heartbeats at once; a rejected worker spends seconds of its lease on trying
 * nodes that are down. With a wait for the token alone, some 50 workers were rejected each time
 * that all controllers restarted, because the jobs were not listed yet.
 */
static bool wait_until_can_renew(struct fl_node *node, uint64_t fencing_token)
{
	double deadline = fl_now() + tunables.wait_timeout_s;

	if (can_renew(node, fencing_token))
		return true;
	if (!has_current_fencing_token(node, fencing_token))
		refresh_fencing_token(node, deadline);
	if (has_current_fencing_token(node, fencing_token) && !node->live_jobs_loaded &&
	    fl_now() < deadline)
		fl_condition_wait(&node->jobs_listed, deadline - fl_now());
	return can_renew(node, fencing_token);
}

void fl_lease_renewal_respond(struct fl_node *node, const struct fl_heartbeat *heartbeat,
                              struct fl_http_response *response)
{
	struct fl_command_list commands;

	if (!wait_until_can_renew(node, heartbeat->fencing_token)) {
		fl_debug("follower",
		         "lease renewal rejected machine=%s fencing_token=%llu known_token=%llu "
		         "watermark_age_s=%.1f",
		         heartbeat->host, (unsigned long long)heartbeat->fencing_token,
		         (unsigned long long)node->leader_view.fencing_token,
		         fl_now() - node->cancellation_watermark);
		fl_respond_error(response, 503, "leadership not confirmed");
		return;
	}
	/* Checked after the wait: before it, a node that has just started has no cancellations. */
	if (fl_renewal_heartbeat_has_overdue_task(node, heartbeat)) {
		fl_debug("follower",
		         "lease renewal rejected machine=%s reason=\"cancelled task overdue\"",
		         heartbeat->host);
		fl_respond_error(response, 503, "task of a cancelled job overdue");
		return;
	}
	fl_command_list_init(&commands, node->leader_view.fencing_token);
	fl_renewal_add_stop_commands(&node->cluster, heartbeat, &commands);
	response->status = 200;
	response->body = fl_command_list_take_body(&commands);
	fl_heartbeat_cache(node, heartbeat);
	if (node->leadership.active)
		fl_reconcile_record_renewal(node, heartbeat);
}
